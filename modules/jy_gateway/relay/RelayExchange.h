#pragma once

#include "jy_gateway/placement/PromptAffinity.h"
#include "jy_gateway/relay/EventSplitter.h"
#include "jy_gateway/relay/RelayAttempt.h"
#include "jy_gateway/relay/RequestRelay.h"
#include "jy_gateway/relay/RetryReservation.h"
#include "jy_gateway/relay/SilenceTimer.h"

#include <boost/fiber/condition_variable.hpp>
#include <boost/fiber/mutex.hpp>

#include <optional>

namespace jy {

/**
 * Relays one request, including its retries. Internal to RequestRelay.
 *
 * A server that is silent may still respond. Its attempt goes on while a second one, the successor,
 * is opened at another server. The successor takes over with the head of a usable response; if the
 * silent server makes progress before, the successor is dropped.
 */
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

    std::shared_ptr<RelayAttempt> makeAttempt(Placement placement);

    /** Sends the request and waits for the head of the response. */
    void open(RelayAttempt &attempt);

    /** Relays the response of the current attempt, which it opens first unless a fiber does. */
    Step follow(RelayAttempt &attempt);

    /** Gives back the place of an attempt and closes its connection. */
    void end(RelayAttempt &attempt);

    /** Registers an attempt with the stall detector. */
    void watch(RelayAttempt &attempt);

    /**
     * Starts an attempt at another server beside the current one, which is silent, if one can be
     * reserved and none is under way. Must not suspend.
     *
     * @returns whether to call again if the silence lasts
     */
    bool startSuccessor();

    /** Lets the opened successor take over, or records why it cannot. */
    void successorOpened(const std::shared_ptr<RelayAttempt> &attempt);

    /** Ends the successor, because the current attempt has made progress. */
    void dropSuccessor();

    /** Suspends until the head of the response has arrived or the attempt has failed before. */
    void awaitOpened(const RelayAttempt &attempt);

    /** Logs how long the current server is silent and what follows from it. */
    void logSilence(std::string_view event, std::string_view obstacle);

    /** Suspends until no fiber of a successor is left. */
    void awaitSuccessorFibers();

    /** Waits for a place at the servers of the service. @returns false after a final response or if
     * the caller has left */
    bool awaitPlace();

    /** Takes a place for an attempt beside the current one. @returns whether there is one */
    bool takeExtraPlace();

    /** Whether one more server may be tried while requests wait for places. */
    bool hasRoomForRetry() const;

    RetryReservation::Hooks retryHooks();
    RetryState retryState(bool unsent, bool repeatable) const;

    /** Whether another server may run the request after the current one has begun to. */
    bool mayRunAgain() const;
    HttpCallOptions callOptions(RelayAttempt &attempt);

    /**
     * Evaluates the head of a response.
     *
     * @returns how the attempt ends; nothing if the body is to be read
     */
    std::optional<Step> evaluateHead(RelayAttempt &attempt, const HttpStream &stream);
    Step relayResponse(RelayAttempt &attempt, HttpStream &stream);

    /** Applies what the response head states about its server: cold, leaving or backing off. */
    void applyServerState(const ResponseMetadata &metadata, const RegisteredServer &server);

    /** Checks again after connecting, as the server may have begun to leave or back off meanwhile.
     *
     * @returns an error if the request must not be sent to the server
     */
    Result<void> mayStillSend(const ServerId &server) const;
    Step relayBuffered(RelayAttempt &attempt, HttpStream &stream);
    Step relayUnbuffered(RelayAttempt &attempt, HttpStream &stream, std::string begin);
    Step finishBuffered(RelayAttempt &attempt, HttpResponse response);
    Step relayEvents(RelayAttempt &attempt, HttpStream &stream);
    Step fail(RelayAttempt &attempt, const Error &error);

    /** How far a response had come when its connection broke. */
    enum class BreakPoint {
        BeforeHead,
        AfterHead, /**< no event or part of the body had arrived */
        InBody,
    };

    /** Records that the server ended the connection of an attempt. */
    void noteBroken(const RelayAttempt &attempt, BreakPoint point);
    Step callerLeft();

    /** The request for a server, without its body. */
    HttpRequest outgoing(const ServerState &server, const ServerId &cachedAt) const;
    bool startResponse(const HttpStream &stream);

    /** Writes complete events to the caller. @returns false if the caller has left */
    bool passOn(const HttpStream &stream, const std::string &events);

    /** Reserves the next attempt after one that ended with @p step. */
    bool mayTryAgain(Step step);
    void refuse(const Placement &placement);

    /** Refuses a request with a prompt part that crashes servers. */
    void refuseQuarantined(std::chrono::milliseconds retryAfter);
    void giveUp();
    void sendError(const Error &error);
    void record(const RelayAttempt &attempt, ServerOutcome outcome);

    /** Records a complete response with a success. */
    void recordCompleted(RelayAttempt &attempt);

    /** Chooses a server of the version that a rollout assigns to the request, or of another one if
     * none of these can take it. */
    Placement place();

    /** Whether a server is known to have the prompt cached. */
    bool promptCachedAt(const ServerState &server) const;

    /** Records what an attempt shows about the version of its server. */
    void recordForRollout(const RelayAttempt &attempt, bool ok);

    /** Records that part of an event stream has arrived. */
    void notePart(RelayAttempt &attempt, TimePoint received);

    /** Reports once for each attempt that its server began to run it at @p time. */
    void noteBegan(RelayAttempt &attempt, TimePoint time);
    void recordWait(const RelayAttempt &attempt);

    /** Records how long the server took until its response started. */
    void noteStart(const RelayAttempt &attempt, TimePoint time);

    /** Records that a server did not run the request. */
    void noteRefusal(const ResponseMetadata &metadata);

    /** Records that a server closed an established connection before a response, as servers do
     * above their connection limit. */
    void noteClosed(const RelayAttempt &attempt, const Error &error);

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

    /** The request's place at the servers, and that of a second attempt beside a silent one. */
    AdmissionPlace place_;
    std::optional<AdmissionPlace> extraPlace_;

    /** Number of servers that refused the request for lack of room. */
    int fullServers_ = 0;

    /** Keys of the prompt parts that other requests may share. */
    RequestKeys keys_;

    /** When the retry of the reserved attempt was granted. Declared before the reservation, whose
     * destructor reads it. */
    TimePoint retryGranted_;

    /** The next attempt, and the timer that starts it beside a silent one. */
    RetryReservation retry_;
    SilenceTimer silenceTimer_;

    /** The attempt whose response is relayed. */
    std::shared_ptr<RelayAttempt> current_;

    /** The attempt that is to replace the current one; null if there is none. */
    std::shared_ptr<RelayAttempt> successor_;
    int successorFibers_ = 0;

    /** Notified when a fiber of a successor has opened it or ends. */
    boost::fibers::mutex successorMutex_;
    boost::fibers::condition_variable successorChanged_;

    /** A part is being written to the caller, so that the server is not read from. */
    bool writing_ = false;

    /** Number of attempts that wait for the head of their response. */
    int opening_ = 0;

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
