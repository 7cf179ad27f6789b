#pragma once

#include "jy_base/net/Endpoint.h"
#include "jy_runtime/fibers/EventLoop.h"

#include <functional>
#include <memory>
#include <string_view>

namespace jy {

/** UDP socket for heartbeats. */
class HeartbeatSocket
{
public:
    /** Runs in the receiving fiber; must not suspend it. */
    using Handler = std::function<void(std::string_view)>;

    /** Binds the endpoint and starts to receive. @returns SettingsInvalid */
    static Result<std::unique_ptr<HeartbeatSocket>>
    create(EventLoop &loop, const Endpoint &endpoint, Handler handler);

    HeartbeatSocket(const HeartbeatSocket &) = delete;
    HeartbeatSocket &operator=(const HeartbeatSocket &) = delete;
    ~HeartbeatSocket();

    /** Sends without waiting; a datagram that the socket refuses is lost, as any may be. */
    void send(std::string_view bytes, const Endpoint &to);

private:
    struct State;
    explicit HeartbeatSocket(std::shared_ptr<State> state);

    std::shared_ptr<State> state_;
};

} // namespace jy
