#include "jy_http/wire/SocketDeadline.h"

namespace jy {

SocketDeadline::SocketDeadline(boost::asio::ip::tcp::socket &socket, TimePoint at, Effect effect)
    : timer_(socket.get_executor(), at)
    , state_(std::make_shared<State>())
{
    timer_.async_wait([state = state_, &socket, effect](boost::system::error_code error) {
        if (error || !state->active)
            return;
        boost::system::error_code ignored;
        if (effect == Effect::CloseIfIdle && socket.available(ignored) > 0)
            return;
        state->expired = true;
        if (effect != Effect::EndReads)
            socket.close(ignored);
        else
            socket.shutdown(boost::asio::ip::tcp::socket::shutdown_receive, ignored);
    });
}

SocketDeadline::~SocketDeadline()
{
    state_->active = false;
}

} // namespace jy
