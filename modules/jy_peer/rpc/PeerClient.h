#pragma once

#include "jy_base/errors/Error.h"
#include "jy_base/ids/Ids.h"
#include "jy_core/model/Endpoint.h"
#include "jy_peer/auth/KeyRing.h"
#include "jy_peer/generated/peer.pb.h"
#include "jy_runtime/fibers/EventLoop.h"

#include <chrono>
#include <cstdint>
#include <memory>

namespace jy {

struct PeerClientSettings
{
    /** A channel without calls for this long is closed. */
    std::chrono::milliseconds idleTimeout{60000};

    /** Largest reply; a complete configuration is the largest one. */
    std::size_t maxReplyBytes = 80 << 20;
};

struct PeerClientCounters
{
    std::uint64_t calls = 0;
    std::uint64_t failures = 0;

    /** Requests and replies, with an estimate for headers and framing. */
    std::uint64_t bytes = 0;

    std::size_t openChannels = 0;
};

/**
 * Calls to other routers. Each call suspends the calling fiber until the reply or the timeout.
 *
 * Every transport failure, rejection by the callee's server and timeout is PeerUnreachable: no
 * backend server has seen the request. The callee may have processed the call nevertheless, so
 * reservations expire and claims carry an attempt id. Failures that the callee reports in the
 * reply are left to the caller. Used only on the loop's thread, and destroyed after its last call.
 */
class PeerClient
{
public:
    using Timeout = std::chrono::milliseconds;

    /** @param self the id that the calls carry */
    static PeerClient create(EventLoop &loop, std::shared_ptr<const KeyRing> keys, InstanceId self,
                             PeerClientSettings settings = {});

    PeerClient(PeerClient &&other) noexcept;
    PeerClient &operator=(PeerClient &&other) noexcept;
    ~PeerClient();

    Result<peer::ReserveReply> reserve(const Endpoint &to, const peer::ReserveRequest &request,
                                       Timeout timeout);
    Result<peer::ReleaseReply> release(const Endpoint &to, const peer::ReleaseRequest &request,
                                       Timeout timeout);
    Result<peer::InFlightReply>
    reportInFlight(const Endpoint &to, const peer::InFlightReport &request, Timeout timeout);
    Result<peer::HandOffReply> handOff(const Endpoint &to, const peer::HandOffRequest &request,
                                       Timeout timeout);
    Result<peer::FetchConfigReply>
    fetchConfig(const Endpoint &to, const peer::FetchConfigRequest &request, Timeout timeout);
    Result<peer::OutcomeReply> reportOutcomes(const Endpoint &to,
                                              const peer::OutcomeReport &request, Timeout timeout);
    Result<peer::StopMarks> spreadStopMarks(const Endpoint &to, const peer::StopMarks &request,
                                            Timeout timeout);
    Result<peer::ClaimReply> claim(const Endpoint &to, const peer::ClaimRequest &request,
                                   Timeout timeout);
    Result<peer::RecordOutcomeReply>
    recordOutcome(const Endpoint &to, const peer::RecordOutcomeRequest &request, Timeout timeout);

    /** Closes idle channels; every call does so, too. */
    void closeIdleChannels();

    PeerClientCounters counters() const;

private:
    struct State;
    explicit PeerClient(std::unique_ptr<State> state);

    std::unique_ptr<State> state_;
};

} // namespace jy
