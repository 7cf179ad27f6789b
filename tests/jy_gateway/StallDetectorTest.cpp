#include "RelayFixture.h"

#include "jy_gateway/peers/HeartbeatCodec.h"

#include <functional>
#include <string>

namespace jy::test {

namespace {

const TimePoint began{std::chrono::hours(1)};
const ServerId one("one");
const InstanceId peer("peer");
constexpr milliseconds silenceTimeout{300};

struct StallCase
{
    std::string name;
    std::function<void(StallDetector &)> play;

    /** Half a second after the begin. */
    bool stalled;

    /** The server has more requests than slots. */
    bool full = false;
};

struct StallTest : testing::TestWithParam<StallCase>
{ };

TEST_P(StallTest, ServerIsStalledWhileItOwesSomething)
{
    StallDetector stalls([](const ServerId &) { return GetParam().full; });
    GetParam().play(stalls);
    const auto now = began + milliseconds(500);
    EXPECT_EQ(stalls.stalled(one, now), GetParam().stalled);
    EXPECT_FALSE(stalls.stalled(ServerId("two"), now));
}

const std::vector<StallCase> stallCases = {
    {"NoRequests", [](StallDetector &) {}, false},
    {"Overdue", [](StallDetector &stalls) { stalls.begin(one, silenceTimeout, began); }, true},
    {"WithinItsTime", [](StallDetector &stalls) { stalls.begin(one, milliseconds(600), began); },
     false},
    {"Ended",
     [](StallDetector &stalls) { stalls.end(one, stalls.begin(one, silenceTimeout, began)); },
     false},
    {"HeardByAnotherRequest",
     [](StallDetector &stalls) {
         stalls.begin(one, silenceTimeout, began);
         const auto other = stalls.begin(one, silenceTimeout, began);
         stalls.heard(one, other, silenceTimeout, began + milliseconds(400));
     },
     false},
    {"SilentAfterItsAnswerBegan",
     [](StallDetector &stalls) {
         const auto request = stalls.begin(one, silenceTimeout, began);
         stalls.heard(one, request, silenceTimeout, began + milliseconds(100));
     },
     true},
    {"WaitingAtAFullServer",
     [](StallDetector &stalls) { stalls.begin(one, silenceTimeout, began); }, false, true},
    {"FullServerSilentAfterItsAnswerBegan",
     [](StallDetector &stalls) {
         const auto request = stalls.begin(one, silenceTimeout, began);
         stalls.heard(one, request, silenceTimeout, began + milliseconds(100));
     },
     true, true},
    {"ToldByAnotherInstance",
     [](StallDetector &stalls) { stalls.setPeerStalled(peer, {one}, began + milliseconds(400)); },
     true},
    {"TakenBack",
     [](StallDetector &stalls) {
         stalls.setPeerStalled(peer, {one}, began + milliseconds(300));
         stalls.setPeerStalled(peer, {}, began + milliseconds(400));
     },
     false},
    {"ToldLongAgo",
     [](StallDetector &stalls) {
         stalls.setPeerStalled(peer, {one}, began - StallDetector::peerLifetime);
     },
     false},
    {"ToldButHeardSince",
     [](StallDetector &stalls) {
         stalls.setPeerStalled(peer, {one}, began + milliseconds(400));
         const auto request = stalls.begin(one, silenceTimeout, began);
         stalls.heard(one, request, silenceTimeout, began + milliseconds(450));
     },
     false},
};

INSTANTIATE_TEST_SUITE_P(Cases, StallTest, testing::ValuesIn(stallCases),
                         [](const auto &row) { return row.param.name; });

TEST(StallDetectorTest, WaitingRequestsAreToldOnce)
{
    StallDetector stalls([](const ServerId &) { return false; });
    int told = 0;
    stalls.begin(one, silenceTimeout, began, [&] { ++told; });
    const auto answered = stalls.begin(one, silenceTimeout, began, [&] { told += 100; });
    stalls.heard(one, answered, silenceTimeout, began);
    stalls.check(began + silenceTimeout);
    EXPECT_EQ(told, 0);
    stalls.check(began + silenceTimeout + milliseconds(1));
    stalls.check(began + seconds(1));
    EXPECT_EQ(told, 1);
}

// Instances are replaced for good, and what the last heartbeat of one told stayed for ever.
TEST(StallDetectorTest, WordOfInstancesThatAreGoneIsForgotten)
{
    StallDetector stalls([](const ServerId &) { return false; });
    stalls.setPeerStalled(peer, {one}, began);
    stalls.check(began + StallDetector::peerLifetime);
    EXPECT_EQ(stalls.told(), 1U);
    stalls.check(began + StallDetector::peerLifetime + milliseconds(1));
    EXPECT_EQ(stalls.told(), 0U);
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
    testing::Values(WaitCase{"Unknown", {}, 300}, WaitCase{"Quick", {20, 20, 20, 20, 20}, 300},
                    WaitCase{"OneServerIsSilent", {20, 3000, 20, 3000, 20}, 300},
                    WaitCase{"TakesLongAlways", {1100, 1100, 1100}, 2200},
                    WaitCase{"QuickAgain", {1100, 1100, 1100, 20, 20, 20}, 300}),
    [](const auto &row) { return row.param.name; });

TEST(RouteWaitsTest, NumberOfRoutesIsBounded)
{
    RouteWaits waits;
    for (std::size_t i = 0; i < 2 * RouteWaits::maxRoutes; ++i)
        waits.add("r" + std::to_string(i), silenceTimeout);
    EXPECT_LE(waits.size(), RouteWaits::maxRoutes);
}

// Load played: a server without power among two. Requests waited there for twice their target, and
// those that may run only once were sent there until their time was up.
TEST(StallDetectorTest, SilentServerCostsRequestsLittle)
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
