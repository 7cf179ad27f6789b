#pragma once

#include "jy_base/time/TimeTypes.h"
#include "jy_gateway/model/FleetChange.h"
#include "jy_gateway/placement/ServerChooser.h"
#include "jy_gateway/placement/StallDetector.h"
#include "jy_gateway/relay/ResponseRules.h"
#include "jy_http/client/HttpStream.h"
#include "jy_http/messages/Cancellation.h"

#include <chrono>
#include <memory>
#include <optional>
#include <vector>

namespace jy {

/** One attempt of a request at one backend server. Internal to RelayExchange. */
struct RelayAttempt
{
    Placement placement;

    /** A copy, because the entry of the server may be removed during the attempt. */
    RegisteredServer server;

    /** Position among the attempts of the request, from 1. */
    int number = 0;

    /** A fiber of its own opens the attempt, not the one that relays the response. */
    bool ownFiber = false;

    /** Ends the attempt; triggered when the caller leaves, too. */
    std::shared_ptr<Cancellation> cancellation;
    Cancellation::Registration callerLeaves;

    TimePoint start;

    /** When the retry budget granted the attempt; not set for the first one. */
    TimePoint retryGranted;

    /** When the first byte of the request was about to be written; not set before. */
    TimePoint sentAt;

    /** Wait after which the server counts as silent, and the key at the stall detector. */
    std::chrono::milliseconds silenceTimeout{0};
    StallDetector::RequestKey watch = 0;

    /** Set once the head of the response has arrived or the attempt has failed before. */
    std::optional<Result<std::unique_ptr<HttpStream>>> opened;

    /** Set once the head of the response was evaluated. */
    std::optional<ResponseClass> responseClass;
    bool eventStream = false;

    /** Another attempt has taken over, because this server was silent. */
    bool replaced = false;

    /** A line was logged that says why the request stays at the silent server. */
    bool keptLogged = false;

    /** The server is known to run the request. */
    bool began = false;

    /** The first part of an event stream has arrived. */
    bool responseStarted = false;

    /** The server was known to have the prompt cached. */
    bool promptCached = false;

    /** When the first parts of the stream arrived. */
    std::vector<TimePoint> partTimes;

    /** Whether part of the request may have reached the server; valid once opened is set. */
    bool reachedServer() const
    {
        return *opened
            || (sentAt != TimePoint() && opened->error().kind != ErrorKind::ConnectFailed);
    }
};

} // namespace jy
