#include "RelayFixture.h"

#include "jy_gateway/peers/HeartbeatCodec.h"

#include <functional>
#include <string>

namespace jy::test {

namespace {

const TimePoint startTime{std::chrono::hours(1)};
const ServerId one("one");
const InstanceId peer("peer");
constexpr milliseconds silenceTimeout{300};

struct StallCase
{
    std::string name;
    std::function<void(StallDetector &)> run;

    /** Whether the server is expected to be stalled 0.5 s after the start. */
    bool stalled;

    /** The server has more requests than slots. */
    bool full = false;
};

struct StallTest : testing::TestWithParam<StallCase>
{ };

TEST_P(StallTest, ServerIsStalledWhileARequestIsOverdue)
{
    StallDetector stalls([](const ServerId &) { return GetParam().full; });
    GetParam().run(stalls);
    const auto now = startTime + milliseconds(500);
    EXPECT_EQ(stalls.isStalled(one, now), GetParam().stalled);
    EXPECT_FALSE(stalls.isStalled(ServerId("two"), now));
}

const std::vector<StallCase> stallCases = {
    {"NoRequests", [](StallDetector &) {}, false},
    {"Overdue", [](StallDetector &stalls) { stalls.requestSent(one, silenceTimeout, startTime); },
     true},
    {"WithinSilenceTimeout",
     [](StallDetector &stalls) { stalls.requestSent(one, milliseconds(600), startTime); }, false},
    {"Ended",
     [](StallDetector &stalls) {
         stalls.requestEnded(one, stalls.requestSent(one, silenceTimeout, startTime));
     },
     false},
    {"AnotherRequestReceivedData",
     [](StallDetector &stalls) {
         stalls.requestSent(one, silenceTimeout, startTime);
         const auto other = stalls.requestSent(one, silenceTimeout, startTime);
         stalls.dataReceived(one, other, silenceTimeout, startTime + milliseconds(400));
     },
     false},
    {"SilentAfterResponseStarted",
     [](StallDetector &stalls) {
         const auto request = stalls.requestSent(one, silenceTimeout, startTime);
         stalls.dataReceived(one, request, silenceTimeout, startTime + milliseconds(100));
     },
     true},
    {"WaitingAtAFullServer",
     [](StallDetector &stalls) { stalls.requestSent(one, silenceTimeout, startTime); }, false,
     true},
    {"FullServerSilentAfterResponseStarted",
     [](StallDetector &stalls) {
         const auto request = stalls.requestSent(one, silenceTimeout, startTime);
         stalls.dataReceived(one, request, silenceTimeout, startTime + milliseconds(100));
     },
     true, true},
    {"ReportedByAnotherInstance",
     [](StallDetector &stalls) {
         stalls.setPeerStalled(peer, {one}, startTime + milliseconds(400));
     },
     true},
    {"ReportWithdrawn",
     [](StallDetector &stalls) {
         stalls.setPeerStalled(peer, {one}, startTime + milliseconds(300));
         stalls.setPeerStalled(peer, {}, startTime + milliseconds(400));
     },
     false},
    {"ReportExpired",
     [](StallDetector &stalls) {
         stalls.setPeerStalled(peer, {one}, startTime - StallDetector::peerLifetime);
     },
     false},
    {"DataReceivedAfterReport",
     [](StallDetector &stalls) {
         stalls.setPeerStalled(peer, {one}, startTime + milliseconds(400));
         const auto request = stalls.requestSent(one, silenceTimeout, startTime);
         stalls.dataReceived(one, request, silenceTimeout, startTime + milliseconds(450));
     },
     false},
};

INSTANTIATE_TEST_SUITE_P(Cases, StallTest, testing::ValuesIn(stallCases),
                         [](const auto &row) { return row.param.name; });

TEST(StallDetectorTest, WaitingRequestsAreNotifiedOnce)
{
    StallDetector stalls([](const ServerId &) { return false; });
    int notified = 0;
    stalls.requestSent(one, silenceTimeout, startTime, [&] { ++notified; });
    const auto answered =
        stalls.requestSent(one, silenceTimeout, startTime, [&] { notified += 100; });
    stalls.dataReceived(one, answered, silenceTimeout, startTime);
    stalls.check(startTime + silenceTimeout);
    EXPECT_EQ(notified, 0);
    stalls.check(startTime + silenceTimeout + milliseconds(1));
    stalls.check(startTime + seconds(1));
    EXPECT_EQ(notified, 1);
}

// When an instance was replaced, the report in its last heartbeat stayed forever.
TEST(StallDetectorTest, ReportsOfFormerInstancesExpire)
{
    StallDetector stalls([](const ServerId &) { return false; });
    stalls.setPeerStalled(peer, {one}, startTime);
    stalls.check(startTime + StallDetector::peerLifetime);
    EXPECT_EQ(stalls.reportedServers(), 1U);
    stalls.check(startTime + StallDetector::peerLifetime + milliseconds(1));
    EXPECT_EQ(stalls.reportedServers(), 0U);
}

TEST(StallDetectorTest, HeartbeatsCarryStalledServers)
{
    Heartbeat heartbeat{.brief = true, .instance = {.id = peer}, .stalled = {one, ServerId("x")}};
    const auto received = decodeHeartbeat(
        encodeHeartbeat(heartbeat),
        [](std::uint32_t hash) { return hash == serverHash(one) ? &one : nullptr; },
        [](std::uint32_t) { return &peer; });
    ASSERT_TRUE(received);
    EXPECT_EQ(received.value().stalled, std::vector{one});
}

struct WaitCase
{
    std::string name;
    std::vector<int> waits;
    int silenceTimeout;
};

struct RouteWaitsTest : testing::TestWithParam<WaitCase>
{ };

TEST_P(RouteWaitsTest, SilenceTimeoutFollowsTheRouteAndNotOneServer)
{
    RouteWaits waits;
    for (const int wait : GetParam().waits)
        waits.add("r", milliseconds(wait));
    EXPECT_EQ(waits.silenceTimeout("r", silenceTimeout), milliseconds(GetParam().silenceTimeout));
}

INSTANTIATE_TEST_SUITE_P(
    Cases, RouteWaitsTest,
    testing::Values(WaitCase{"Unknown", {}, 300}, WaitCase{"Fast", {20, 20, 20, 20, 20}, 300},
                    WaitCase{"OneServerIsSilent", {20, 3000, 20, 3000, 20}, 300},
                    WaitCase{"AlwaysSlow", {1100, 1100, 1100}, 2200},
                    WaitCase{"FastAgain", {1100, 1100, 1100, 20, 20, 20}, 300}),
    [](const auto &row) { return row.param.name; });

TEST(RouteWaitsTest, NumberOfRoutesIsBounded)
{
    RouteWaits waits;
    for (std::size_t i = 0; i < 2 * RouteWaits::maxRoutes; ++i)
        waits.add("r" + std::to_string(i), silenceTimeout);
    EXPECT_LE(waits.size(), RouteWaits::maxRoutes);
}

// One of two servers has lost power. Requests waited there for twice their target, and those that
// must not run twice were sent there until they timed out.
TEST(StallDetectorTest, SilentServerDelaysFewRequests)
{
    withRelay([](RelayFixture &relay) {
        relay.configure({.kind = RequestKind::Safe,
                         .timeout = seconds(4),
                         .latencyTarget = milliseconds(200),
                         .maxAttempts = 2});
        int silent = 0;
        int answered = 0;
        bool open = true;
        relay.addBackend([&](const HttpRequest &, HttpResponder &) {
            ++silent;
            while (open)
                EventLoop::sleepFor(milliseconds(10));
        });
        relay.addBackend(respondWith(200, sealed, answered));
        bool checking = true;
        EventLoop::spawn([&] {
            while (checking) {
                relay.stalls.check(std::chrono::steady_clock::now());
                EventLoop::sleepFor(milliseconds(10));
            }
        });
        const auto start = std::chrono::steady_clock::now();
        for (int i = 0; i < 12; ++i)
            EXPECT_EQ(relay.call().value().status, 200);
        EXPECT_EQ(answered, 12);
        EXPECT_LE(silent, 1);
        EXPECT_LT(std::chrono::steady_clock::now() - start, milliseconds(400));
        checking = false;
        open = false;
        EventLoop::sleepFor(milliseconds(30));
    });
}

} // namespace

} // namespace jy::test
