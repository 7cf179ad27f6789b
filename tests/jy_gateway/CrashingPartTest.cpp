#include "RelayFixture.h"

namespace jy::test {

namespace {

// Guards against a prompt part that crashes one engine after the other.
TEST(CrashingPartTest, RequestsWithACrashingPartStopReachingServers)
{
    constexpr int requests = 20;
    constexpr int allowed = 5 + 3;
    withRelay([&](RelayFixture &relay) {
        relay.configure({.kind = RequestKind::Stream, .cachesPrompts = true});
        int crashes = 0;
        int served = 0;
        for (int i = 0; i < 6; ++i) {
            relay.addBackend([&](const HttpRequest &request, HttpResponder &out) {
                out.startStream(200, streamHead());
                if (request.target == "/crash") {
                    ++crashes;
                    return;
                }
                out.write("id: 1\ndata: a\n\n");
                out.endStream();
            });
        }
        for (int i = 0; i < requests; ++i) {
            EventLoop::sleepFor(milliseconds(150));
            const auto deadly = relay.call({{"Id", "r1"}, {"Shared", "common,deadly"}}, "/crash");
            EXPECT_TRUE(deadly);
            const auto sound = relay.call({{"Id", "r1"}, {"Shared", "common,sound"}});
            served += sound && sound.value().status == 200 ? 1 : 0;
        }
        EXPECT_LE(crashes, allowed);
        EXPECT_EQ(served, requests);
    });
}

} // namespace

} // namespace jy::test
