#include "ProxyLink.h"

#include "jy_runtime/jy_runtime.h"

#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/write.hpp>

#include <array>
#include <list>

namespace jy::standins {

namespace {

using boost::asio::ip::tcp;
using ErrorCode = boost::system::error_code;

constexpr std::size_t chunkBytes = 16 * 1024;

struct Connection
{
    explicit Connection(boost::asio::io_context &io)
        : caller(io)
        , target(io)
    { }

    void close(bool reset)
    {
        for (tcp::socket *socket : {&caller, &target}) {
            ErrorCode ignored;
            if (reset)
                socket->set_option(boost::asio::socket_base::linger(true, 0), ignored);
            socket->close(ignored);
        }
    }

    tcp::socket caller;
    tcp::socket target;
};

class TcpLink final : public ProxyLink, public std::enable_shared_from_this<TcpLink>
{
public:
    TcpLink(boost::asio::io_context &io, std::uint16_t listenPort, std::uint16_t targetPort,
            FaultDice &dice)
        : io_(io)
        , acceptor_(io, tcp::endpoint(boost::asio::ip::address_v4::loopback(), listenPort))
        , target_(boost::asio::ip::address_v4::loopback(), targetPort)
        , dice_(dice)
    { }

    void start()
    {
        EventLoop::spawn([self = shared_from_this()] { self->acceptLoop(); });
    }

    void rulesChanged() override
    {
        if (!rules.reset)
            return;
        for (const auto &weak : connections_) {
            if (const auto connection = weak.lock())
                connection->close(true);
        }
        connections_.clear();
    }

private:
    void acceptLoop()
    {
        while (true) {
            auto connection = std::make_shared<Connection>(io_);
            ErrorCode error;
            acceptor_.async_accept(connection->caller, FiberToken{error});
            if (error)
                return;
            ++counters.sessions;
            EventLoop::spawn([self = shared_from_this(), connection] { self->serve(connection); });
        }
    }

    void serve(const std::shared_ptr<Connection> &connection)
    {
        ErrorCode error;
        if (rules.reset || dice_.hits(rules.drop)) {
            ++counters.faults;
            connection->close(true);
            return;
        }
        connection->target.async_connect(target_, FiberToken{error});
        if (error) {
            connection->close(true);
            return;
        }
        connection->caller.set_option(tcp::no_delay(true), error);
        connection->target.set_option(tcp::no_delay(true), error);
        connections_.remove_if([](const auto &weak) { return weak.expired(); });
        connections_.push_back(connection);
        EventLoop::spawn([self = shared_from_this(), connection] {
            self->pump(*connection, connection->target, connection->caller, false);
        });
        pump(*connection, connection->caller, connection->target, true);
    }

    void pump(Connection &connection, tcp::socket &from, tcp::socket &to, bool forward)
    {
        std::array<char, chunkBytes> buffer{};
        ErrorCode error;
        while (true) {
            const std::size_t size =
                from.async_read_some(boost::asio::buffer(buffer), FiberToken{error});
            if (error)
                break;
            if (!forward && rules.loseAnswers > 0) {
                --rules.loseAnswers;
                ++counters.faults;
                connection.close(true);
                return;
            }
            std::chrono::milliseconds wait = dice_.delayFor(rules);
            if (rules.bytesPerSecond > 0)
                wait += std::chrono::milliseconds(size * 1000 / rules.bytesPerSecond);
            if (wait.count() > 0)
                EventLoop::sleepFor(wait);
            if (forward ? rules.cutForward : rules.cutBackward) {
                ++counters.faults;
                continue;
            }
            boost::asio::async_write(to, boost::asio::buffer(buffer.data(), size),
                                     FiberToken{error});
            if (error)
                break;
            (forward ? counters.bytesForward : counters.bytesBackward) += size;
        }
        // A half-close is passed on, so that the other direction can finish.
        ErrorCode ignored;
        if (error == boost::asio::error::eof)
            to.shutdown(tcp::socket::shutdown_send, ignored);
        else
            connection.close(true);
    }

    boost::asio::io_context &io_;
    tcp::acceptor acceptor_;
    tcp::endpoint target_;
    FaultDice &dice_;
    std::list<std::weak_ptr<Connection>> connections_;
};

} // namespace

std::shared_ptr<ProxyLink> createTcpLink(boost::asio::io_context &io, std::uint16_t listenPort,
                                         std::uint16_t targetPort, FaultDice &dice)
{
    auto link = std::make_shared<TcpLink>(io, listenPort, targetPort, dice);
    link->start();
    return link;
}

} // namespace jy::standins
