#pragma once

#include "jy_base/time/TimeTypes.h"

#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>

#include <memory>

namespace jy {

/**
 * Ends the operations of a socket at a deadline for as long as the object lives.
 *
 * The effect on the socket is permanent, because cancelling only the pending operation would miss
 * a composed operation that is between two steps.
 */
class SocketDeadline
{
public:
    enum class Effect {
        EndReads, /**< reads return end of file; a response can still be written */
        Close,
        CloseIfIdle, /**< closes unless received bytes wait to be read */
    };

    SocketDeadline(boost::asio::ip::tcp::socket &socket, TimePoint at, Effect effect);
    SocketDeadline(const SocketDeadline &) = delete;
    SocketDeadline &operator=(const SocketDeadline &) = delete;
    ~SocketDeadline();

    bool expired() const { return state_->expired; }

private:
    struct State
    {
        bool active = true;
        bool expired = false;
    };

    boost::asio::steady_timer timer_;
    std::shared_ptr<State> state_;
};

} // namespace jy
