#include "RelayFixture.h"

namespace jy::test {

namespace {

TEST(RelayStreamTest, ResumableStreamContinuesAfterItsLastWholeEvent)
{
    withRelay([](RelayFixture &relay) {
        relay.configure({.kind = RequestKind::Stream, .resumable = true, .maxAttempts = 2});
        std::vector<std::string> resumedAfter;
        const auto backend = [&](const HttpRequest &request, HttpResponder &out) {
            resumedAfter.emplace_back(request.headers.value("Last-Event"));
            out.startStream(200, streamHead());
            if (resumedAfter.size() == 1) {
                out.write("id: 1\ndata: a\n\nid: 2\nda");
                return;
            }
            out.write("id: 2\ndata: b\n\n");
            out.endStream();
        };
        relay.addBackend(backend);
        relay.addBackend(backend);
        const auto response = relay.call().value();
        EXPECT_EQ(response.body, "id: 1\ndata: a\n\nid: 2\ndata: b\n\n");
        EXPECT_EQ(resumedAfter, (std::vector<std::string>{"", "1"}));
    });
}

// Guards against a prompt that stays at the second server after it was moved there once because of
// load: other instances kept using the home server, so both servers had to cache the prompt.
TEST(RelayStreamTest, SpilledPromptDoesNotMoveItsHome)
{
    withRelay([](RelayFixture &relay) {
        relay.configure({.kind = RequestKind::Stream, .cachesPrompts = true});
        std::vector<int> reached;
        for (int i = 0; i < 2; ++i)
            relay.addBackend([&reached, i](const HttpRequest &, HttpResponder &out) {
                reached.push_back(i);
                out.startStream(200, streamHead());
                out.write("id: 1\ndata: a\n\n");
                out.endStream();
            });
        const HttpHeaders prompt{{"Id", "r1"}, {"Shared", "p"}};
        EXPECT_TRUE(relay.call(prompt));
        const int home = reached.at(0);
        relay.setPeerRequests({{ServerId("s" + std::to_string(home)), {15, 0}}});
        EXPECT_TRUE(relay.call(prompt));
        relay.setPeerRequests({});
        EXPECT_TRUE(relay.call(prompt));
        EXPECT_EQ(reached, (std::vector<int>{home, 1 - home, home}));
    });
}

TEST(RelayStreamTest, SilentResumableStreamContinuesElsewhere)
{
    withRelay([](RelayFixture &relay) {
        relay.configure({.kind = RequestKind::Stream, .resumable = true, .maxAttempts = 2});
        int calls = 0;
        const auto backend = [&](const HttpRequest &, HttpResponder &out) {
            const bool first = ++calls == 1;
            out.startStream(200, streamHead());
            out.write(first ? "id: 1\n\n" : "id: 2\n\n");
            if (first)
                EventLoop::sleepFor(seconds(1));
            out.endStream();
        };
        relay.addBackend(backend);
        relay.addBackend(backend);
        EXPECT_EQ(relay.call().value().body, "id: 1\n\nid: 2\n\n");
    });
}

struct TrickleCase
{
    const char *name;

    /** Sent every 20 ms instead of the rest of the stream. */
    const char *bytes;
};

struct TrickleTest : testing::TestWithParam<TrickleCase>
{ };

// Guards against a stalled server that keeps its stream by sending a byte now and then.
TEST_P(TrickleTest, StalledStreamContinuesElsewhere)
{
    withRelay([](RelayFixture &relay) {
        relay.configure({.kind = RequestKind::Stream, .resumable = true, .maxAttempts = 2});
        int calls = 0;
        const auto backend = [&](const HttpRequest &, HttpResponder &out) {
            const bool first = ++calls == 1;
            out.startStream(200, streamHead());
            out.write(first ? "id: 1\n\n" : "id: 2\n\n");
            while (first && out.write(GetParam().bytes))
                EventLoop::sleepFor(milliseconds(20));
            out.endStream();
        };
        relay.addBackend(backend);
        relay.addBackend(backend);
        const auto start = std::chrono::steady_clock::now();
        const auto response = relay.call();
        ASSERT_TRUE(response);
        EXPECT_EQ(response.value().body.substr(0, 7), "id: 1\n\n");
        EXPECT_EQ(response.value().body.substr(response.value().body.size() - 7), "id: 2\n\n");
        EXPECT_LT(std::chrono::steady_clock::now() - start, seconds(2));
    });
}

INSTANTIATE_TEST_SUITE_P(Bytes, TrickleTest,
                         testing::Values(TrickleCase{"WithinAnEvent", "x"},
                                         TrickleCase{"Comments", ":\n\n"}),
                         [](const auto &info) { return std::string(info.param.name); });

// The stream pauses for less than the limit each time, but lasts several times the limit.
TEST(RelayStreamTest, SlowStreamIsNotInterrupted)
{
    withRelay([](RelayFixture &relay) {
        relay.configure({.kind = RequestKind::Stream, .resumable = true, .maxAttempts = 2});
        int calls = 0;
        std::string sent;
        const auto backend = [&](const HttpRequest &, HttpResponder &out) {
            ++calls;
            out.startStream(200, streamHead());
            for (int i = 1; i <= 8; ++i) {
                const auto event = "id: " + std::to_string(i) + "\n\n";
                sent += event;
                out.write(event);
                EventLoop::sleepFor(milliseconds(120));
            }
            out.endStream();
        };
        relay.addBackend(backend);
        relay.addBackend(backend);
        const auto response = relay.call();
        ASSERT_TRUE(response);
        EXPECT_EQ(response.value().body, sent);
        EXPECT_EQ(calls, 1);
    });
}

TEST(RelayStreamTest, BrokenStreamDoesNotLookComplete)
{
    withRelay([](RelayFixture &relay) {
        relay.configure({.kind = RequestKind::Stream, .maxAttempts = 2});
        int calls = 0;
        const auto backend = [&](const HttpRequest &, HttpResponder &out) {
            ++calls;
            out.startStream(200, streamHead());
            out.write("id: 1\n\n");
        };
        relay.addBackend(backend);
        relay.addBackend(backend);
        EXPECT_FALSE(relay.call());
        EXPECT_EQ(calls, 1);
    });
}

struct CutStreamCase
{
    const char *name;

