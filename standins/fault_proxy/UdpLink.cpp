#include "ProxyLink.h"

#include "jy_runtime/jy_runtime.h"

#include <boost/asio/ip/udp.hpp>

#include <array>
#include <map>

namespace jy::standins {

namespace {

using boost::asio::ip::udp;
using ErrorCode = boost::system::error_code;

constexpr std::size_t datagramBytes = 2048;

/** Relays datagrams; each caller address gets its own socket towards the target. */
class UdpLink final : public ProxyLink, public std::enable_shared_from_this<UdpLink>
{
public:
    UdpLink(boost::asio::io_context &io, std::uint16_t listenPort, std::uint16_t targetPort,
            FaultDice &dice)
        : io_(io)
        , socket_(std::make_shared<udp::socket>(
              io, udp::endpoint(boost::asio::ip::address_v4::loopback(), listenPort)))
        , target_(boost::asio::ip::address_v4::loopback(), targetPort)
        , dice_(dice)
    { }

    void start()
    {
        EventLoop::spawn([self = shared_from_this()] { self->receiveFromCallers(); });
    }

    void rulesChanged() override { }

private:
    using SocketPtr = std::shared_ptr<udp::socket>;

    void receiveFromCallers()
    {
        std::array<char, datagramBytes> buffer{};
        while (true) {
            udp::endpoint caller;
            ErrorCode error;
            const std::size_t size =
                socket_->async_receive_from(boost::asio::buffer(buffer), caller, FiberToken{error});
            // An ICMP error from an earlier send is reported here and says nothing about the port.
            if (error)
                continue;
            counters.bytesForward += size;
            relay(socketFor(caller), target_, {buffer.data(), size}, rules.cutForward);
        }
    }

    void receiveFromTarget(const SocketPtr &socket, const udp::endpoint &caller)
    {
        std::array<char, datagramBytes> buffer{};
        while (true) {
            udp::endpoint sender;
            ErrorCode error;
            const std::size_t size =
                socket->async_receive_from(boost::asio::buffer(buffer), sender, FiberToken{error});
            if (error)
                continue;
            counters.bytesBackward += size;
            relay(socket_, caller, {buffer.data(), size}, rules.cutBackward);
        }
    }

    SocketPtr socketFor(const udp::endpoint &caller)
    {
        SocketPtr &socket = sockets_[caller];
        if (!socket) {
            ++counters.sessions;
            socket = std::make_shared<udp::socket>(
                io_, udp::endpoint(boost::asio::ip::address_v4::loopback(), 0));
            EventLoop::spawn([self = shared_from_this(), socket, caller] {
                self->receiveFromTarget(socket, caller);
            });
        }
        return socket;
    }

    void relay(const SocketPtr &socket, const udp::endpoint &to, std::string data, bool cut)
    {
        if (cut || rules.reset || dice_.hits(rules.drop)) {
            ++counters.faults;
            return;
        }
        std::chrono::milliseconds wait = dice_.delayFor(rules);
        if (dice_.hits(rules.reorder)) {
            ++counters.faults;
            wait += rules.reorderDelay;
        }
        if (wait.count() == 0) {
            send(*socket, to, data);
            return;
        }
        EventLoop::spawn([self = shared_from_this(), socket, to, data = std::move(data), wait] {
            EventLoop::sleepFor(wait);
            send(*socket, to, data);
        });
    }

    static void send(udp::socket &socket, const udp::endpoint &to, const std::string &data)
    {
        ErrorCode ignored;
        socket.async_send_to(boost::asio::buffer(data), to, FiberToken{ignored});
    }

    boost::asio::io_context &io_;
    SocketPtr socket_;
    udp::endpoint target_;
    FaultDice &dice_;
    std::map<udp::endpoint, SocketPtr> sockets_;
};

} // namespace

std::shared_ptr<ProxyLink> createUdpLink(boost::asio::io_context &io, std::uint16_t listenPort,
                                         std::uint16_t targetPort, FaultDice &dice)
{
    auto link = std::make_shared<UdpLink>(io, listenPort, targetPort, dice);
    link->start();
    return link;
}

} // namespace jy::standins
