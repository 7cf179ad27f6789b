#pragma once

#include "jy_base/time/TimeTypes.h"
#include "jy_gateway/model/RoutingConfig.h"

#include <chrono>
#include <cstdint>

namespace jy {

/** A time with fractions of a millisecond, for estimates. */
using Milliseconds = std::chrono::duration<double, std::milli>;

/** What is known about one server for the estimate of a request. */
struct ServerWork
{
    /** Requests there whose response has not started. */
    int waiting = 0;

    /** Requests there in total, and how many it runs at the same time. */
    int inFlight = 0;
    int slots = 0;

    /** Time that work takes relative to the usual time, see ServerReports. */
    double pace = 1;

    /** The server has the shared prefix cached. */
    bool cached = false;
};

/** What is known about a request and its service; the same for all servers. */
struct PromptWork
{
    /** Time to obtain the shared prefix where it is not cached: prefillTime(), or copyTime() if it
     * can be copied and that takes less time. */
    Milliseconds obtainPrefix{0};

    /** Mean prefill time of recent prompts of the service. */
    Milliseconds meanPrefill{0};

    /** Mean time that a request occupies a slot. */
    Milliseconds meanDuration{0};
};

/** Time to process @p tokens that are not cached, at ServerChooser::prefillTokensPerMs. */
Milliseconds prefillTime(std::int64_t tokens);

/** Time to copy @p tokens from another engine's cache. @returns an infinite time if the engines of
 * the service cannot copy */
Milliseconds copyTime(std::int64_t tokens, const ServicePolicy &policy);

/** @returns how many of the requests that waited at a server when it was reported still wait after
 * @p age. Reports are up to a second old, in which an engine processes dozens of short prompts. */
int stillWaiting(int waiting, Duration age, Milliseconds meanPrefill);

/** @returns the expected time from the arrival of a request at a server to its first event */
Milliseconds expectedFirstEvent(const ServerWork &server, const PromptWork &prompt);

} // namespace jy
