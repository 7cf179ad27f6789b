#include "jy_core/membership/DatagramSize.h"
#include "jy_peer/gossip/DatagramCodec.h"
#include "jy_peer/gossip/GossipSocket.h"

#include <boost/asio/ip/udp.hpp>
#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

using namespace std::chrono_literals;

namespace {

std::shared_ptr<jy::KeyRing> keyRing(char fill = 'k')
{
    return jy::KeyRing::create({{"key-1", std::string(32, fill)}}, "key-1").value();
}

rc::Gen<std::string> text()
{
    return rc::gen::resize(24, rc::gen::container<std::string>(rc::gen::inRange(' ', '~')));
}

rc::Gen<jy::Endpoint> endpoint()
{
    return rc::gen::build<jy::Endpoint>(
        rc::gen::set(&jy::Endpoint::address, text()),
        rc::gen::set(&jy::Endpoint::port, rc::gen::arbitrary<std::uint16_t>()));
}

template <class Id>
rc::Gen<Id> id()
{
    return rc::gen::map(text(), [](std::string value) { return Id('i' + std::move(value)); });
}

rc::Gen<jy::MemberInfo> member()
{
    using M = jy::MemberInfo;
    return rc::gen::build<M>(
        rc::gen::set(&M::id, id<jy::InstanceId>()), rc::gen::set(&M::domain, id<jy::DomainId>()),
        rc::gen::set(&M::region, id<jy::RegionId>()), rc::gen::set(&M::gossip, endpoint()),
        rc::gen::set(&M::rpc, endpoint()), rc::gen::set(&M::caller, endpoint()),
        rc::gen::set(&M::operations, endpoint()),
        rc::gen::set(&M::incarnation, rc::gen::arbitrary<std::uint64_t>()),
        rc::gen::set(&M::state,
                     rc::gen::element(jy::MemberState::Alive, jy::MemberState::Suspect,
                                      jy::MemberState::Dead, jy::MemberState::Left)),
        rc::gen::set(&M::appliedRevision, rc::gen::arbitrary<std::uint64_t>()));
}

decltype(jy::Datagram::body) anyBody()
{
    const auto number = *rc::gen::arbitrary<std::uint64_t>();
    const auto small = *rc::gen::arbitrary<std::uint32_t>();
    switch (*rc::gen::inRange(0, 8)) {
    case 0:
        return jy::Ping{number};
    case 1:
        return jy::Ack{number};
    case 2:
        return jy::PingRequest{number, *endpoint(), *id<jy::InstanceId>()};
    case 3:
        return jy::SyncRequest{*id<jy::InstanceId>()};
    case 4:
        return jy::SyncPage{*id<jy::InstanceId>(), *id<jy::InstanceId>()};
    case 5:
        return jy::PoolReport{*text(), small, small, small, small};
    case 6:
        return jy::PoolTotals{{*text(), small, small, small, small}};
    default:
        return jy::Announce{};
    }
}

// Guards against a field that is lost on the wire, and against a size estimate below the real size,
// which would let a datagram exceed the limit.
RC_GTEST_PROP(DatagramCodec, KeepsEveryFieldWithinTheSizeBound, ())
{
    jy::Datagram datagram;
    datagram.piggyback.sender = *member();
    datagram.piggyback.updates = *rc::gen::container<std::vector<jy::MemberInfo>>(member());
    datagram.piggyback.headRevision = *rc::gen::arbitrary<std::uint64_t>();
    datagram.piggyback.stopMarks = {*rc::gen::arbitrary<std::uint32_t>(),
                                    *rc::gen::arbitrary<std::uint64_t>()};
    datagram.piggyback.hybridTime = {*rc::gen::arbitrary<std::int64_t>(),
                                     *rc::gen::arbitrary<std::uint32_t>()};
    datagram.piggyback.tableDigest = *rc::gen::arbitrary<std::uint64_t>();
    datagram.body = anyBody();

    const auto payload = jy::encodeDatagram(datagram);
    RC_ASSERT(payload.size() <= jy::encodedSizeBound(datagram));
    const auto ring = keyRing();
    const auto sealed = jy::sealDatagram(*ring, payload).value();
    RC_ASSERT(sealed.size() <= payload.size() + jy::sealBytes);
    RC_ASSERT(jy::decodeDatagram(jy::openDatagram(*ring, sealed).value()).value() == datagram);
}

// Guards against a crash or an accepted forgery when bytes are altered on the way.
RC_GTEST_PROP(DatagramCodec, RejectsAlteredDatagrams, ())
{
    jy::Datagram datagram;
    datagram.piggyback.sender = *member();
    const auto ring = keyRing();
    auto sealed = jy::sealDatagram(*ring, jy::encodeDatagram(datagram)).value();
    const auto position = *rc::gen::inRange<std::size_t>(0, sealed.size());
    sealed[position] = static_cast<char>(sealed[position] ^ *rc::gen::inRange(1, 256));
    const auto opened = jy::openDatagram(*ring, sealed);
    const bool harmless = !opened || opened.value() == jy::encodeDatagram(datagram);
    RC_ASSERT(harmless);
}

RC_GTEST_PROP(DatagramCodec, ToleratesAnyBytes, (const std::string &bytes))
{
    if (const auto datagram = jy::decodeDatagram(bytes))
        RC_ASSERT(!datagram.value().piggyback.sender.id.empty());
    RC_ASSERT(!jy::openDatagram(*keyRing(), bytes));
}

void sendRaw(jy::EventLoop &loop, const std::string &bytes, const jy::Endpoint &to)
{
    namespace ip = boost::asio::ip;
    ip::udp::socket socket(loop.io(), ip::udp::v4());
    socket.send_to(boost::asio::buffer(bytes), {ip::make_address(to.address), to.port});
}

// Guards against a socket that stops, crashes or delivers when it receives bad datagrams, which
// anyone on the network can send.
TEST(GossipSocket, DropsAndCountsBadDatagrams)
{
    jy::EventLoop loop;
    loop.run([&] {
        std::vector<jy::Datagram> delivered;
        auto receiver =
            jy::GossipSocket::create(loop, {"127.0.0.1", 0}, keyRing(),
                                     [&](const jy::Datagram &datagram, const jy::Endpoint &) {
                                         delivered.push_back(datagram);
                                     })
                .value();
        const auto ignore = [](const jy::Datagram &, const jy::Endpoint &) {};
        auto stranger =
            jy::GossipSocket::create(loop, {"127.0.0.1", 0}, keyRing('x'), ignore).value();
        auto sender = jy::GossipSocket::create(loop, {"127.0.0.1", 0}, keyRing(), ignore).value();

        jy::Datagram datagram;
        datagram.piggyback.sender.id = jy::InstanceId("router-1");
        datagram.body = jy::Ping{7};
        const auto &to = receiver.localEndpoint();
        stranger.send(datagram, to);
        sendRaw(loop, "not a datagram", to);
        sendRaw(loop, std::string(3000, 'x'), to);
        sendRaw(loop, jy::sealDatagram(*keyRing(), "not a payload").value(), to);
        jy::Datagram large = datagram;
        large.piggyback.updates.resize(100, {.id = jy::InstanceId("router-1234567890")});
        sender.send(large, to);
        sender.send(datagram, to);
        for (int i = 0; i < 400 && delivered.empty(); ++i)
            jy::EventLoop::sleepFor(5ms);

        ASSERT_EQ(delivered.size(), 1U);
        EXPECT_EQ(delivered.front(), datagram);
        EXPECT_EQ(receiver.counters().unauthenticated, 1U);
        EXPECT_EQ(receiver.counters().malformed, 3U);
        EXPECT_EQ(sender.counters().tooLarge, 1U);
        EXPECT_EQ(sender.counters().sent, 1U);
        EXPECT_FALSE(jy::GossipSocket::create(loop, to, keyRing(), ignore));
    });
}

} // namespace
