#include "RelayFixture.h"

namespace jy::test {

namespace {

struct PauseCase
{
    const char *name;
    RequestKind kind;
    int maxAttempts;
    int servers;

    /** Retries per second that are allowed regardless of the number of requests. */
    double retryRate;

    /** Another instance reports all servers as stalled. */
    bool allStalled;

    /** The stall detector is checked during the pause. */
    bool checkStalls;
};

struct PausingServerTest : testing::TestWithParam<PauseCase>
{ };

// Guards against a request that is given up because its server pauses, although no other attempt is
// possible and the server goes on.
TEST_P(PausingServerTest, IsKeptWhenNoOtherAttemptIsPossible)
{
    withRelay([](RelayFixture &relay) {
        const auto &param = GetParam();
        relay.configure({.kind = param.kind,
                         .resumable = param.kind == RequestKind::Stream,
                         .timeout = seconds(4),
                         .latencyTarget = milliseconds(50),
                         .pauseTarget = milliseconds(50),
                         .maxAttempts = param.maxAttempts});
        relay.retryRate = param.retryRate;
        int calls = 0;
        std::vector<ServerId> servers;
        for (int i = 0; i < param.servers; ++i) {
            servers.emplace_back("s" + std::to_string(i));
            relay.addBackend([&](const HttpRequest &, HttpResponder &out) {
                ++calls;
                const bool stream = GetParam().kind == RequestKind::Stream;
                if (stream && !GetParam().checkStalls) {
                    out.startStream(200, streamHead());
                    out.write("id: 1\n\n");
                }
                EventLoop::sleepFor(milliseconds(600));
                if (!stream)
                    return (void)out.send(200, sealed, "id: 1\n\nid: 2\n\n");
                if (!out.started()) {
                    out.startStream(200, streamHead());
                    out.write("id: 1\n\n");
                }
                out.write("id: 2\n\n");
                out.endStream();
            });
        }
        if (param.allStalled)
            relay.stalls.setPeerStalled(InstanceId("other"), servers,
                                        std::chrono::steady_clock::now());
        if (param.checkStalls)
            EventLoop::spawn([&relay] {
                EventLoop::sleepFor(milliseconds(150));
                relay.stalls.check(std::chrono::steady_clock::now());
            });
        const auto received = relay.receive();
        EXPECT_EQ(received.body, "id: 1\n\nid: 2\n\n");
        EXPECT_TRUE(received.complete);
        EXPECT_EQ(calls, 1);
    });
}

constexpr auto stream = RequestKind::Stream;
constexpr auto safe = RequestKind::Safe;
INSTANTIATE_TEST_SUITE_P(
    Pauses, PausingServerTest,
    testing::Values(PauseCase{"StreamOnItsLastAttempt", stream, 1, 2, 10, false, false},
                    PauseCase{"StreamWithoutBudget", stream, 2, 2, 0, false, false},
                    PauseCase{"StreamWithoutOtherServer", stream, 2, 1, 10, false, false},
                    PauseCase{"StreamWhoseOtherServerIsSilent", stream, 2, 2, 10, true, false},
                    PauseCase{"StreamStalledBeforeItsHead", stream, 2, 2, 0, false, true},
                    PauseCase{"SafeOnItsLastAttempt", safe, 1, 2, 10, false, false},
                    PauseCase{"SafeWithoutBudget", safe, 2, 2, 0, false, false},
                    PauseCase{"SafeWithoutOtherServer", safe, 2, 1, 10, false, false},
                    PauseCase{"SafeWhoseOtherServerIsSilent", safe, 2, 2, 10, true, false},
                    PauseCase{"SafeStalled", safe, 2, 2, 0, false, true}),
    [](const auto &info) { return std::string(info.param.name); });

// Guards against a stream that is cut because the server that it moved to pauses as well.
TEST(SilentServerTest, MovedStreamStaysWithASecondServerThatPauses)
{
    withRelay([](RelayFixture &relay) {
        relay.configure({.kind = RequestKind::Stream, .resumable = true, .maxAttempts = 2});
        int calls = 0;
        const auto backend = [&](const HttpRequest &, HttpResponder &out) {
            const bool first = ++calls == 1;
            out.startStream(200, streamHead());
            out.write(first ? "id: 1\n\n" : "id: 2\n\n");
            EventLoop::sleepFor(milliseconds(first ? 2000 : 600));
            out.write("id: 3\n\n");
            out.endStream();
        };
        relay.addBackend(backend);
        relay.addBackend(backend);
        const auto received = relay.receive();
        EXPECT_EQ(received.body, "id: 1\n\nid: 2\n\nid: 3\n\n");
        EXPECT_TRUE(received.complete);
    });
}

} // namespace

} // namespace jy::test
