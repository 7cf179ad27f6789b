#include "jy_http/HttpTestServer.h"

using namespace std::chrono_literals;
using namespace jy::test;

namespace {

struct BrokenResponse
{
    std::string name;
    std::string text;
    bool hold;
    jy::ErrorKind expected;
};

class BrokenBackend : public testing::TestWithParam<BrokenResponse>
{ };

// Guards against accepting a broken response as complete, and against reporting a request that may
// have run as not run.
TEST_P(BrokenBackend, IsReportedWithItsEffect)
{
    jy::EventLoop loop;
    loop.run([&] {
        const RawServer backend(loop, [&](tcp::socket &socket, int) {
            RawServer::readHead(socket);
            RawServer::write(socket, GetParam().text);
            if (GetParam().hold)
                RawServer::readHead(socket);
        });
        auto client = jy::HttpClient::create(loop, clientSettings());
        const auto result = client->request(backend.endpoint(), {}, 40ms);
        ASSERT_FALSE(result);
        EXPECT_EQ(result.error().kind, GetParam().expected) << result.error().message;
        EXPECT_EQ(client->idleConnections(), 0U);
    });
}

using K = jy::ErrorKind;
INSTANTIATE_TEST_SUITE_P(
    Responses, BrokenBackend,
    testing::Values(
        BrokenResponse{"NoResponse", "", false, K::BackendBroken},
        BrokenResponse{"Garbage", "nonsense\r\n\r\n", false, K::BackendBroken},
        BrokenResponse{"TruncatedHead", "HTTP/1.1 200 OK\r\nA:", false, K::BackendBroken},
        BrokenResponse{"TruncatedBody", "HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nabc", false,
                       K::BackendBroken},
        BrokenResponse{"TruncatedChunks",
                       "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n", false,
                       K::BackendBroken},
        BrokenResponse{"StatusZero", "HTTP/1.1 000 \r\nContent-Length: 3\r\n\r\nabc", false,
                       K::BackendBroken},
        BrokenResponse{"StatusBelowThose", "HTTP/1.1 099 A\r\nContent-Length: 3\r\n\r\nabc", false,
                       K::BackendBroken},
        BrokenResponse{"StatusAboveThose", "HTTP/1.1 600 A\r\nContent-Length: 3\r\n\r\nabc", false,
                       K::BackendBroken},
        BrokenResponse{"NeverResponds", "", true, K::DeadlineExceeded},
        BrokenResponse{"StallsInBody", "HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nabc", true,
                       K::DeadlineExceeded}),
    [](const auto &info) { return info.param.name; });

const std::string completeResponse =
    "HTTP/1.1 200 OK\r\nSeal: s\r\nContent-Length: 80\r\n\r\n" + std::string(80, 'x');
const std::string chunkedResponse = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n10\r\n"
    + std::string(16, 'x') + "\r\n0\r\n\r\n";

class CutResponse : public testing::TestWithParam<std::tuple<std::string, bool>>
{ };

// Guards against a response that is cut at any byte, by a close or by a reset, and delivered as
// complete.
TEST_P(CutResponse, IsNeverComplete)
{
    jy::EventLoop loop;
    loop.run([&] {
        const auto &text = std::get<0>(GetParam());
        const bool reset = std::get<1>(GetParam());
        std::size_t length = 0;
        const RawServer backend(loop, [&](tcp::socket &socket, int) {
            RawServer::readHead(socket);
            RawServer::write(socket, std::string_view(text).substr(0, length));
            // Lets the client read what was sent before the reset.
            jy::EventLoop::sleepFor(1ms);
            if (reset)
                socket.set_option(boost::asio::socket_base::linger(true, 0));
            // The destructor alone would take the option back.
            socket.close();
        });
        auto client = jy::HttpClient::create(loop, clientSettings());
        for (; length < text.size(); ++length) {
            const auto result = client->request(backend.endpoint(), {}, 2s);
            ASSERT_FALSE(result) << "cut after " << text.substr(0, length);
            EXPECT_EQ(result.error().kind, K::BackendBroken) << result.error().message;
        }
        EXPECT_TRUE(client->request(backend.endpoint(), {}, 2s));
    });
}

INSTANTIATE_TEST_SUITE_P(Framings, CutResponse,
                         testing::Combine(testing::Values(completeResponse, chunkedResponse),
                                          testing::Bool()));

// Guards against a response without a length that is cut within its head or reset within its body,
// and delivered as complete.
TEST(HttpClient, ResponseWithoutALengthEndsOnlyWithAClose)
{
    jy::EventLoop loop;
    loop.run([&] {
        const std::string text = "HTTP/1.1 200 OK\r\nSeal: s\r\n\r\nbody";
        const auto headSize = text.size() - 4;
        std::size_t length = 0;
        bool reset = false;
        const RawServer backend(loop, [&](tcp::socket &socket, int) {
            RawServer::readHead(socket);
            RawServer::write(socket, std::string_view(text).substr(0, length));
            jy::EventLoop::sleepFor(1ms);
            if (reset)
                socket.set_option(boost::asio::socket_base::linger(true, 0));
            // The destructor alone would take the option back.
            socket.close();
        });
        auto client = jy::HttpClient::create(loop, clientSettings());
        for (; length < headSize; ++length)
            EXPECT_FALSE(client->request(backend.endpoint(), {}, 2s)) << length;
        reset = true;
        for (; length <= text.size(); ++length)
            EXPECT_FALSE(client->request(backend.endpoint(), {}, 2s)) << length;
        reset = false;
        length = text.size();
        const auto whole = client->request(backend.endpoint(), {}, 2s);
        ASSERT_TRUE(whole);
        EXPECT_EQ(whole.value().body, "body");
    });
}

class ResponseDuringUpload : public testing::TestWithParam<bool>
{ };

// Guards against an early response without a length that is cut while the request is still being
// written, and delivered as complete: the failed write takes the error of the socket, so that the
// reads after it see a plain end.
TEST_P(ResponseDuringUpload, IsNotCompleteWhenItIsCut)
{
    jy::EventLoop loop;
    loop.run([&] {
        const bool reset = GetParam();
        const RawServer backend(loop, [&](tcp::socket &socket, int) {
            RawServer::readHead(socket);
            RawServer::write(socket, "HTTP/1.1 200 OK\r\nSeal: s\r\n\r\npart");
            jy::EventLoop::sleepFor(5ms);
            if (reset)
                socket.set_option(boost::asio::socket_base::linger(true, 0));
            // Unread bytes of the request make a plain close a reset, too.
            socket.close();
        });
        auto client = jy::HttpClient::create(loop, clientSettings());
        const jy::HttpRequest request{.method = "POST", .body = std::string(8000000, 'x')};
        const auto result = client->request(backend.endpoint(), request, 2s);
        ASSERT_FALSE(result) << result.value().body;
        EXPECT_EQ(result.error().kind, K::BackendBroken) << result.error().message;
    });
}

INSTANTIATE_TEST_SUITE_P(Ends, ResponseDuringUpload, testing::Bool(), [](const auto &info) {
    return std::string(info.param ? "Reset" : "Close");
});

struct EndlessInput
{
    std::string name;
    std::string begin;

