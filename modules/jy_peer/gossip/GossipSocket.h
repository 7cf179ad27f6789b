#pragma once

#include "jy_base/errors/Error.h"
#include "jy_core/membership/MembershipMessages.h"
#include "jy_peer/auth/KeyRing.h"
#include "jy_runtime/fibers/EventLoop.h"

#include <cstdint>
#include <functional>
#include <memory>

namespace jy {

/** Counters of a gossip socket since its creation. */
struct GossipCounters
{
    std::uint64_t sent = 0;
    std::uint64_t sentBytes = 0;
    std::uint64_t received = 0;
    std::uint64_t receivedBytes = 0;
    std::uint64_t malformed = 0;
    std::uint64_t unauthenticated = 0;

    /** Not sent, because the datagram exceeds maxDatagramBytes. */
    std::uint64_t tooLarge = 0;

    /** Not sent, because the socket refused it. */
    std::uint64_t sendErrors = 0;
};

/**
 * Authenticated UDP datagrams between routers.
 *
 * Bad datagrams are dropped and counted; there is no answer to them.
 */
class GossipSocket
{
public:
    /** Runs in the receiving fiber of the socket. */
    using Handler = std::function<void(Datagram, Endpoint)>;

    /**
     * Binds the endpoint and starts receiving. Port 0 binds a free port.
     *
     * @returns SettingsInvalid when the endpoint cannot be bound
     */
    static Result<GossipSocket> create(EventLoop &loop, const Endpoint &endpoint,
                                       std::shared_ptr<const KeyRing> keys, Handler handler);

    GossipSocket(GossipSocket &&other) noexcept;
    GossipSocket &operator=(GossipSocket &&other) noexcept;
    ~GossipSocket();

    /** Sends without waiting; a full socket buffer drops the datagram, as UDP may. */
    void send(const Datagram &datagram, const Endpoint &to);

    /** The bound endpoint. */
    const Endpoint &localEndpoint() const;

    const GossipCounters &counters() const;

private:
    struct State;
    explicit GossipSocket(std::shared_ptr<State> state);

    std::shared_ptr<State> state_;
};

} // namespace jy
