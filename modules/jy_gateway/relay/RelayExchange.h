#pragma once

#include "jy_gateway/relay/EventSplitter.h"
#include "jy_gateway/relay/RequestRelay.h"

#include <optional>

namespace jy {

/** One request on its way through this instance. Internal to the relay. */
class RelayExchange
{
public:
    RelayExchange(RequestRelay &relay, const HttpRequest &request, HttpResponder &responder,
                  std::shared_ptr<const RoutingConfig> config, const Route &route,
                  const RequestMetadata &metadata, WorkspaceId workspace, int priority,
                  TimePoint start);

    /** Sends the request until one answer is delivered or none can be. */
    RelayOutcome run();

private:
    /** What is known after one attempt. */
    enum class Step {
        Done, /**< the caller has its answer or is gone */
        NotSent, /**< no byte was written; it counts neither as an attempt nor as a retry */
        NotRun, /**< another server may get the request */
        MayHaveRun, /**< another server may get it if the route allows repetition */
    };

    Step attempt(const Placement &placement);

    /** Lets the stall detector watch the current attempt.
     *
     * @param cancellation ends the attempt when its server stalls before a repeatable answer begins
     */
    void beginWatch(const ServerId &server, const std::shared_ptr<Cancellation> &cancellation);
    HttpCallOptions callOptions(const ServerId &server,
                                const std::shared_ptr<Cancellation> &cancellation) const;
    Step relayAnswer(HttpStream &stream, const RegisteredServer &server);

    /** Takes what the head of an answer says about its server. */
    void noteServer(const ResponseMetadata &metadata, const RegisteredServer &server);

    /** @returns why nothing may be sent to the server any more, which may change while connecting
     */
    Result<void> mayStillSend(const ServerId &server) const;
    Step relayPlain(HttpStream &stream, const ServerId &server);
    Step relayLongPlain(HttpStream &stream, const ServerId &server, std::string begin);
    Step finishPlain(HttpResponse response, const ServerId &server);
    Step relayEvents(HttpStream &stream, const ServerId &server);
    Step fail(const Error &error, const ServerId &server);
    Step callerLeft();
    HttpRequest outgoing(const ServerState &server, const ServerId &cachedAt) const;
    bool startAnswer(const HttpStream &stream);

    bool mayTryAgain(Step step);
    void refuse(PlacementReason reason);
    void giveUp();
    void answerError(const Error &error);
    void record(const ServerId &server, ServerOutcome outcome);
    void noteWait();

    Duration timeLeft() const;

    /** Time left, at least a millisecond: a wait of zero would not see what has already arrived. */
    std::chrono::milliseconds remainingWait() const;
    std::chrono::milliseconds attemptTimeout() const;

    /** Time in which a resumable stream must make progress before it continues elsewhere. */
    std::chrono::milliseconds silenceLeft(TimePoint lastProgress) const;
    bool isResumable() const;

    RequestRelay &relay_;
    const HttpRequest &request_;
    HttpResponder &responder_;
    std::shared_ptr<const RoutingConfig> config_;
    const Route &route_;
    const RequestMetadata &metadata_;
    WorkspaceId workspace_;
    int priority_;
    TimePoint start_;
    TimePoint deadline_;
    PlacementQuery query_;
    EventSplitter events_;

    /** Room of what is held of the current answer. */
    ByteLease held_;

    /** A plain answer is on its way to the caller, so nothing may follow it. */
    bool plainStarted_ = false;

    /** When the last part of a stream arrived. */
    TimePoint lastPart_;

    /** The answer of the current attempt has begun. */
    bool responseStarted_ = false;

    /** The current attempt at the stall detector, and whether it was ended because its server is
     * stalled. */
    StallDetector::RequestKey watch_ = 0;
    bool stalled_ = false;

    /** When the current attempt began, and the time after which its wait is unusually long. */
    TimePoint attemptStart_;
    std::chrono::milliseconds silenceTimeout_{0};

    /** Servers that got at least a part of the request. */
    int sentTo_ = 0;

    /** A server may have run the request. */
    bool mayHaveRun_ = false;

    /** A failure that a server gave; delivered if no other server does better. */
    std::optional<HttpResponse> serverFailure_;

    Error lastError_{ErrorKind::NoCapacity, "no backend server", {}};
    RelayOutcome outcome_;
};

} // namespace jy
