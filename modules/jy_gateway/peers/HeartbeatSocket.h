#pragma once

#include "jy_base/net/Endpoint.h"
#include "jy_runtime/fibers/EventLoop.h"

#include <functional>
#include <memory>
#include <string_view>

namespace jy {

/** UDP socket that sends and receives heartbeats. */
class HeartbeatSocket
{
public:
    /** Called in the receiving fiber with each datagram. Must not suspend the fiber. */
    using Handler = std::function<void(std::string_view)>;

    /** Binds the endpoint and starts to receive. @returns SettingsInvalid if it cannot be bound */
    static Result<std::unique_ptr<HeartbeatSocket>>
    create(EventLoop &loop, const Endpoint &endpoint, Handler handler);

    HeartbeatSocket(const HeartbeatSocket &) = delete;
    HeartbeatSocket &operator=(const HeartbeatSocket &) = delete;
    ~HeartbeatSocket();

    /** Sends without blocking. A datagram that the socket does not accept is dropped. */
    void send(std::string_view bytes, const Endpoint &to);

private:
    struct State;
    explicit HeartbeatSocket(std::shared_ptr<State> state);

    std::shared_ptr<State> state_;
};

} // namespace jy
