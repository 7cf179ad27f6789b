#include "jy_gateway/peers/HeartbeatSocket.h"

#include "jy_gateway/peers/HeartbeatCodec.h"
#include "jy_runtime/fibers/FiberToken.h"
#include "jy_runtime/logging/Log.h"

#include <boost/asio/ip/udp.hpp>

#include <array>

namespace jy {

using boost::asio::ip::udp;

struct HeartbeatSocket::State
{
    explicit State(boost::asio::io_context &io)
        : socket(io)
    { }

    void receiveLoop();

    /** Calls the handler. Logs its exceptions, so that one datagram cannot end the receive loop. */
    void deliver(std::string_view bytes);

    udp::socket socket;
    Handler handler;
};

void HeartbeatSocket::State::receiveLoop()
{
    std::array<char, maxReportBytes + maxHeartbeatBytes> buffer{};
    while (socket.is_open()) {
        udp::endpoint from;
        boost::system::error_code error;
        const auto size =
            socket.async_receive_from(boost::asio::buffer(buffer), from, FiberToken{error});
        if (!socket.is_open() || error == boost::asio::error::operation_aborted)
            return;
        // ICMP errors of earlier sends are reported here; the socket remains usable.
        if (!error)
            deliver({buffer.data(), size});
    }
}

void HeartbeatSocket::State::deliver(std::string_view bytes)
{
    try {
        handler(bytes);
    } catch (const std::exception &problem) {
        logEvent(LogLevel::Error, "beat-failed", {{"reason", problem.what()}});
    }
}

Result<std::unique_ptr<HeartbeatSocket>>
HeartbeatSocket::create(EventLoop &loop, const Endpoint &endpoint, Handler handler)
{
    auto state = std::make_shared<State>(loop.io());
    boost::system::error_code error;
    const auto address = boost::asio::ip::make_address(endpoint.address, error);
    const udp::endpoint bound(address, endpoint.port);
    if (!error)
        state->socket.open(bound.protocol(), error);
    if (!error)
        state->socket.bind(bound, error);
    if (!error)
        state->socket.non_blocking(true, error);
    if (error) {
        return failure(ErrorKind::SettingsInvalid,
                       "cannot bind UDP " + toString(endpoint) + ": " + error.message());
    }
    state->handler = std::move(handler);
    EventLoop::spawn([state] { state->receiveLoop(); });
    return std::unique_ptr<HeartbeatSocket>(new HeartbeatSocket(std::move(state)));
}

HeartbeatSocket::HeartbeatSocket(std::shared_ptr<State> state)
    : state_(std::move(state))
{ }

HeartbeatSocket::~HeartbeatSocket()
{
    boost::system::error_code ignored;
    state_->socket.close(ignored);
}

void HeartbeatSocket::send(std::string_view bytes, const Endpoint &to)
{
    boost::system::error_code error;
    const auto address = boost::asio::ip::make_address(to.address, error);
    if (!error)
        state_->socket.send_to(boost::asio::buffer(bytes), udp::endpoint(address, to.port), 0,
                               error);
    if (error)
        logEvent(LogLevel::Debug, "beat-not-sent",
                 {{"to", toString(to)}, {"reason", error.message()}});
}

} // namespace jy
