#pragma once

#include "jy_gateway/placement/PromptAffinity.h"
#include "jy_gateway/relay/EventSplitter.h"
#include "jy_gateway/relay/RequestRelay.h"
#include "jy_gateway/relay/RetryReservation.h"
#include "jy_gateway/relay/SilenceTimer.h"

#include <optional>

namespace jy {

/** Relays one request, including its retries. Internal to RequestRelay. */
class RelayExchange
{
public:
    RelayExchange(RequestRelay &relay, const HttpRequest &request, HttpResponder &responder,
                  std::shared_ptr<const RoutingConfig> config, const Route &route,
                  const RequestMetadata &metadata, WorkspaceId workspace, int priority,
                  TimePoint start);

    /** Tries backend servers until a response is delivered or no further attempt is allowed. */
    RelayOutcome run();

    /** When the request ends without a response, by its caller's and its route's timeout. */
    TimePoint deadline() const { return deadline_; }

private:
    /** Result of one attempt. */
    enum class Step {
        Done, /**< the caller has a response or has disconnected */
        NotSent, /**< no byte was written; counts neither as an attempt nor as a retry */
        NotRun, /**< the request did not run, so it may be retried */
        MayHaveRun, /**< may be retried only if the route's requests are repeatable */
    };

    Step attempt(const Placement &placement);

    /** Registers the current attempt with the stall detector.
     *
     * @param cancellation ends the attempt of a repeatable request that moves to another server
     */
    void beginWatch(const ServerId &server, const std::shared_ptr<Cancellation> &cancellation);

    /** Ends the attempt at a silent server if the next one is reserved; otherwise the attempt goes
     * on. @returns whether the attempt may still move later */
    bool moveFromSilentServer(const ServerId &server);

    RetryReservation::Hooks retryHooks();
    RetryState retryState(bool unsent, bool repeatable) const;
    HttpCallOptions callOptions(const ServerId &server,
                                const std::shared_ptr<Cancellation> &cancellation);
    Step relayResponse(HttpStream &stream, const RegisteredServer &server);

    /** Applies what the response head states about its server: cold, leaving or backing off. */
    void applyServerState(const ResponseMetadata &metadata, const RegisteredServer &server);

    /** Checks again after connecting, as the server may have begun to leave or back off meanwhile.
     *
     * @returns an error if the request must not be sent to the server
     */
    Result<void> mayStillSend(const ServerId &server) const;
    Step relayBuffered(HttpStream &stream, const ServerId &server);
    Step relayUnbuffered(HttpStream &stream, const ServerId &server, std::string begin);
    Step finishBuffered(HttpResponse response, const ServerId &server);
    Step relayEvents(HttpStream &stream, const ServerId &server);
    Step fail(const Error &error, const ServerId &server);

    /** How far a response had come when its connection broke. */
    enum class BreakPoint {
        BeforeHead,
        AfterHead, /**< no event or part of the body had arrived */
        InBody,
    };

    /** Records that the server ended the connection of the current attempt. */
    void noteBroken(const ServerId &server, BreakPoint point);
    Step callerLeft();
    HttpRequest outgoing(const ServerState &server, const ServerId &cachedAt) const;
    bool startResponse(const HttpStream &stream);

    /** Reserves the next attempt after one that ended with @p step. */
    bool mayTryAgain(Step step);
    void refuse(const Placement &placement);

    /** Refuses a request with a prompt part that crashes servers. */
    void refuseQuarantined(std::chrono::milliseconds retryAfter);
    void giveUp();
    void sendError(const Error &error);
    void record(const ServerId &server, ServerOutcome outcome);

    /** Records a complete response with a success. */
    void recordCompleted(const ServerId &server);

    /** Chooses a server of the version that a rollout assigns to the request, or of another one if
     * none of these can take it. */
    Placement place();

    /** Begins to observe an attempt for recordForRollout(). */
    void beginSample(const ServerState &server);

    void notePart(TimePoint received);

    /** Records what the current attempt shows about the version of its server. */
    void recordForRollout(bool ok);

    /** Reports once for each attempt that its server began to run it at @p time. */
    void noteBegan(TimePoint time);
    void recordWait();

    Duration timeLeft() const;

    /** Time left, at least 1 ms: a wait of zero would miss data that has already arrived. */
    std::chrono::milliseconds remainingWait() const;

    /** Wait for the response head after which a repeatable request moves to another server. */
    std::chrono::milliseconds headPatience() const;
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

    /** Memory reserved for the buffered part of the current response. */
    ByteLease bufferLease_;

    /** Part of an unbuffered response has gone to the caller, so no retry is possible. */
    bool unbufferedStarted_ = false;

    /** When the last part of a stream arrived. */
    TimePoint lastPart_;

    /** Keys of the prompt parts that other requests may share. */
    RequestKeys keys_;

    /** Whether the current attempt has received the first part of an event stream. */
    bool responseStarted_ = false;

    /** Key of the current attempt at the stall detector. */
    StallDetector::RequestKey watch_ = 0;

    /** When the retry of the reserved attempt was granted. Declared before the reservation, whose
     * destructor reads it. */
    TimePoint retryGranted_;

    /** The next attempt, and the timer that moves the request to it from a silent server. */
    RetryReservation retry_;
    SilenceTimer silenceTimer_;

    /** Ends the current attempt; set while it may move. */
    std::shared_ptr<Cancellation> attemptCancellation_;

    /** The current attempt waits for the head of its response. */
    bool awaitsHead_ = false;

    /** The current attempt was given up because its server is silent. */
    bool moved_ = false;

    /** A line was logged that says why the current attempt stays at a silent server. */
    bool keptLogged_ = false;

    /** When the current attempt was sent, and whether its server is known to run it. */
    TimePoint sentAt_;
    bool began_ = false;

    /** Server of the current attempt, whether it was known to have the prompt cached, and when the
     * first parts of its stream arrived. */
    RegisteredServer attemptServer_;
    bool promptCached_ = false;
    std::vector<TimePoint> partTimes_;

    /** Start of the current attempt, and the wait after which its server counts as silent. */
    TimePoint attemptStart_;
    std::chrono::milliseconds silenceTimeout_{0};

    /** Number of servers that may have received part of the request. */
    int sentTo_ = 0;

    /** Whether a server may have run the request. */
    bool mayHaveRun_ = false;

    /** Latest 5xx response of a server; delivered if no other server succeeds. */
    std::optional<HttpResponse> serverFailure_;

    Error lastError_{ErrorKind::NoCapacity, "no backend server", {}};
    RelayOutcome outcome_;
};

} // namespace jy
