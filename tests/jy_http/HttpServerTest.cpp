#include "jy_http/HttpTestServer.h"

using namespace std::chrono_literals;
using namespace jy::test;

namespace {

void respondOk(const jy::HttpRequest &, jy::HttpResponder &responder)
{
    responder.send(200, {}, "ok");
}

struct HostileInput
{
    std::string name;
    std::string text;
    std::string expected;
};

class HostileRequest : public testing::TestWithParam<HostileInput>
{ };

// Guards against input that exhausts memory, hides a second request or crashes the parser.
TEST_P(HostileRequest, IsRejectedBeforeTheHandler)
{
    jy::EventLoop loop;
    loop.run([&] {
        int handled = 0;
        const jy::HttpServerSettings settings{.maxHeadBytes = 1024,
                                              .maxHeaderCount = 8,
                                              .maxBodyBytes = 2048,
                                              .requestTimeout = 50ms};
        auto server = jy::HttpServer::create(loop, settings, [&](const auto &, auto &responder) {
                          ++handled;
                          responder.send(200, {}, "ok");
                      }).value();
        RawConnection connection(loop, server->localEndpoint());
        connection.write(GetParam().text);
        EXPECT_EQ(connection.readAll().substr(0, 12), GetParam().expected);
        EXPECT_EQ(handled, 0);
    });
}

std::string repeated(const std::string &text, int count)
{
    std::string out;
    for (int i = 0; i < count; ++i)
        out += text;
    return out;
}

INSTANTIATE_TEST_SUITE_P(
    Inputs, HostileRequest,
    testing::Values(
        HostileInput{"Garbage", "\x01\x02\x03 nonsense\r\n\r\n", "HTTP/1.1 400"},
        HostileInput{"LongHead", "GET / HTTP/1.1\r\nA: " + repeated("x", 5000) + "\r\n\r\n",
                     "HTTP/1.1 413"},
        HostileInput{"ManyHeaders", "GET / HTTP/1.1\r\n" + repeated("A: b\r\n", 9) + "\r\n",
                     "HTTP/1.1 413"},
        HostileInput{"LargeBody", "POST / HTTP/1.1\r\nContent-Length: 4096\r\n\r\n",
                     "HTTP/1.1 413"},
        HostileInput{"LargeChunkedBody",
                     "POST / HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n1000\r\n"
                         + repeated("x", 4096) + "\r\n0\r\n\r\n",
                     "HTTP/1.1 413"},
        HostileInput{"LengthAndChunked",
                     "POST / HTTP/1.1\r\nContent-Length: 4\r\nTransfer-Encoding: "
                     "chunked\r\n\r\n0\r\n\r\nGET /hidden HTTP/1.1\r\n\r\n",
                     "HTTP/1.1 400"},
        HostileInput{"TwoLengths",
                     "POST / HTTP/1.1\r\nContent-Length: 4\r\nContent-Length: 5\r\n\r\nabcde",
                     "HTTP/1.1 400"},
        HostileInput{"NegativeLength", "POST / HTTP/1.1\r\nContent-Length: -1\r\n\r\n",
                     "HTTP/1.1 400"},
        HostileInput{"BareLineFeedInName", "GET / HTTP/1.1\r\nA\nB: c\r\n\r\n", "HTTP/1.1 400"},
        HostileInput{"SlowHead", "GET / HTTP/1.1\r\nA: b", "HTTP/1.1 408"},
        HostileInput{"SlowBody", "POST / HTTP/1.1\r\nContent-Length: 5\r\n\r\nab", "HTTP/1.1 408"}),
    [](const auto &info) { return info.param.name; });

struct EndlessRequest
{
    std::string name;
    std::string begin;
    std::string rest;
};

class EndlessCaller : public testing::TestWithParam<EndlessRequest>
{ };

// Guards against a caller that never stops sending and so uses up the memory.
TEST_P(EndlessCaller, IsDisconnectedAtTheLimit)
{
    jy::EventLoop loop;
    loop.run([&] {
        constexpr std::size_t bound = 8 * 1024 * 1024;
        int handled = 0;
        auto server =
            jy::HttpServer::create(loop, {.maxBodyBytes = 64 * 1024}, [&](const auto &, auto &) {
                ++handled;
            }).value();
        RawConnection connection(loop, server->localEndpoint());
        connection.write(GetParam().begin);
        std::size_t written = 0;
        boost::system::error_code error;
        while (!error && written < 2 * bound)
            written += boost::asio::async_write(
                connection.socket(), boost::asio::buffer(GetParam().rest), jy::FiberToken{error});
        EXPECT_LT(written, bound);
        EXPECT_EQ(handled, 0);
    });
}

const std::string chunked = "POST / HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n";
const std::string block(16 * 1024, 'x');
INSTANTIATE_TEST_SUITE_P(Inputs, EndlessCaller,
                         testing::Values(EndlessRequest{"Garbage", "", block},
                                         EndlessRequest{"Target", "GET /", block},
                                         EndlessRequest{"Fields", "GET / HTTP/1.1\r\n", "A: b\r\n"},
                                         EndlessRequest{"Chunks", chunked, "4\r\nabcd\r\n"},
                                         EndlessRequest{"ChunkSize", chunked, "0000000000000000"},
                                         EndlessRequest{"ChunkExtension", chunked + "4;a=", block},
                                         EndlessRequest{"Trailer", chunked + "0\r\nA: ", block}),
                         [](const auto &info) { return info.param.name; });

struct BodyCase
{
    std::string name;
    std::string head;
    std::string body;
};

class BodyBudget : public testing::TestWithParam<BodyCase>
{ };

// Guards against many bodies that are each within the limit but together use up the memory.
TEST_P(BodyBudget, RefusesBodiesThatDoNotFit)
{
    jy::EventLoop loop;
    loop.run([&] {
        const auto budget = std::make_shared<jy::ByteBudget>(4096);
        auto server =
            jy::HttpServer::create(loop, {.bodyBudget = budget}, [](const auto &, auto &responder) {
                jy::EventLoop::sleepFor(50ms);
                responder.send(200, {}, "ok");
            }).value();
        RawConnection first(loop, server->localEndpoint());
        RawConnection second(loop, server->localEndpoint());
        first.write(GetParam().head + GetParam().body);
        ASSERT_TRUE(eventually([&] { return server->activeRequests() == 1; }));
        second.write(GetParam().head + GetParam().body);
        const auto refusal = second.readAll();
        EXPECT_EQ(refusal.substr(0, 12), "HTTP/1.1 503");
        EXPECT_NE(refusal.find("Retry-After"), std::string::npos);
        EXPECT_EQ(first.readSome().substr(0, 12), "HTTP/1.1 200");
        EXPECT_LE(budget->peak(), budget->limit());
        EXPECT_TRUE(eventually([&] { return budget->used() == 0; }));
        RawConnection third(loop, server->localEndpoint());
        third.write(GetParam().head + GetParam().body);
        EXPECT_EQ(third.readSome().substr(0, 12), "HTTP/1.1 200") << "the room was not given back";
    });
}

INSTANTIATE_TEST_SUITE_P(
    Bodies, BodyBudget,
    testing::Values(BodyCase{"Length", "POST / HTTP/1.1\r\nContent-Length: 3000\r\n\r\n",
                             repeated("x", 3000)},
                    BodyCase{"Chunks", "POST / HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n",
                             "bb8\r\n" + repeated("x", 3000) + "\r\n0\r\n\r\n"}),
    [](const auto &info) { return info.param.name; });

// Guards against callers that announce long bodies without sending them and so use up the budget.
TEST(HttpServer, ContentLengthAloneReservesNoMemory)
{
    jy::EventLoop loop;
    loop.run([&] {
        const auto budget = std::make_shared<jy::ByteBudget>(4096);
        auto server = jy::HttpServer::create(loop, {.bodyBudget = budget}, respondOk).value();
        RawConnection silent(loop, server->localEndpoint());
        silent.write("POST / HTTP/1.1\r\nContent-Length: 4000\r\n\r\n");
        ASSERT_TRUE(eventually([&] { return server->connections() == 1; }));
        jy::EventLoop::sleepFor(20ms);
        RawConnection other(loop, server->localEndpoint());
        other.write("POST / HTTP/1.1\r\nContent-Length: 3000\r\n\r\n" + repeated("x", 3000));
        EXPECT_EQ(other.readSome().substr(0, 12), "HTTP/1.1 200");
    });
}

// Guards against an unexpected error in one fiber that terminates the process.
TEST(HttpServer, FailedFiberDoesNotAffectOthers)
{
    jy::EventLoop loop;
    loop.run([&] {
        jy::EventLoop::spawn([] { throw std::runtime_error("unexpected"); });
        auto server = jy::HttpServer::create(loop, {}, respondOk).value();
        RawConnection connection(loop, server->localEndpoint());
        connection.write("GET / HTTP/1.1\r\n\r\n");
        EXPECT_EQ(connection.readSome().substr(0, 12), "HTTP/1.1 200");
    });
}

// Guards against idle connections that keep file descriptors open indefinitely.
TEST(HttpServer, ClosesIdleConnections)
{
    jy::EventLoop loop;
    loop.run([&] {
        auto server = jy::HttpServer::create(loop, {.idleTimeout = 20ms}, respondOk).value();
        RawConnection connection(loop, server->localEndpoint());
        EXPECT_EQ(connection.readAll(), "");
        EXPECT_TRUE(eventually([&] { return server->connections() == 0; }));
    });
}

// Guards against an idle timeout that closes a connection on which a request has just arrived.
TEST(HttpServer, RequestThatArrivesBeforeTheIdleTimeoutIsAnswered)
{
    jy::EventLoop loop;
    loop.run([&] {
        auto server = jy::HttpServer::create(loop, {.idleTimeout = 40ms}, respondOk).value();
        RawConnection connection(loop, server->localEndpoint());
        ASSERT_TRUE(eventually([&] { return server->connections() == 1; }));
        jy::EventLoop::sleepFor(10ms);
        // Nothing else runs between the write and the end of the timeout.
        connection.socket().write_some(boost::asio::buffer("GET / HTTP/1.1\r\n\r\n", 18));
        std::this_thread::sleep_for(80ms);
        EXPECT_EQ(connection.readSome().substr(0, 12), "HTTP/1.1 200");
    });
}

// Guards against changed limits that close an open connection or leave a request unanswered.
TEST(HttpServer, ChangedLimitsKeepOpenConnections)
{
    jy::EventLoop loop;
    loop.run([&] {
        auto server = jy::HttpServer::create(loop, {.idleTimeout = 5s}, respondOk).value();
        RawConnection connection(loop, server->localEndpoint());
        for (int i = 0; i < 4; ++i) {
            server->updateLimits(
                {.idleTimeout = std::chrono::milliseconds(i % 2 == 0 ? 100 : 5000)});
            connection.write("GET / HTTP/1.1\r\n");
            jy::EventLoop::sleepFor(5ms);
            server->updateLimits({.maxHeadBytes = 8192, .idleTimeout = 100ms});
            connection.write("\r\n");
            EXPECT_EQ(connection.readSome().substr(0, 12), "HTTP/1.1 200");
        }
    });
}

// Guards against one source that uses up all connections.
TEST(HttpServer, LimitsConnectionsOfOneSource)
{
    jy::EventLoop loop;
    loop.run([&] {
        auto server =
            jy::HttpServer::create(loop, {.maxConnectionsPerSource = 1}, respondOk).value();
        RawConnection first(loop, server->localEndpoint());
        ASSERT_TRUE(eventually([&] { return server->connections() == 1; }));
        RawConnection second(loop, server->localEndpoint());
        EXPECT_EQ(second.readAll().substr(0, 12), "HTTP/1.1 503");
        first.close();
        ASSERT_TRUE(eventually([&] { return server->connections() == 0; }));
        RawConnection third(loop, server->localEndpoint());
        third.write("GET / HTTP/1.1\r\n\r\n");
        EXPECT_EQ(third.readSome().substr(0, 12), "HTTP/1.1 200");
    });
}

// Guards against a caller that never reads its response and so blocks the handler and its buffers.
TEST(HttpServer, DisconnectsAStalledReader)
{
    jy::EventLoop loop;
    loop.run([&] {
        bool ended = false;
        auto server = jy::HttpServer::create(loop, {.writeTimeout = 50ms},
                                             [&](const auto &, auto &responder) {
                                                 responder.startStream(200, {});
                                                 const std::string part(65536, 'x');
                                                 while (responder.write(part))
                                                     continue;
                                                 ended = responder.callerGone();
                                             })
                          .value();
        RawConnection connection(loop, server->localEndpoint());
        connection.write("GET / HTTP/1.1\r\n\r\n");
        EXPECT_TRUE(eventually([&] { return ended; }));
    });
}

class CallerDisconnects : public testing::TestWithParam<const char *>
{ };

// Guards against backend work that continues after its caller has disconnected, also when a
// pipelined request keeps the socket readable.
TEST_P(CallerDisconnects, CancelsTheRunningRequest)
{
    jy::EventLoop loop;
    loop.run([&] {
        bool running = false;
        bool cancelled = false;
        auto server = jy::HttpServer::create(loop, {}, [&](const auto &, auto &responder) {
                          const auto registration =
                              responder.cancellation()->onCancel([&] { cancelled = true; });
                          running = true;
                          eventually([&] { return cancelled; });
                          running = false;
                      }).value();
        RawConnection connection(loop, server->localEndpoint());
        connection.write(GetParam());
        ASSERT_TRUE(eventually([&] { return running; }));
        EXPECT_FALSE(cancelled);
        connection.close();
        EXPECT_TRUE(eventually([&] { return cancelled && !running; }));
    });
}

INSTANTIATE_TEST_SUITE_P(Requests, CallerDisconnects,
                         testing::Values("GET / HTTP/1.1\r\n\r\n",
                                         "GET / HTTP/1.1\r\n\r\nGET /2 HTTP/1.1\r\n\r\n"));

// Guards against a shutdown that interrupts a request, or does not report an unfinished one.
TEST(HttpServer, DrainWaitsForRunningRequestsAndReportsUnfinishedOnes)
{
    jy::EventLoop loop;
    loop.run([&] {
        bool release = false;
        auto server = jy::HttpServer::create(loop, {}, [&](const auto &, auto &responder) {
                          eventually([&] { return release; });
                          responder.send(200, {}, "done");
                      }).value();
        RawConnection idle(loop, server->localEndpoint());
        RawConnection busy(loop, server->localEndpoint());
        busy.write("GET / HTTP/1.1\r\n\r\n");
        ASSERT_TRUE(eventually([&] { return server->activeRequests() == 1; }));
        EXPECT_EQ(server->drain(5ms), 1U);
        release = true;
        EXPECT_EQ(server->drain(2s), 0U);
        const auto response = busy.readAll();
        EXPECT_NE(response.find("Connection: close"), std::string::npos);
        EXPECT_TRUE(response.ends_with("done"));
        EXPECT_EQ(idle.readAll(), "");
    });
}

struct StopCase
{
    std::string name;

