#include "FleetFixture.h"

#include "jy_gateway/rollouts/RolloutJudge.h"
#include "jy_gateway/rollouts/RolloutProgressEntry.h"

#include <gtest/gtest.h>

#include <cmath>

namespace jy::test {

namespace {

constexpr TimePoint start{seconds(100)};
constexpr seconds duration{15};
const VersionId target{"v2"};

void addServers(FleetView &fleet)
{
    fleet.apply(ConfigWritten{twoServices()}, start);
    fleet.apply(ServerWritten{server("old", engines)}, start);
    auto added = server("new", engines);
    added.version = target;
    fleet.apply(ServerWritten{added}, start);
    fleet.apply(RolloutWritten{{engines, target, duration, 5}}, start);
}

RolloutProgress progress(RolloutPhase phase, std::uint64_t order = 5)
{
    return {.service = engines, .order = order, .phase = phase, .revision = 9};
}

// A progress that belongs to an earlier order for the same service lets a new version get requests.
struct PhaseCase
{
    const char *name;
    RolloutPhase phase;
    std::uint64_t order;
    bool oldVersion;
    bool newVersion;
};

struct RolloutPhaseTest : testing::TestWithParam<PhaseCase>
{ };

TEST_P(RolloutPhaseTest, VersionsThatMayGetRequests)
{
    FleetView fleet;
    addServers(fleet);
    fleet.apply(RolloutProgressWritten{progress(GetParam().phase, GetParam().order)}, start);
    EXPECT_EQ(fleet.isEligible(*fleet.findServer(ServerId("old")), start), GetParam().oldVersion);
    EXPECT_EQ(fleet.isEligible(*fleet.findServer(ServerId("new")), start), GetParam().newVersion);
}

INSTANTIATE_TEST_SUITE_P(
    Phases, RolloutPhaseTest,
    testing::Values(PhaseCase{"Analyzing", RolloutPhase::Analyzing, 5, true, true},
                    PhaseCase{"Moving", RolloutPhase::Moving, 5, true, true},
                    PhaseCase{"Completed", RolloutPhase::Completed, 5, false, true},
                    PhaseCase{"Reverted", RolloutPhase::Reverted, 5, true, false},
                    PhaseCase{"EarlierOrder", RolloutPhase::Completed, 4, true, false}),
    [](const auto &info) { return std::string(info.param.name); });

// Instances together expose callers to a version beyond the bound before it has passed.
struct ExposureCase
{
    const char *name;
    std::size_t instances;
    int requestsEach;
};

struct ExposureTest : testing::TestWithParam<ExposureCase>
{ };

TEST_P(ExposureTest, FleetStaysWithinTheBoundDuringTheAnalysis)
{
    FleetView fleet;
    addServers(fleet);
    fleet.apply(RolloutProgressWritten{progress(RolloutPhase::Analyzing)}, start);
    const auto &[name, instances, requestsEach] = GetParam();
    int exposed = 0;
    for (std::size_t i = 0; i < instances; ++i) {
        RolloutTraffic traffic(fleet, {.exposureShare = 0.1, .exposureSlack = 50});
        traffic.setInstances(instances);
        for (int r = 0; r < requestsEach; ++r) {
            const auto now = start + duration * r / requestsEach;
            exposed += traffic.assign(engines, 7, 0.5, now) == VersionGroup::Target ? 1 : 0;
        }
    }
    const double all = static_cast<double>(instances) * requestsEach;
    EXPECT_LE(exposed, 0.1 * all + 50);
    EXPECT_GE(exposed, 0.05 * all);
}

INSTANTIATE_TEST_SUITE_P(Fleets, ExposureTest,
                         testing::Values(ExposureCase{"Small", 6, 250},
                                         ExposureCase{"Grown", 88, 80},
                                         ExposureCase{"Large", 295, 70}),
                         [](const auto &info) { return std::string(info.param.name); });

TEST(RolloutTrafficTest, NothingIsExposedWithoutContactOrAfterTheDeadline)
{
    FleetView fleet;
    addServers(fleet);
    fleet.apply(RolloutProgressWritten{progress(RolloutPhase::Analyzing)}, start);
    RolloutTraffic traffic(fleet, {.exposureShare = 1, .exposureSlack = 50});
    EXPECT_EQ(traffic.assign(engines, 7, 0.5, start + duration + seconds(1)),
              VersionGroup::Current);
    traffic.setInContact(false);
    EXPECT_EQ(traffic.assign(engines, 7, 0.5, start + seconds(8)), VersionGroup::Current);
}

TEST(RolloutTrafficTest, PromptsMoveOnceAndAllOfThemInTheMoveTime)
{
    FleetView fleet;
    addServers(fleet);
    fleet.apply(RolloutProgressWritten{progress(RolloutPhase::Moving)}, start);
    RolloutTraffic traffic(fleet, {});
    for (std::uint64_t prompt = 1; prompt <= 50; ++prompt) {
        bool moved = false;
        for (int step = 0; step <= 10; ++step) {
            const auto now = start + RolloutTraffic::moveTime(duration) * step / 10;
            const bool isTarget = traffic.assign(engines, prompt, 0.5, now) == VersionGroup::Target;
            EXPECT_TRUE(isTarget || !moved) << prompt;
            moved = isTarget;
        }
        EXPECT_TRUE(moved) << prompt;
    }
}

// A bad version is kept, or a sound one is taken back, by what callers got from both versions.
struct JudgeCase
{
    const char *name;