    /** Fields after the seal, and what follows the head. */
    std::string framing;
    std::string body;
};

struct CutStreamTest : testing::TestWithParam<CutStreamCase>
{ };

// Guards against a stream that its server breaks off and that callers receive as complete.
TEST_P(CutStreamTest, DoesNotLookComplete)
{
    EventLoop loop;
    loop.run([&] {
        const RawServer backend(loop, [](tcp::socket &socket, int) {
            RawServer::readHead(socket);
            RawServer::write(socket,
                             "HTTP/1.1 200 OK\r\nId: r1\r\nSeal: s\r\nContent-Type: "
                             "text/event-stream\r\n"
                                 + GetParam().framing + "\r\n" + GetParam().body);
        });
        RelayFixture relay(loop);
        relay.configure({.kind = RequestKind::Stream, .maxAttempts = 1});
        relay.registerBackend(backend.endpoint());
        const auto response = relay.call();
        EXPECT_TRUE(!response || response.value().status == 502) << response.value().status;
    });
}

INSTANTIATE_TEST_SUITE_P(
    Streams, CutStreamTest,
    testing::Values(CutStreamCase{"BeforeTheFirstEvent", "", ""},
                    CutStreamCase{"WithinTheFirstEvent", "", "id: 1\nda"},
                    CutStreamCase{"WithinAnEvent", "", "id: 1\n\nid: 2\nda"},
                    CutStreamCase{"WithinTheLength", "Content-Length: 80\r\n", "id: 1\n\n"},
                    CutStreamCase{"WithoutTheLastChunk", "Transfer-Encoding: chunked\r\n",
                                  "7\r\nid: 1\n\n\r\n"},
                    CutStreamCase{"WithinAChunkSize", "Transfer-Encoding: chunked\r\n",
                                  "7\r\nid: 1\n\n\r\n1"}),
    [](const auto &info) { return std::string(info.param.name); });

struct SecondResponseCase
{
    const char *name;
    int status;
    HttpHeaders headers;
    std::size_t bodyBytes;
};

struct SecondResponseTest : testing::TestWithParam<SecondResponseCase>
{ };

// Guards against an error or a plain body of the next server within a stream that had begun.
TEST_P(SecondResponseTest, OnlyAnEventStreamContinuesAStream)
{
    withRelay([](RelayFixture &relay) {
        const auto &param = GetParam();
        relay.configure({.kind = RequestKind::Stream, .resumable = true, .maxAttempts = 2});
        int calls = 0;
        const auto backend = [&](const HttpRequest &, HttpResponder &out) {
            if (++calls == 1) {
                out.startStream(200, streamHead());
                out.write("id: 1\ndata: a\n\n");
                return;
            }
            out.send(param.status, param.headers, std::string(param.bodyBytes, 'x'));
        };
        relay.addBackend(backend);
        relay.addBackend(backend);
        const auto received = relay.receive();
        EXPECT_EQ(received.body, "id: 1\ndata: a\n\n");
        EXPECT_FALSE(received.complete);
        EXPECT_EQ(calls, 2);
    });
}

INSTANTIATE_TEST_SUITE_P(Responses, SecondResponseTest,
                         testing::Values(SecondResponseCase{"not_found", 404, sealed, 20},
                                         SecondResponseCase{"failure", 500, sealed, 20},
                                         SecondResponseCase{"refusal", 503, notRun, 20},
                                         SecondResponseCase{"plain", 200, sealed, 20},
                                         SecondResponseCase{"long_plain", 200, sealed, 100'000},
                                         SecondResponseCase{"long_error", 404, sealed, 100'000}),
                         [](const auto &testCase) { return testCase.param.name; });

} // namespace

} // namespace jy::test