    /** Written before the stop begins, and after it. */
    std::string before;
    std::string after;
};

class GracefulStop : public testing::TestWithParam<StopCase>
{ };

// Guards against a graceful stop that drops a request that has arrived or is still arriving. The
// server does not run between the first bytes and the stop.
TEST_P(GracefulStop, RespondsToReceivedRequests)
{
    jy::EventLoop loop;
    loop.run([&] {
        int handled = 0;
        auto server = jy::HttpServer::create(loop, {}, [&](const auto &, auto &responder) {
                          ++handled;
                          responder.send(200, {}, "done");
                      }).value();
        RawConnection connection(loop, server->localEndpoint());
        connection.write(GetParam().before);
        std::size_t unfinished = 1;
        jy::EventLoop::spawn([&] { unfinished = server->drain(2s); });
        jy::EventLoop::sleepFor(10ms);
        connection.write(GetParam().after);
        const auto response = connection.readAll();
        EXPECT_EQ(response.substr(0, 12), "HTTP/1.1 200") << response;
        EXPECT_NE(response.find("Connection: close"), std::string::npos);
        EXPECT_TRUE(response.ends_with("done"));
        EXPECT_EQ(handled, 1) << "a request after the announced close was read";
        EXPECT_TRUE(eventually([&] { return unfinished == 0; }));
    });
}

INSTANTIATE_TEST_SUITE_P(
    Arrivals, GracefulStop,
    testing::Values(StopCase{"WholeRequest", "GET / HTTP/1.1\r\n\r\n", ""},
                    StopCase{"HalfHead", "GET / HTTP/1.1\r\nA: b", "\r\n\r\n"},
                    StopCase{"HalfBody", "POST / HTTP/1.1\r\nContent-Length: 4\r\n\r\nab", "cd"},
                    StopCase{"AcceptedOnly", "", "GET / HTTP/1.1\r\n\r\n"},
                    StopCase{"Pipelined", "GET / HTTP/1.1\r\n\r\nGET /second HTTP/1.1\r\n\r\n",
                             ""}),
    [](const auto &info) { return info.param.name; });

struct InterruptCase
{
    std::string name;

