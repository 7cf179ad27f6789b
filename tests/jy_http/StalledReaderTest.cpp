#include "jy_http/HttpTestServer.h"

using namespace std::chrono_literals;
using namespace jy::test;

namespace {

// Guards against connections that stay for ever because their callers ask for 100 Continue and read
// nothing. Depending on its length, the write that finds no room is that of a response or of 100
// Continue.
TEST(HttpServer, DisconnectsStalledReadersThatExpectContinue)
{
    jy::EventLoop loop;
    loop.run([&] {
        constexpr int callers = 12;
        // More than fit the buffers of the sockets.
        constexpr int requests = 50000;
        auto server = jy::HttpServer::create(
                          loop, {.requestTimeout = 500ms, .writeTimeout = 100ms},
                          [](const auto &, auto &responder) { responder.send(204, {}, ""); })
                          .value();
        std::string bytes;
        for (int i = 0; i < requests; ++i)
            bytes += "POST / HTTP/1.1\r\nExpect: 100-continue\r\nContent-Length: 1\r\n\r\nx";
        std::deque<tcp::socket> sockets;
        const auto &address = server->localEndpoint();
        for (int i = 0; i < callers; ++i) {
            auto &socket = sockets.emplace_back(loop.io(), tcp::v4());
            socket.set_option(tcp::socket::receive_buffer_size(2048 + 64 * i));
            socket.connect({boost::asio::ip::make_address(address.address), address.port});
            jy::EventLoop::spawn([&socket, &bytes] {
                boost::system::error_code ignored;
                boost::asio::async_write(socket, boost::asio::buffer(bytes),
                                         jy::FiberToken{ignored});
            });
        }
        EXPECT_TRUE(eventually([&] { return server->connections() == callers; }));
        for (int i = 0; i < 10 && server->connections() > 0; ++i)
            eventually([&] { return server->connections() == 0; });
        EXPECT_EQ(server->connections(), 0U);
        server->stop();
    });
}

} // namespace
