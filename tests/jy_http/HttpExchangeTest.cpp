#include "jy_http/HttpTestServer.h"

using namespace std::chrono_literals;
using namespace jy::test;

namespace {

// Guards against bodies that are lost, truncated or mixed up when connections are reused.
TEST(HttpExchange, ReusesOneConnectionForCompleteExchanges)
{
    jy::EventLoop loop;
    loop.run([&] {
        std::size_t largest = 0;
        std::unique_ptr<jy::HttpServer> server;
        auto created = jy::HttpServer::create(
            loop, {}, [&](const jy::HttpRequest &request, jy::HttpResponder &responder) {
                largest = std::max(largest, server->connections());
                responder.send(200, {{"X-Target", request.target}}, request.body);
            });
        server = std::move(created.value());
        auto client = jy::HttpClient::create(loop, clientSettings());
        for (const std::size_t size : {0, 1, 100, 100000, 3000000}) {
            jy::HttpRequest request{.method = "POST", .target = "/a?b=" + std::to_string(size)};
            request.body.assign(size, 'x');
            const auto response = client->request(server->localEndpoint(), request, 2s);
            ASSERT_TRUE(response) << response.error().message;
            EXPECT_EQ(response.value().body, request.body);
            EXPECT_EQ(response.value().headers.value("x-target"), request.target);
        }
        EXPECT_EQ(largest, 1U);
        EXPECT_EQ(client->idleConnections(), 1U);
    });
}

// Guards against buffering parts of a stream until it ends.
TEST(HttpExchange, StreamPartsArriveBeforeTheStreamEnds)
{
    jy::EventLoop loop;
    loop.run([&] {
        bool release = false;
        auto server = jy::HttpServer::create(loop, {}, [&](const auto &, auto &responder) {
                          responder.startStream(200, {{"Content-Type", "text/event-stream"}});
                          responder.write("first");
                          eventually([&] { return release; });
                          responder.write("second");
                          responder.endStream();
                      }).value();
        auto client = jy::HttpClient::create(loop, clientSettings());
        auto stream = client->open(server->localEndpoint(), {}, 2s);
        ASSERT_TRUE(stream);
        EXPECT_EQ(stream.value()->readSome(2s).value(), "first");
        release = true;
        EXPECT_EQ(stream.value()->readSome(2s).value(), "second");
        EXPECT_EQ(stream.value()->readSome(2s).value(), "");
        EXPECT_EQ(client->idleConnections(), 1U);
    });
}

} // namespace