    /** Written before the stop; the rest of the request never arrives in time. */
    std::string request;

    /** The handler begins a stream before it waits. */
    bool streams;
    std::string expected;
    std::string ending;
};

class InterruptedRequest : public testing::TestWithParam<InterruptCase>
{ };

// Guards against requests that the end of a graceful stop cuts off without a final response, and
// against interrupted streams that look complete.
TEST_P(InterruptedRequest, GetsAFinalResponse)
{
    jy::EventLoop loop;
    loop.run([&] {
        bool cancelled = false;
        auto server = jy::HttpServer::create(loop, {}, [&](const auto &, auto &responder) {
                          if (GetParam().streams) {
                              responder.startStream(200, {});
                              responder.write("part");
                          }
                          cancelled = eventually([&] { return responder.callerGone(); });
                          responder.endStream();
                      }).value();
        RawConnection connection(loop, server->localEndpoint());
        connection.write(GetParam().request);
        jy::EventLoop::sleepFor(10ms);
        const bool running = server->activeRequests() == 1;
        EXPECT_EQ(server->drain(20ms), running ? 1U : 0U);
        server->interrupt(250ms);
        const auto response = connection.readAll();
        EXPECT_EQ(response.substr(0, 12), GetParam().expected) << response;
        EXPECT_TRUE(response.ends_with(GetParam().ending)) << response;
        EXPECT_EQ(cancelled, running);
    });
}

INSTANTIATE_TEST_SUITE_P(
    Requests, InterruptedRequest,
    testing::Values(InterruptCase{"Running", "GET / HTTP/1.1\r\n\r\n", false, "HTTP/1.1 504", "}"},
                    InterruptCase{"BegunStream", "GET / HTTP/1.1\r\n\r\n", true, "HTTP/1.1 200",
                                  "part\r\n"},
                    InterruptCase{"HalfHead", "GET / HTTP/1.1\r\nA: b", false, "HTTP/1.1 503", "}"},
                    InterruptCase{"HalfBody", "POST / HTTP/1.1\r\nContent-Length: 4\r\n\r\nab",
                                  false, "HTTP/1.1 503", "}"}),
    [](const auto &info) { return info.param.name; });

// Guards against a graceful stop that waits for callers that connect and send nothing.
TEST(HttpServer, DrainClosesConnectionsWithoutARequest)
{
    jy::EventLoop loop;
    loop.run([&] {
        auto server = jy::HttpServer::create(loop, {}, [](const auto &, auto &) {}).value();
        RawConnection connection(loop, server->localEndpoint());
        jy::EventLoop::sleepFor(10ms);
        const auto start = std::chrono::steady_clock::now();
        EXPECT_EQ(server->drain(5s), 0U);
        EXPECT_LT(std::chrono::steady_clock::now() - start, 2s);
    });
}

// Guards against a truncated stream that looks complete, and against an exception that terminates
// the process.
TEST(HttpServer, UnfinishedResponsesAreNeverCompleted)
{
    jy::EventLoop loop;
    loop.run([&] {
        auto server = jy::HttpServer::create(loop, {}, [&](const auto &request, auto &responder) {
                          if (request.target == "/throw")
                              throw std::runtime_error("handler failed");
                          responder.startStream(200, {});
                          responder.write("part");
                      }).value();
        auto client = jy::HttpClient::create(loop, clientSettings());
        const auto thrown = client->request(server->localEndpoint(), {.target = "/throw"}, 2s);
        EXPECT_EQ(thrown.value().status, 500);
        const auto cut = client->request(server->localEndpoint(), {.target = "/cut"}, 2s);
        EXPECT_EQ(cut.error().kind, jy::ErrorKind::BackendBroken);
    });
}

} // namespace
