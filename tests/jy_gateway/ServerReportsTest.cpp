#include "InstanceFixture.h"

#include "jy_gateway/placement/FirstEventEstimate.h"
#include "jy_gateway/placement/ServerReports.h"

#include <gtest/gtest.h>

#include <functional>
#include <limits>

namespace jy::test {

namespace {

const ServerId slow{"slow"};

struct PaceCase
{
    const char *name;
    std::function<void(ServerReports &)> prepare;
    milliseconds age;
    double least;
    double most;
};

struct ServerPaceTest : testing::TestWithParam<PaceCase>
{ };

// Old and false reports must have no more effect than missing ones.
TEST_P(ServerPaceTest, PaceOfAServer)
{
    ServerReports reports;
    GetParam().prepare(reports);
    const auto pace = reports.pace(slow, start + GetParam().age).factor;
    EXPECT_GE(pace, GetParam().least);
    EXPECT_LE(pace, GetParam().most);
}

std::function<void(ServerReports &)> reportOf(std::optional<int> pace)
{
    return [pace](ServerReports &reports) { reports.observe(slow, {1, 0, 6, pace}, start); };
}

void respondSlowly(ServerReports &reports)
{
    for (int i = 0; i < 60; ++i)
        reports.responseStarted(desk, i < 50 ? ServerId("usual") : slow,
                                milliseconds(i < 50 ? 30 : 90), start);
}

void respondSlowlyAndReport(ServerReports &reports)
{
    respondSlowly(reports);
    reportOf(100)(reports);
}

INSTANTIATE_TEST_SUITE_P(
    Reports, ServerPaceTest,
    testing::Values(
        PaceCase{"Unknown", [](auto &) {}, milliseconds(0), 1, 1},
        PaceCase{"Reported", reportOf(250), milliseconds(600), 2.5, 2.5},
        PaceCase{"ReportTooOld", reportOf(250), milliseconds(601), 1, 1},
        PaceCase{"NoPaceStated", reportOf({}), milliseconds(0), 1, 1},
        PaceCase{"AbsurdlySlow", reportOf(std::numeric_limits<int>::max()), milliseconds(0), 4, 4},
        PaceCase{"AbsurdlyFast", reportOf(1), milliseconds(0), 0.5, 0.5},
        PaceCase{"SlowResponses", respondSlowly, milliseconds(0), 2, 3},
        PaceCase{"ReportPrecedesResponses", respondSlowlyAndReport, milliseconds(0), 1, 1},
        PaceCase{"ResponsesAfterAnOldReport", respondSlowlyAndReport, milliseconds(700), 2, 3},
        PaceCase{"ResponsesTooOld", respondSlowly, seconds(6), 1, 1}),
    [](const auto &info) { return std::string(info.param.name); });

TEST(ServerReportsTest, LoadsExpireAndHaveNoNegativeCounts)
{
    ServerReports reports;
    reports.observe(slow, {-7, -3, 6, {}}, start);
    const auto load = reports.load(slow, start + seconds(1));
    ASSERT_TRUE(load);
    EXPECT_EQ(load->running + load->waiting, 0);
    EXPECT_FALSE(reports.load(slow, start + milliseconds(1001)));
    reports.expire(start + seconds(2));
    EXPECT_EQ(reports.size(), 0U);
}

struct EstimateCase
{
    const char *name;
    ServerWork server;
    double expectedMs;
};

struct FirstEventTest : testing::TestWithParam<EstimateCase>
{ };

TEST_P(FirstEventTest, TimeIsTheSumOfQueueSlotAndPrefixTimesPace)
{
    const PromptWork prompt{.obtainPrefix = prefillTime(4500),
                            .meanPrefill = Milliseconds(20),
                            .meanDuration = Milliseconds(320)};
    EXPECT_NEAR(expectedFirstEvent(GetParam().server, prompt).count(), GetParam().expectedMs, 1e-9);
}

INSTANTIATE_TEST_SUITE_P(
    Servers, FirstEventTest,
    testing::Values(EstimateCase{"Cached", {.slots = 32, .cached = true}, 0},
                    EstimateCase{"Prefill", {.slots = 32}, 100},
                    EstimateCase{"Slow", {.slots = 32, .pace = 2.5}, 250},
                    EstimateCase{
                        "Queue", {.waiting = 3, .inFlight = 3, .slots = 32, .cached = true}, 60},
                    EstimateCase{"QueueAndPrefill", {.waiting = 3, .slots = 32, .pace = 0.5}, 80},
                    EstimateCase{"LastSlot", {.inFlight = 31, .slots = 32, .cached = true}, 0},
                    EstimateCase{"AboveSlots", {.inFlight = 33, .slots = 32, .cached = true}, 20},
                    EstimateCase{"FalseCounts", {.waiting = -5, .inFlight = -9, .slots = 0}, 100}),
    [](const auto &info) { return std::string(info.param.name); });

// In a simulated fleet whose reports are half a second old, prompts left homes without a queue.
TEST(FirstEventEstimateTest, RequestsInOldReportsHaveBeenProcessed)
{
    EXPECT_EQ(stillWaiting(5, milliseconds(0), Milliseconds(20)), 5);
    EXPECT_EQ(stillWaiting(5, milliseconds(50), Milliseconds(20)), 3);
    EXPECT_EQ(stillWaiting(5, seconds(1), Milliseconds(0)), 0);
}

TEST(FirstEventEstimateTest, CopyTakesTokensOverTheLinkPlusItsSetup)
{
    const ServicePolicy policy{.cacheTokenBytes = 327'680, .cacheLinkMbps = 180'000};
    EXPECT_NEAR(copyTime(4500, policy).count(), 4 + 4500 * 327'680 * 8.0 / 180e6, 1e-9);
    EXPECT_GT(copyTime(1, {}), prefillTime(1'000'000));
}

} // namespace

} // namespace jy::test
