#include "SoakGateway.h"

namespace jy::soak {

SoakGateway::SoakGateway(EventLoop &loop, standins::FaultDice &dice, std::string id,
                         std::string domain, const Endpoint &store)
    : place_(platform::test::GatewayAddresses::create(loop, std::move(id), std::move(domain)))
    , callerAddress_(platform::test::freeEndpoint(loop))
    , controlAddress_(platform::test::freeEndpoint(loop))
    , peerAddress_(platform::test::freeEndpoint(loop))
    , storeAddress_(platform::test::freeEndpoint(loop))
{
    const auto link = [&](const Endpoint &at, const Endpoint &to) {
        return standins::createTcpLink(loop.io(), at.port, to.port, dice);
    };
    callerLink = link(callerAddress_, place_.caller);
    controlLink = link(controlAddress_, place_.control);
    storeLink = link(storeAddress_, store);
    peerLink = standins::createUdpLink(loop.io(), peerAddress_.port, place_.peer.port, dice);
}

void SoakGateway::start(const std::string &folder, const Endpoint &seed, const Endpoint &dutyApi)
{
    const auto base = folder + '/' + place_.id;
    place_.writeSettings(base + ".json", storeAddress_, {seed},
                         R"(,"duties":{"names":["usage_report","autoscale"],"address":")"
                             + toString(dutyApi)
                             + R"(","usageWindowSeconds":2},"admission":{"enabled":true})");
    ending = false;
    process = std::make_shared<bench::ChildProcess>(
        JY_BINARY_DIR "/jygateway", std::vector<std::string>{"--settings=" + base + ".json"},
        base + ".log");
}

} // namespace jy::soak