    /** Written again and again until the client closes. */
    std::string rest;
};

class EndlessBackend : public testing::TestWithParam<EndlessInput>
{ };

// Guards against a server that never stops sending and so uses up the memory or time of the client.
TEST_P(EndlessBackend, IsDisconnectedAtTheLimit)
{
    jy::EventLoop loop;
    loop.run([&] {
        constexpr std::size_t bound = 8 * 1024 * 1024;
        std::size_t written = 0;
        bool ended = false;
        const RawServer backend(loop, [&](tcp::socket &socket, int) {
            RawServer::readHead(socket);
            RawServer::write(socket, GetParam().begin);
            boost::system::error_code error;
            while (!error && written < 2 * bound)
                written += boost::asio::async_write(socket, boost::asio::buffer(GetParam().rest),
                                                    jy::FiberToken{error});
            ended = true;
        });
        auto client = jy::HttpClient::create(loop, {.maxBodyBytes = 1024 * 1024});
        const jy::HttpCallOptions options{.isOwnResponse = [](int, const jy::HttpHeaders &headers) {
            return headers.value("Id") != "other";
        }};
        const auto result = client->request(backend.endpoint(), {}, 10s, options);
        ASSERT_FALSE(result);
        EXPECT_EQ(result.error().kind, K::BackendBroken) << result.error().message;
        EXPECT_TRUE(eventually([&] { return ended; }));
        EXPECT_LT(written, bound);
    });
}

const std::string block(16 * 1024, 'x');
INSTANTIATE_TEST_SUITE_P(
    Inputs, EndlessBackend,
    testing::Values(
        EndlessInput{"Garbage", "", block}, EndlessInput{"Head", "HTTP/1.1 200 OK\r\nA: ", block},
        EndlessInput{"Fields", "HTTP/1.1 200 OK\r\n", "A: b\r\n"},
        EndlessInput{"InterimResponses", "", "HTTP/1.1 102 Processing\r\n\r\n"},
        EndlessInput{"ForeignResponses", "",
                     "HTTP/1.1 200 OK\r\nId: other\r\nContent-Length: 0\r\n\r\n"},
        EndlessInput{"ForeignBody", "HTTP/1.1 200 OK\r\nId: other\r\n\r\n", block},
        EndlessInput{"ChunkSize", "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n",
                     "0000000000000000"},
        EndlessInput{"Trailer",
                     "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n0\r\nA: ", block},
        EndlessInput{"Body", "HTTP/1.1 200 OK\r\n\r\n", block}),
    [](const auto &info) { return info.param.name; });

class EndlessBody : public testing::TestWithParam<EndlessInput>
{ };

// Guards against a body whose bytes are always ready and that is therefore read after its deadline.
TEST_P(EndlessBody, EndsAtTheDeadline)
{
    jy::EventLoop loop;
    loop.run([&] {
        const EndlessServer backend(GetParam().begin, GetParam().rest);
        auto client = jy::HttpClient::create(loop, {.maxBodyBytes = 1024 * 1024 * 1024});
        const auto begin = std::chrono::steady_clock::now();
        const auto whole = client->request(backend.endpoint(), {}, 200ms);
        EXPECT_LT(std::chrono::steady_clock::now() - begin, 700ms);
        ASSERT_FALSE(whole);
        EXPECT_EQ(whole.error().kind, K::DeadlineExceeded) << whole.error().message;
        EXPECT_EQ(client->idleConnections(), 0U);
    });
}

const std::string inChunks = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";
INSTANTIATE_TEST_SUITE_P(
    Bodies, EndlessBody,
    testing::Values(EndlessInput{"UntilClose", "HTTP/1.1 200 OK\r\n\r\n", "\n"},
                    EndlessInput{"SmallChunks", inChunks, "1\r\nx\r\n"},
                    EndlessInput{"ChunkExtensions", inChunks, "1;a=bcdefghijkl\r\nx\r\n"}),
    [](const auto &info) { return info.param.name; });

// Guards against a response that is lost because the process was paused until after its deadline.
TEST(HttpClient, BytesThatArrivedAreReadAfterTheDeadline)
{
    jy::EventLoop loop;
    loop.run([&] {
        const std::string text(200'000, 'x');
        const RawServer backend(loop, [&](tcp::socket &socket, int) {
            RawServer::readHead(socket);
            RawServer::write(socket, "HTTP/1.1 200 OK\r\nContent-Length: 200000\r\n\r\n" + text);
        });
        auto client = jy::HttpClient::create(loop, clientSettings());
        const auto deadline = std::chrono::steady_clock::now() + 100ms;
        auto stream = client->open(backend.endpoint(), {}, 100ms);
        ASSERT_TRUE(stream);
        jy::EventLoop::sleepFor(50ms);
        std::this_thread::sleep_for(200ms);
        std::string body;
        while (auto part = stream.value()->readSome(deadline)) {
            body += part.value();
            if (part.value().empty())
                break;
        }
        EXPECT_EQ(body.size(), text.size());
    });
}

// Guards against sending a request that became unwanted while its connection was being opened.
TEST(HttpClient, ErrorBeforeSendingEndsTheExchangeUnsent)
{
    jy::EventLoop loop;
    loop.run([&] {
        std::string received;
        bool closed = false;
        const RawServer backend(loop, [&](tcp::socket &socket, int) {
            received = RawServer::readHead(socket);
            closed = true;
        });
        auto client = jy::HttpClient::create(loop, clientSettings());
        const jy::HttpCallOptions options{
            .beforeSend = [] { return jy::failure(K::ServerLeaving, "it leaves"); }};
        const auto result = client->request(backend.endpoint(), {}, 1s, options);
        ASSERT_FALSE(result);
        EXPECT_EQ(result.error().kind, K::ServerLeaving);
        EXPECT_TRUE(eventually([&] { return closed; }));
        EXPECT_EQ(received, "");
    });
}

// Guards against reporting "may have run" for a request that was never sent, which would prevent a
// retry.
TEST(HttpClient, RefusedConnectionIsNotRun)
{
    jy::EventLoop loop;
    loop.run([&] {
        jy::Endpoint closed;
        {
            tcp::acceptor acceptor(loop.io(), {boost::asio::ip::make_address("127.0.0.1"), 0});
            closed = {"127.0.0.1", acceptor.local_endpoint().port()};
        }
        auto client = jy::HttpClient::create(loop, clientSettings());
        EXPECT_EQ(client->request(closed, {}, 1s).error().kind, K::ConnectFailed);
        EXPECT_EQ(client->request({"not an address", 1}, {}, 1s).error().kind, K::ConnectFailed);
    });
}

// Guards against using a late response as the response to the next request.
TEST(HttpClient, LateResponseIsNotUsedForTheNextRequest)
{
    jy::EventLoop loop;
    loop.run([&] {
        const RawServer backend(loop, [](tcp::socket &socket, int connection) {
            RawServer::readHead(socket);
            if (connection == 0)
                jy::EventLoop::sleepFor(40ms);
            RawServer::write(socket,
                             "HTTP/1.1 200 OK\r\nContent-Length: 1\r\n\r\n"
                                 + std::to_string(connection));
        });
        auto client = jy::HttpClient::create(loop, clientSettings());
        EXPECT_EQ(client->request(backend.endpoint(), {}, 20ms).error().kind, K::DeadlineExceeded);
        jy::EventLoop::sleepFor(30ms);
        EXPECT_EQ(client->request(backend.endpoint(), {}, 1s).value().body, "1");
    });
}

// Guards against reusing a connection that the server has closed or on which it sent extra bytes.
TEST(HttpClient, DiscardsPooledConnectionsThatAreReadable)
{
    jy::EventLoop loop;
    loop.run([&] {
        const RawServer backend(loop, [](tcp::socket &socket, int connection) {
            RawServer::readHead(socket);
            RawServer::write(socket,
                             "HTTP/1.1 200 OK\r\nContent-Length: 1\r\n\r\n"
                                 + std::to_string(connection));
            jy::EventLoop::sleepFor(5ms);
            if (connection == 0)
                RawServer::write(socket, "HTTP/1.1 200 OK\r\nContent-Length: 1\r\n\r\nX");
        });
        auto client = jy::HttpClient::create(loop, clientSettings());
        for (const char *expected : {"0", "1", "2"}) {
            EXPECT_EQ(client->request(backend.endpoint(), {}, 1s).value().body, expected);
            jy::EventLoop::sleepFor(10ms);
        }
    });
}

// Guards against request smuggling by line breaks in header values, targets or methods.
TEST(HttpClient, RefusesToSerialiseInjectedLines)
{
    jy::EventLoop loop;
    loop.run([&] {
        auto client = jy::HttpClient::create(loop, clientSettings());
        for (const auto &request :
             {jy::HttpRequest{.headers = {{"A", "b\r\nC: d"}}}, jy::HttpRequest{.target = "/ x"},
              jy::HttpRequest{.method = "GET / HTTP/1.1\r\n"}})
            EXPECT_EQ(client->request({"127.0.0.1", 1}, request, 1s).error().kind, K::BadRequest);
    });
}

// Guards against a backend exchange that continues after its cancellation.
TEST(HttpClient, CancellationEndsAnExchangeAtOnce)
{
    jy::EventLoop loop;
    loop.run([&] {
        bool backendSawClose = false;
        const RawServer backend(loop, [&](tcp::socket &socket, int) {
            RawServer::readHead(socket);
            RawServer::readHead(socket);
            backendSawClose = true;
        });
        auto client = jy::HttpClient::create(loop, clientSettings());
        const auto cancellation = jy::Cancellation::create();
        jy::EventLoop::spawn([&] {
            jy::EventLoop::sleepFor(5ms);
            cancellation->cancel();
        });
        const auto result =
            client->request(backend.endpoint(), {}, 10s, {.cancellation = cancellation});
        EXPECT_EQ(result.error().kind, K::Cancelled);
        EXPECT_TRUE(eventually([&] { return backendSawClose; }));
    });
}

// Guards against reporting "not run" after part of a request was written.
TEST(HttpClient, PartlyWrittenRequestMayHaveRun)
{
    jy::EventLoop loop;
    loop.run([&] {
        const RawServer backend(loop, [](tcp::socket &socket, int) {
            std::array<char, 16> some{};
            boost::system::error_code error;
            socket.async_read_some(boost::asio::buffer(some), jy::FiberToken{error});
            socket.set_option(boost::asio::socket_base::linger(true, 0));
            socket.close();
        });
        auto client = jy::HttpClient::create(loop, clientSettings());
        const jy::HttpRequest request{.method = "POST", .body = std::string(8000000, 'x')};
        EXPECT_EQ(client->request(backend.endpoint(), request, 2s).error().kind, K::BackendBroken);
    });
}

} // namespace
