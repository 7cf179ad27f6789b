#include "RelayFixture.h"

namespace jy::test {

namespace {

struct CrashingRequestCase
{
    const char *name;
    RequestKind kind;
    bool resumable;
    HttpHeaders headers;

    int mostCrashes;
};

struct CrashingRequestTest : testing::TestWithParam<CrashingRequestCase>
{ };

// Guards against one request, sent again by its callers, that crashes one server after the other,
// and against refusing the requests that only share its prompt parts or its path.
TEST_P(CrashingRequestTest, TheSameRequestStopsReachingServers)
{
    constexpr int requests = 8;
    const auto &param = GetParam();
    withRelay([&](RelayFixture &relay) {
        relay.configure({.kind = param.kind,
                         .resumable = param.resumable,
                         .maxAttempts = 2,
                         .cachesPrompts = param.kind == RequestKind::Stream});
        int crashes = 0;
        int served = 0;
        for (int i = 0; i < 8; ++i) {
            relay.addBackend([&](const HttpRequest &request, HttpResponder &out) {
                if (request.target == "/same?x=1") {
                    ++crashes;
                    out.startStream(200, param.kind == RequestKind::Stream ? streamHead() : sealed);
                    return;
                }
                out.startStream(200, streamHead());
                out.write("id: 1\ndata: a\n\n");
                out.endStream();
            });
        }
        for (int i = 0; i < requests; ++i) {
            EventLoop::sleepFor(milliseconds(160));
            EXPECT_TRUE(relay.call(param.headers, "/same?x=1"));
            const auto sound = relay.call(param.headers, "/same?x=2");
            served += sound && sound.value().status == 200 ? 1 : 0;
        }
        EXPECT_LE(crashes, param.mostCrashes);
        EXPECT_EQ(served, requests);
        const auto last = relay.call(param.headers, "/same?x=1");
        ASSERT_TRUE(last);
        EXPECT_EQ(last.value().status, 503);
        EXPECT_FALSE(last.value().headers.value("Retry-After").empty());
    });
}

const HttpHeaders withPrompt{{"Id", "r1"}, {"Shared", "common,subject"}};
const HttpHeaders plain{{"Id", "r1"}};

INSTANTIATE_TEST_SUITE_P(
    Requests, CrashingRequestTest,
    testing::Values(CrashingRequestCase{"stream", RequestKind::Stream, false, withPrompt, 2},
                    CrashingRequestCase{"resumable_stream", RequestKind::Stream, true, withPrompt,
                                        3},
                    CrashingRequestCase{"plain", RequestKind::Unsafe, false, plain, 2}),
    [](const auto &testCase) { return testCase.param.name; });

} // namespace

} // namespace jy::test
