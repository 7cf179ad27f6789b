#include "RelayFixture.h"

namespace jy::test {

namespace {

struct EndlessCase
{
    const char *name;
    RequestKind kind;

    /** Fields of the response head, and the bytes that follow without end. */
    const char *fields;
    std::string rest;

    /** The bytes are buffered, as no event or response is complete. */
    bool buffered = false;
    bool resumable = false;
};

struct EndlessResponseTest : testing::TestWithParam<EndlessCase>
{ };

// Guards against buffering each response up to 16 MB (a dozen endless responses exceeded the memory
// limit of 160 MB and ended the process), and against a response that outlasts the route's timeout
// because its bytes are always ready.
TEST_P(EndlessResponseTest, EndsAtTheTimeoutWithinTheMemoryBudget)
{
    withRelay([](RelayFixture &relay) {
        constexpr int callers = 20;
        constexpr milliseconds timeout{400};
        // By the platform's rules, callers have a final response by then.
        constexpr milliseconds slack{500};
        const auto &param = GetParam();
        relay.configure({.kind = param.kind, .resumable = param.resumable, .timeout = timeout});
        const EndlessServer backend("HTTP/1.1 200 OK\r\nId: r1\r\nSeal: s\r\n"
                                        + std::string(param.fields) + "\r\n",
                                    param.rest);
        relay.registerBackend(backend.endpoint());
        const auto begin = std::chrono::steady_clock::now();
        int ended = 0;
        int complete = 0;
        for (int i = 0; i < callers; ++i)
            EventLoop::spawn([&] {
                const auto received = relay.receive();
                complete += received.complete && received.status == 200 ? 1 : 0;
                EXPECT_LT(std::chrono::steady_clock::now() - begin, timeout + slack);
                ++ended;
            });
        for (int i = 0; i < 3000 && ended < callers; ++i)
            EventLoop::sleepFor(milliseconds(1));
        EXPECT_EQ(ended, callers);
        EXPECT_EQ(complete, 0) << "an endless response looked complete";
        if (param.buffered)
            EXPECT_GT(relay.budget->peak(), 0U);
        EXPECT_LE(relay.budget->peak(), relay.budget->limit());
        EXPECT_EQ(relay.budget->used(), 0U);
    });
}

const std::string block(16 * 1024, 'x');
constexpr auto *events = "Content-Type: text/event-stream\r\n";
constexpr auto *eventsInChunks =
    "Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n";
constexpr auto *inChunks = "Transfer-Encoding: chunked\r\n";
constexpr auto stream = RequestKind::Stream;
INSTANTIATE_TEST_SUITE_P(
    Responses, EndlessResponseTest,
    testing::Values(EndlessCase{"Plain", RequestKind::Safe, "", block, true},
                    EndlessCase{"PlainUnsafe", RequestKind::Unsafe, "", block, true},
                    EndlessCase{"PlainInChunks", RequestKind::Unsafe, inChunks, "1\r\nx\r\n", true},
                    EndlessCase{"Event", stream, events, block, true},
                    EndlessCase{"LineEnds", stream, events, "\n"},
                    EndlessCase{"LineEndsInChunks", stream, eventsInChunks, "1\r\n\n\r\n"},
                    EndlessCase{"Events", stream, events, "id: 1\ndata: x\n\n"},
                    EndlessCase{"ResumableEvents", stream, events, "id: 1\ndata: x\n\n", true,
                                true},
                    EndlessCase{"Comments", stream, events, ": x\n\n"}),
    [](const auto &info) { return std::string(info.param.name); });

struct LongResponseCase
{
    const char *name;
    RequestKind kind;
    bool resumable;
    bool breaksOff;
};

struct LongResponseTest : testing::TestWithParam<LongResponseCase>
{ };

// Long responses are forwarded as they arrive, so the request cannot be retried once they break
// off.
TEST_P(LongResponseTest, IsWholeOrLooksBroken)
{
    withRelay([](RelayFixture &relay) {
        relay.configure({.kind = GetParam().kind,
                         .resumable = GetParam().resumable,
                         .timeout = seconds(2),
                         .maxAttempts = 2});
        const std::string body(300 * 1024, 'y');
        int calls = 0;
        const auto backend = [&](const HttpRequest &, HttpResponder &out) {
            ++calls;
            out.startStream(200, sealed);
            out.write(body);
            if (!GetParam().breaksOff)
                out.endStream();
        };
        relay.addBackend(backend);
        relay.addBackend(backend);
        const auto response = relay.call();
        EXPECT_EQ(response.has_value(), !GetParam().breaksOff);
        EXPECT_EQ(response ? response.value().body : body, body);
        EXPECT_EQ(calls, 1);
    });
}

INSTANTIATE_TEST_SUITE_P(Responses, LongResponseTest,
                         testing::Values(LongResponseCase{"Whole", RequestKind::Safe, false, false},
                                         LongResponseCase{"Broken", RequestKind::Safe, false, true},
                                         LongResponseCase{"BrokenOnAResumableRoute",
                                                          RequestKind::Stream, true, true}),
                         [](const auto &info) { return std::string(info.param.name); });

struct TruncationCase
{
    const char *name;
    RequestKind kind;
    const char *response;
};

struct TruncatedResponseTest : testing::TestWithParam<TruncationCase>
{ };

// The server closes the connection after each possible length of its response.
TEST_P(TruncatedResponseTest, NeverLooksComplete)
{
    EventLoop loop;
    loop.run([&] {
        const std::string whole = GetParam().response;
        std::size_t length = 0;
        const RawServer backend(loop, [&](tcp::socket &socket, int) {
            RawServer::readHead(socket);
            RawServer::write(socket, whole.substr(0, length));
            boost::system::error_code ignored;
            socket.shutdown(tcp::socket::shutdown_both, ignored);
        });
        for (; length <= whole.size(); ++length) {
            RelayFixture relay(loop);
            relay.configure({.kind = GetParam().kind, .timeout = milliseconds(500)});
            relay.registerBackend(backend.endpoint());
            const auto response = relay.call();
            const bool complete = response && response.value().status == 200;
            EXPECT_EQ(complete, length == whole.size()) << "after " << length << " bytes";
        }
    });
}

INSTANTIATE_TEST_SUITE_P(
    Responses, TruncatedResponseTest,
    testing::Values(
        TruncationCase{"Length", RequestKind::Unsafe,
                       "HTTP/1.1 200 OK\r\nId: r1\r\nSeal: s\r\nContent-Length: 4\r\n\r\nbody"},
        TruncationCase{"Chunks", RequestKind::Unsafe,
                       "HTTP/1.1 200 OK\r\nId: r1\r\nSeal: s\r\n"
                       "Transfer-Encoding: chunked\r\n\r\n4\r\nbody\r\n0\r\n\r\n"},
        TruncationCase{"Events", RequestKind::Stream,
                       "HTTP/1.1 200 OK\r\nId: r1\r\nSeal: s\r\n"
                       "Content-Type: text/event-stream\r\n"
                       "Transfer-Encoding: chunked\r\n\r\n7\r\nid: 1\n\n\r\n"
                       "7\r\nid: 2\n\n\r\n0\r\n\r\n"}),
    [](const auto &info) { return std::string(info.param.name); });

} // namespace

} // namespace jy::test
