#include "RelayFixture.h"

namespace jy::test {

namespace {

struct EndlessCase
{
    const char *name;
    RequestKind kind;
    bool events;
};

struct EndlessResponseTest : testing::TestWithParam<EndlessCase>
{ };

// Guards against buffering each response up to 16 MB: a dozen endless responses exceeded the memory
// limit of 160 MB and ended the process.
TEST_P(EndlessResponseTest, MemoryStaysWithinTheBudget)
{
    withRelay([](RelayFixture &relay) {
        constexpr int callers = 20;
        relay.configure({.kind = GetParam().kind, .timeout = milliseconds(400)});
        const std::string block(16 * 1024, 'x');
        relay.addBackend([&](const HttpRequest &, HttpResponder &out) {
            auto head = sealed;
            if (GetParam().events)
                head.add("Content-Type", "text/event-stream");
            out.startStream(200, head);
            while (out.write(block)) {
                EventLoop::sleepFor(milliseconds(1));
            }
        });
        int ended = 0;
        int complete = 0;
        for (int i = 0; i < callers; ++i)
            EventLoop::spawn([&] {
                const auto response = relay.call();
                complete += response && response.value().status == 200 ? 1 : 0;
                ++ended;
            });
        for (int i = 0; i < 3000 && ended < callers; ++i)
            EventLoop::sleepFor(milliseconds(1));
        EXPECT_EQ(ended, callers);
        EXPECT_EQ(complete, 0) << "an endless response looked complete";
        EXPECT_GT(relay.budget->peak(), 0U);
        EXPECT_LE(relay.budget->peak(), relay.budget->limit());
        EXPECT_EQ(relay.budget->used(), 0U);
    });
}

INSTANTIATE_TEST_SUITE_P(Responses, EndlessResponseTest,
                         testing::Values(EndlessCase{"Plain", RequestKind::Safe, false},
                                         EndlessCase{"PlainUnsafe", RequestKind::Unsafe, false},
                                         EndlessCase{"Event", RequestKind::Stream, true}),
                         [](const auto &info) { return std::string(info.param.name); });

struct UnendingCase
{
    const char *name;
    RequestKind kind;

    /** Fields of the response head, and the bytes that follow without end. */
    const char *fields;
    const char *rest;
    bool resumable = false;
};

struct UnendingResponseTest : testing::TestWithParam<UnendingCase>
{ };

// Guards against a response that outlasts the route's timeout because its bytes are always ready.
TEST_P(UnendingResponseTest, EndsAtTheTimeoutOfTheRoute)
{
    withRelay([](RelayFixture &relay) {
        constexpr milliseconds timeout{400};
        // By the platform's rules, the caller has a final response by then.
        constexpr milliseconds slack{500};
        const auto &param = GetParam();
        relay.configure({.kind = param.kind, .resumable = param.resumable, .timeout = timeout});
        const EndlessServer backend("HTTP/1.1 200 OK\r\nId: r1\r\nSeal: s\r\n"
                                        + std::string(param.fields) + "\r\n",
                                    param.rest);
        relay.registerBackend(backend.endpoint());
        const auto begin = std::chrono::steady_clock::now();
        const auto received = relay.receive();
        EXPECT_LT(std::chrono::steady_clock::now() - begin, timeout + slack);
        EXPECT_FALSE(received.complete);
    });
}

constexpr auto *eventsUntilClose = "Content-Type: text/event-stream\r\n";
constexpr auto *eventsInChunks =
    "Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n";
constexpr auto *bodyInChunks = "Transfer-Encoding: chunked\r\n";
INSTANTIATE_TEST_SUITE_P(
    Responses, UnendingResponseTest,
    testing::Values(
        UnendingCase{"LineEnds", RequestKind::Stream, eventsUntilClose, "\n"},
        UnendingCase{"LineEndsInChunks", RequestKind::Stream, eventsInChunks, "1\r\n\n\r\n"},
        UnendingCase{"Events", RequestKind::Stream, eventsUntilClose, "id: 1\ndata: x\n\n"},
        UnendingCase{"ResumableEvents", RequestKind::Stream, eventsUntilClose, "id: 1\ndata: x\n\n",
                     true},
        UnendingCase{"Comments", RequestKind::Stream, eventsUntilClose, ": x\n\n"},
        UnendingCase{"PlainInChunks", RequestKind::Unsafe, bodyInChunks, "1\r\nx\r\n"}),
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