    /** Errors and slow responses in a hundred requests of the new version, on one of two routes. */
    int errors;
    int slow;

    /** The same of the old version, on both routes. */
    int oldErrors;

    RolloutPhase expected;
};

struct RolloutJudgeTest : testing::TestWithParam<JudgeCase>
{ };

TEST_P(RolloutJudgeTest, EndsByWhatCallersGot)
{
    RolloutJudge judge(engines, target);
    RolloutOutcomes outcomes;
    const auto sent = [](RolloutCounts &counts, int errors, int slow, int step) {
        // Spreads the failures evenly: one in each hundred for each percent.
        const auto upTo = [&](int percent) {
            return static_cast<std::uint64_t>((step + 1) * 4 * percent / 100);
        };
        counts.requests += 4;
        counts.timed += 4;
        counts.errors = upTo(errors);
        counts.slow = upTo(slow);
    };
    RolloutPhase phase = RolloutPhase::Analyzing;
    milliseconds phaseStart{0};
    for (int step = 0; step < 60; ++step) {
        const milliseconds elapsed = milliseconds(250) * step;
        for (const char *route : {"a", "b"})
            sent(outcomes.current[route], GetParam().oldErrors, 0, step);
        sent(outcomes.target["a"], GetParam().errors, GetParam().slow, step);
        sent(outcomes.target["b"], GetParam().oldErrors, 0, step);
        judge.receive(InstanceId("i1"), 1, outcomes);
        // A repeated report must not count twice.
        judge.receive(InstanceId("i1"), 1, outcomes);
        const auto next = judge.evaluate({.phase = phase,
                                          .elapsed = elapsed,
                                          .duration = duration,
                                          .inPhase = elapsed - phaseStart,
                                          .targetServers = 4});
        if (!next)
            continue;
        phase = next->phase;
        phaseStart = elapsed;
    }
    EXPECT_EQ(phase, GetParam().expected);
}

INSTANTIATE_TEST_SUITE_P(
    Versions, RolloutJudgeTest,
    testing::Values(JudgeCase{"Sound", 0, 0, 0, RolloutPhase::Completed},
                    JudgeCase{"SoundWhereBothFail", 14, 0, 14, RolloutPhase::Completed},
                    JudgeCase{"FailsOnOneRoute", 40, 0, 0, RolloutPhase::Reverted},
                    JudgeCase{"SlowOnOneRoute", 0, 40, 0, RolloutPhase::Reverted}),
    [](const auto &info) { return std::string(info.param.name); });

TEST(RolloutJudgeTest, CountsOfARestartedInstanceBeginAnew)
{
    RolloutJudge judge(engines, target);
    judge.receive(InstanceId("i1"), 1, {.target = {{"a", {.requests = 10}}}});
    judge.receive(InstanceId("i1"), 2, {.target = {{"a", {.requests = 3}}}});
    judge.receive(InstanceId("i1"), 1, {.target = {{"a", {.requests = 12}}}});
    judge.evaluate({.duration = duration});
    EXPECT_EQ(judge.targetTotal().requests, 13U);
}

TEST(RolloutJudgeTest, VersionWithTooFewRequestsIsReverted)
{
    RolloutJudge judge(engines, target);
    const auto step = judge.evaluate(
        {.phase = RolloutPhase::Analyzing, .elapsed = duration, .duration = duration});
    ASSERT_TRUE(step);
    EXPECT_EQ(step->phase, RolloutPhase::Reverted);
}

TEST(RolloutProgressEntryTest, LaterFieldsArePassedOverAndLaterPhasesIgnored)
{
    const auto key = rolloutProgressKey(engines);
    auto stored = progress(RolloutPhase::Moving);
    stored.orderedAt = WallTime(seconds(1'790'000'000));
    stored.reason = "passed";
    EXPECT_EQ(decodeRolloutProgress({key, encodeRolloutProgress(stored), 9, false}), stored);
    const std::string fields = R"("order":5,"ordered_ms":1,"later":[1])";
    EXPECT_TRUE(decodeRolloutProgress({key, R"({"phase":"moving",)" + fields + "}", 9, false}));
    EXPECT_FALSE(decodeRolloutProgress({key, R"({"phase":"paused",)" + fields + "}", 9, false}));
    EXPECT_FALSE(decodeRolloutProgress({key, "[]", 9, false}));
}

} // namespace

} // namespace jy::test
