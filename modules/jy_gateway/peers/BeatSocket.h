#pragma once

#include "jy_base/net/Endpoint.h"
#include "jy_runtime/fibers/EventLoop.h"

#include <functional>
#include <memory>
#include <string_view>

namespace jy {

/** UDP socket for beats. */
class BeatSocket
{
public:
    /** Runs in the receiving fiber; must not suspend it. */
    using Handler = std::function<void(std::string_view)>;

    /** Binds the endpoint and starts to receive. @returns SettingsInvalid */
    static Result<std::unique_ptr<BeatSocket>> create(EventLoop &loop, const Endpoint &endpoint,
                                                      Handler handler);

    BeatSocket(const BeatSocket &) = delete;
    BeatSocket &operator=(const BeatSocket &) = delete;
    ~BeatSocket();

    /** Sends without waiting; a datagram that the socket refuses is lost, as any may be. */
    void send(std::string_view bytes, const Endpoint &to);

private:
    struct State;
    explicit BeatSocket(std::shared_ptr<State> state);

    std::shared_ptr<State> state_;
};

} // namespace jy
