#include "jy_peer/gossip/GossipSocket.h"

#include "jy_core/membership/DatagramSize.h"
#include "jy_peer/gossip/DatagramCodec.h"
#include "jy_runtime/fibers/FiberToken.h"

#include <boost/asio/ip/udp.hpp>

namespace jy {

using boost::asio::ip::udp;

struct GossipSocket::State
{
    explicit State(boost::asio::io_context &io)
        : socket(io)
    { }

    void receiveLoop();
    void open(std::string_view bytes, const udp::endpoint &from);

    udp::socket socket;
    std::shared_ptr<const KeyRing> keys;
    Handler handler;
    Endpoint local;
    GossipCounters counters;
};

void GossipSocket::State::receiveLoop()
{
    // One byte more than allowed, to notice datagrams that are too long.
    std::array<char, maxDatagramBytes + 1> buffer{};
    while (socket.is_open()) {
        udp::endpoint from;
        boost::system::error_code error;
        const auto size =
            socket.async_receive_from(boost::asio::buffer(buffer), from, FiberToken{error});
        if (!socket.is_open() || error == boost::asio::error::operation_aborted)
            return;
        // ICMP errors of earlier sends arrive here; they say nothing about the socket.
        if (!error)
            open({buffer.data(), size}, from);
    }
}

void GossipSocket::State::open(std::string_view bytes, const udp::endpoint &from)
{
    ++counters.received;
    counters.receivedBytes += bytes.size();
    if (bytes.size() > maxDatagramBytes) {
        ++counters.malformed;
        return;
    }
    const auto payload = openDatagram(*keys, bytes);
    if (!payload) {
        auto &counter = payload.error().kind == ErrorKind::Unauthenticated
            ? counters.unauthenticated
            : counters.malformed;
        ++counter;
        return;
    }
    auto datagram = decodeDatagram(payload.value());
    if (!datagram) {
        ++counters.malformed;
        return;
    }
    handler(std::move(datagram).value(), {from.address().to_string(), from.port()});
}

Result<GossipSocket> GossipSocket::create(EventLoop &loop, const Endpoint &endpoint,
                                          std::shared_ptr<const KeyRing> keys, Handler handler)
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
    state->local = {endpoint.address, state->socket.local_endpoint().port()};
    state->keys = std::move(keys);
    state->handler = std::move(handler);
    EventLoop::spawn([state] { state->receiveLoop(); });
    return GossipSocket(std::move(state));
}

GossipSocket::GossipSocket(std::shared_ptr<State> state)
    : state_(std::move(state))
{ }

GossipSocket::GossipSocket(GossipSocket &&other) noexcept = default;

GossipSocket &GossipSocket::operator=(GossipSocket &&other) noexcept
{
    std::swap(state_, other.state_);
    return *this;
}

GossipSocket::~GossipSocket()
{
    if (!state_)
        return;
    boost::system::error_code ignored;
    state_->socket.close(ignored);
}

void GossipSocket::send(const Datagram &datagram, const Endpoint &to)
{
    auto &counters = state_->counters;
    const auto sealed = sealDatagram(*state_->keys, encodeDatagram(datagram));
    boost::system::error_code error;
    const auto address = boost::asio::ip::make_address(to.address, error);
    if (!sealed || error) {
        ++counters.sendErrors;
        return;
    }
    if (sealed.value().size() > maxDatagramBytes) {
        ++counters.tooLarge;
        return;
    }
    state_->socket.send_to(boost::asio::buffer(sealed.value()), udp::endpoint(address, to.port), 0,
                           error);
    if (error) {
        ++counters.sendErrors;
        return;
    }
    ++counters.sent;
    counters.sentBytes += sealed.value().size();
}

const Endpoint &GossipSocket::localEndpoint() const
{
    return state_->local;
}

const GossipCounters &GossipSocket::counters() const
{
    return state_->counters;
}

} // namespace jy
