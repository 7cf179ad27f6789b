#pragma once

#include "jy_base/errors/Error.h"
#include "jy_core/model/Endpoint.h"
#include "jy_peer/auth/KeyRing.h"
#include "jy_peer/rpc/PeerHandlers.h"
#include "jy_runtime/fibers/EventLoop.h"

#include <chrono>
#include <cstdint>
#include <memory>

namespace jy {

struct PeerServerSettings
{
    /** Further calls are rejected at once with RESOURCE_EXHAUSTED. */
    std::size_t maxInProgress = 512;

    /** Largest request; a hand-off with full exception tables is the largest one. */
    std::size_t maxRequestBytes = 8 << 20;
};

struct PeerServerCounters
{
    std::uint64_t calls = 0;
    std::uint64_t unauthenticated = 0;

    /** Rejected, because too many calls were in progress or the server is shutting down. */
    std::uint64_t rejected = 0;
};

/** gRPC server of the peer protocol. Its handlers run in fibers on the loop. */
class PeerServer
{
public:
    /**
     * Starts listening. Port 0 listens on a free port.
     *
     * @returns SettingsInvalid when the endpoint cannot be bound
     */
    static Result<PeerServer> create(EventLoop &loop, const Endpoint &endpoint,
                                     std::shared_ptr<const KeyRing> keys, PeerHandlers handlers,
                                     PeerServerSettings settings = {});

    PeerServer(PeerServer &&other) noexcept;
    PeerServer &operator=(PeerServer &&other) noexcept;

    /** Calls shutdown() without grace if that has not happened; must run in a fiber. */
    ~PeerServer();

    /**
     * Rejects new calls and suspends the fiber until the calls in progress have ended. Calls that
     * last longer than @p grace are cancelled for the caller; their handlers still run to the end.
     */
    void shutdown(std::chrono::milliseconds grace);

    /** The bound endpoint. */
    const Endpoint &localEndpoint() const;

    PeerServerCounters counters() const;

private:
    struct State;
    explicit PeerServer(std::unique_ptr<State> state);

    std::unique_ptr<State> state_;
};

} // namespace jy
