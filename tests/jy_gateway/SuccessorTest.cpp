#include "RelayFixture.h"

#include <rapidcheck.h>
#include <rapidcheck/gtest.h>

namespace jy::test {

namespace {

constexpr int eventCount = 6;
constexpr int pauseAfter = 3;

// The fixture starts a second attempt after 200 ms of silence.
constexpr milliseconds serverPause{700};

std::string eventText(int id)
{
    return "id: " + std::to_string(id) + "\n\n";
}

std::string allEvents()
{
    std::string all;
    for (int id = 1; id <= eventCount; ++id)
        all += eventText(id);
    return all;
}

void sleepUnlessGone(const HttpResponder &out, milliseconds time)
{
    for (; time.count() > 0 && !out.callerGone(); --time)
        EventLoop::sleepFor(milliseconds(1));
}

/** Sends the events after the one that the request names; @p pause falls after event pauseAfter. */
void sendEvents(const HttpRequest &request, HttpResponder &out, milliseconds pause)
{
    const std::string last(request.headers.value("Last-Event"));
    out.startStream(200, streamHead());
    for (int id = last.empty() ? 1 : std::stoi(last) + 1; id <= eventCount; ++id) {
        if (!out.write(eventText(id)))
            return;
        sleepUnlessGone(out, id == pauseAfter ? pause : milliseconds(5));
    }
    out.endStream();
}

Route routeOf(RequestKind kind)
{
    return {.kind = kind,
            .resumable = kind == RequestKind::Stream,
            .timeout = seconds(4),
            .latencyTarget = milliseconds(100),
            .pauseTarget = milliseconds(50),
            .maxAttempts = 2};
}

struct UselessCase
{
    const char *name;
    RequestKind kind;

    /** What the second server does with the request; null for one that refuses connections. */
    HttpHandler second;
};

struct UselessSuccessorTest : testing::TestWithParam<UselessCase>
{ };

// Guards against a request that is given up because its server pauses, before it is known that
// another server takes it: the server goes on, but the caller's response was broken off.
TEST_P(UselessSuccessorTest, LeavesThePausingServerItsRequest)
{
    withRelay([](RelayFixture &relay) {
        const bool stream = GetParam().kind == RequestKind::Stream;
        relay.configure(routeOf(GetParam().kind));
        int calls = 0;
        int useless = 0;
        const auto backend = [&](const HttpRequest &request, HttpResponder &out) {
            if (++calls > 1) {
                ++useless;
                return GetParam().second(request, out);
            }
            if (stream)
                return sendEvents(request, out, serverPause);
            EventLoop::sleepFor(serverPause);
            out.send(200, sealed, allEvents());
        };
        relay.addBackend(backend);
        if (GetParam().second)
            relay.addBackend(backend);
        else
            relay.addUnreachableBackend();
        const auto received = relay.receive();
        EXPECT_EQ(received.body, allEvents());
        EXPECT_TRUE(received.complete);
        EXPECT_EQ(useless, GetParam().second ? 1 : 0);
    });
}

const HttpHandler refuses = [](const HttpRequest &, HttpResponder &out) {
    out.send(503, notRun, "");
};
const HttpHandler fails = [](const HttpRequest &, HttpResponder &out) {
    out.send(500, sealed, "failed");
};
const HttpHandler sendsNoSeal = [](const HttpRequest &, HttpResponder &out) {
    out.send(200, {{"Id", "r1"}}, "unsealed");
};
const HttpHandler resets = [](const HttpRequest &, HttpResponder &out) {
    // A stream that is not ended closes the connection; no head was sent.
    out.startStream(200, {{"Id", "r1"}});
};
const HttpHandler staysSilent = [](const HttpRequest &, HttpResponder &out) {
    sleepUnlessGone(out, seconds(3));
};
const HttpHandler sendsPlainBody = [](const HttpRequest &, HttpResponder &out) {
    out.send(200, sealed, "plain");
};

constexpr auto stream = RequestKind::Stream;
constexpr auto safe = RequestKind::Safe;
INSTANTIATE_TEST_SUITE_P(Servers, UselessSuccessorTest,
                         testing::Values(UselessCase{"StreamRefused", stream, refuses},
                                         UselessCase{"StreamFailed", stream, fails},
                                         UselessCase{"StreamUnsealed", stream, sendsNoSeal},
                                         UselessCase{"StreamBroken", stream, resets},
                                         UselessCase{"StreamSilent", stream, staysSilent},
                                         UselessCase{"StreamUnreachable", stream, {}},
                                         UselessCase{"StreamPlainBody", stream, sendsPlainBody},
                                         UselessCase{"SafeRefused", safe, refuses},
                                         UselessCase{"SafeFailed", safe, fails},
                                         UselessCase{"SafeUnsealed", safe, sendsNoSeal},
                                         UselessCase{"SafeBroken", safe, resets},
                                         UselessCase{"SafeSilent", safe, staysSilent},
                                         UselessCase{"SafeUnreachable", safe, {}}),
                         [](const auto &info) { return std::string(info.param.name); });

// Guards against events that are lost, doubled or out of order, and against two servers that go on
// working, when the silent server and its successor respond at about the same time, or only the
// successor does.
RC_GTEST_PROP(SuccessorTest, OneOfTwoServersContinuesTheStream, ())
{
    // The second attempt begins after 200 ms.
    const milliseconds pause(*rc::gen::oneOf(rc::gen::inRange(195, 230), rc::gen::just(4000)));
    const milliseconds headDelay(*rc::gen::inRange(0, 30));
    int calls = 0;
    int running = 0;
    RelayFixture::Received received;
    withRelay([&](RelayFixture &relay) {
        relay.configure(routeOf(stream));
        const auto backend = [&](const HttpRequest &request, HttpResponder &out) {
            ++running;
            const bool first = ++calls == 1;
            if (!first)
                EventLoop::sleepFor(headDelay);
            sendEvents(request, out, first ? pause : milliseconds(5));
            --running;
        };
        relay.addBackend(backend);
        relay.addBackend(backend);
        received = relay.receive();
        EventLoop::sleepFor(milliseconds(100));
    });
    RC_ASSERT(received.body == allEvents());
    RC_ASSERT(received.complete);
    RC_ASSERT(calls <= 2);
    RC_ASSERT(running == 0);
}

// Guards against retries that are paid for although no byte of them was sent.
TEST(SuccessorTest, UnreachableServerCostsNoRetry)
{
    withRelay([](RelayFixture &relay) {
        relay.configure(routeOf(stream));
        // One retry in ten seconds.
        relay.retryRate = 0.1;
        int calls = 0;
        const auto backend = [&](const HttpRequest &request, HttpResponder &out) {
            if (++calls == 2)
                return (void)out.send(503, notRun, "");
            sendEvents(request, out, calls == 1 ? milliseconds(500) : milliseconds(5));
        };
        relay.addBackend(backend);
        EventLoop::spawn([&relay] {
            EventLoop::sleepFor(milliseconds(100));
            relay.addUnreachableBackend();
        });
        EXPECT_EQ(relay.receive().body, allEvents());
        relay.addBackend(backend);
        EXPECT_EQ(relay.receive().body, allEvents());
        EXPECT_EQ(calls, 3);
    });
}

} // namespace

} // namespace jy::test
