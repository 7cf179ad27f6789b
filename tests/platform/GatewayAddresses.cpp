#include "GatewayAddresses.h"

#include <absl/strings/str_join.h>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/ip/udp.hpp>

#include <unistd.h>

#include <fstream>

namespace jy::platform::test {

namespace {

// Below the kernel's ephemeral port range, so that no outgoing connection takes a free port before
// the program binds it. Test programs that run at the same time start at different ports.
constexpr int lowestPort = 12'000;
constexpr int highestPort = 32'000;
constexpr int portsPerProcess = 200;

bool isFree(EventLoop &loop, std::uint16_t port)
{
    const auto address = boost::asio::ip::make_address("127.0.0.1");
    boost::system::error_code error;
    boost::asio::ip::tcp::acceptor acceptor(loop.io());
    acceptor.open(boost::asio::ip::tcp::v4());
    acceptor.bind({address, port}, error);
    boost::asio::ip::udp::socket socket(loop.io(), boost::asio::ip::udp::v4());
    if (!error)
        socket.bind({address, port}, error);
    return !error;
}

} // namespace

Endpoint freeEndpoint(EventLoop &loop)
{
    static int next =
        lowestPort + ::getpid() * portsPerProcess % (highestPort - lowestPort - portsPerProcess);
    while (!isFree(loop, static_cast<std::uint16_t>(next)))
        ++next;
    return {"127.0.0.1", static_cast<std::uint16_t>(next++)};
}

GatewayAddresses GatewayAddresses::create(EventLoop &loop, std::string id, std::string domain)
{
    return {std::move(id),      std::move(domain),  freeEndpoint(loop), freeEndpoint(loop),
            freeEndpoint(loop), freeEndpoint(loop), freeEndpoint(loop), freeEndpoint(loop)};
}

void GatewayAddresses::writeSettings(const std::string &file, const Endpoint &store,
                                     const std::vector<Endpoint> &seeds,
                                     const std::string &more) const
{
    const auto listed = absl::StrJoin(
        seeds, "\",\"", [](std::string *out, const Endpoint &seed) { *out += toString(seed); });
    std::ofstream settings(file);
    settings << R"({"instance":{"id":")" << id << R"(","domain":")" << domain
             << R"(","region":"r"},"listen":{"caller":")" << toString(caller)
             << R"(","directory":")" << toString(directory) << R"(","readiness":")"
             << toString(readiness) << R"(","control":")" << toString(control) << R"(","peer":")"
             << toString(peer) << R"(","metrics":")" << toString(metrics) << R"("},"store":")"
             << toString(store) << R"(","seeds":[")" << listed << R"("])" << more << '}';
}

} // namespace jy::platform::test
