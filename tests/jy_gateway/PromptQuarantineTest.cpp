#include "jy_gateway/limits/PromptQuarantine.h"
#include "jy_gateway/peers/HeartbeatCodec.h"

#include <gtest/gtest.h>

#include <random>

namespace jy::test {

namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

const TimePoint start{std::chrono::hours(1)};

constexpr PromptPartKey common = 1;
constexpr PromptPartKey deadly = 2;
constexpr PromptPartKey own = 3;

ServerId server(int number)
{
    return ServerId("s" + std::to_string(number));
}

struct FleetLoad
{
    const char *name;
    std::size_t instances;
    std::size_t groups;
    milliseconds period;

    /** Requests per second with the crashing part, and sound ones that share its other part. */
    double deadlyRate;
    double soundRate;

    /** Whether the servers write the head of a response before they end. */
    CrashEvidence evidence;
    double lostReports;

    /** Time after the fifth crash, or the third of one request, from which at most three requests
     * may reach a server. */
    milliseconds window;

    /** Whether all crashing requests are the same one, all parts of which sound ones share. */
    bool sameRequest = false;
};

RequestKeys deadlyKeys(const FleetLoad &load)
{
    if (load.sameRequest)
        return {{common, own}, deadly};
    return {{common, deadly}};
}

/** Instances that exchange reports; every request with the crashing part ends another server. */
class QuarantineFleet
{
public:
    explicit QuarantineFleet(const FleetLoad &load)
        : load_(load)
    {
        std::set<InstanceId> live;
        for (std::size_t i = 0; i < load.instances; ++i) {
            live.insert(InstanceId("i" + std::to_string(i)));
            instances_.emplace_back(InstanceId("i" + std::to_string(i)));
        }
        for (auto &instance : instances_) {
            instance.setInstances(live);
            instance.setObjectionTime(2 * load.period + milliseconds(100));
        }
    }

    void run(seconds duration)
    {
        constexpr milliseconds step{10};
        for (auto now = start; now < start + duration; now += step) {
            if (now - lastExchange_ >= load_.period)
                exchange(now);
            if (happens(load_.deadlyRate, step))
                sendDeadly(now);
            if (happens(load_.soundRate, step))
                sendSound(now);
            for (auto &instance : instances_)
                (void)instance.update(now);
        }
    }

    int crashes = 0;
    int lateCrashes = 0;
    int refusedSound = 0;

private:
    bool happens(double rate, milliseconds step)
    {
        return unit_(random_) < rate * std::chrono::duration<double>(step).count();
    }

    PromptQuarantine &anyInstance()
    {
        return instances_[static_cast<std::size_t>(unit_(random_)
                                                   * static_cast<double>(instances_.size()))];
    }

    void sendDeadly(TimePoint now)
    {
        auto &instance = anyInstance();
        if (instance.check(deadlyKeys(load_), now))
            return;
        const int allowed = load_.sameRequest ? 3 : 5;
        if (++crashes == allowed)
            boundFrom_ = now + load_.window;
        lateCrashes += crashes > allowed && now > boundFrom_ ? 1 : 0;
        instance.connectionEnded(deadlyKeys(load_), server(crashes), load_.evidence, now);
    }

    void sendSound(TimePoint now)
    {
        auto &instance = anyInstance();
        const RequestKeys keys{{common, own}, ++lastOwnRequest_};
        if (instance.check(keys, now))
            ++refusedSound;
        else
            instance.responseCompleted(keys, now);
    }

    void exchange(TimePoint now)
    {
        lastExchange_ = now;
        const bool groupReports = load_.groups > 1 && ++exchanges_ % 2 == 0;
        for (std::size_t from = 0; from < instances_.size(); ++from) {
            const auto report = instances_[from].takeReport(1, false, now);
            const auto groupReport =
                groupReports ? instances_[from].takeGroupReport(1, now) : PartReport();
            // Members of a group are those with the same remainder.
            for (std::size_t to = 0; to < instances_.size(); ++to) {
                if (unit_(random_) < load_.lostReports || to == from)
                    continue;
                if (to % load_.groups == from % load_.groups)
                    instances_[to].receive(report, now);
                else if (groupReports && to / load_.groups == from / load_.groups)
                    instances_[to].receiveFromGroup(groupReport, now);
            }
        }
    }

    FleetLoad load_;
    std::vector<PromptQuarantine> instances_;
    TimePoint lastExchange_;
    int exchanges_ = 0;
    PromptPartKey lastOwnRequest_ = 1000;
    std::optional<TimePoint> boundFrom_;
    std::mt19937_64 random_{7};
    std::uniform_real_distribution<double> unit_{0, 1};
};

struct FleetLoadTest : testing::TestWithParam<FleetLoad>
{ };

// Guards against a crashing part that goes from server to server, and against refusing the sound
// requests that share its other parts.
TEST_P(FleetLoadTest, CrashingPartIsRefusedEverywhereAndSoundOnesAreServed)
{
    QuarantineFleet fleet(GetParam());
    fleet.run(seconds(25));
    EXPECT_GE(fleet.crashes, GetParam().sameRequest ? 2 : 3);
    EXPECT_LE(fleet.lateCrashes, 3);
    EXPECT_EQ(fleet.refusedSound, 0);
}

constexpr auto begun = CrashEvidence::ResponseBegun;
constexpr auto before = CrashEvidence::BeforeResponse;
INSTANTIATE_TEST_SUITE_P(
    Loads, FleetLoadTest,
    testing::Values(
        FleetLoad{"small", 6, 1, milliseconds(100), 1.6, 30, begun, 0, milliseconds(3000)},
        FleetLoad{"small_lossy", 6, 1, milliseconds(100), 1.6, 30, begun, 0.3, milliseconds(3000)},
        FleetLoad{"slow_trickle", 6, 1, milliseconds(100), 0.4, 30, begun, 0, milliseconds(3000)},
        FleetLoad{"no_head", 6, 1, milliseconds(100), 1.6, 30, before, 0, milliseconds(3000)},
        FleetLoad{"grown", 90, 1, milliseconds(540), 6, 30, begun, 0.05, milliseconds(4000)},
        FleetLoad{"grown_few_sound", 90, 1, milliseconds(540), 6, 3, begun, 0, milliseconds(4000)},
        FleetLoad{"large", 304, 16, milliseconds(540), 18, 90, begun, 0.05, milliseconds(5000)},
        FleetLoad{"large_few_sound", 304, 16, milliseconds(540), 18, 12, begun, 0,
                  milliseconds(5000)},
        FleetLoad{"request_small", 6, 1, milliseconds(100), 1.6, 30, begun, 0, milliseconds(3000),
                  true},
        FleetLoad{"request_trickle", 6, 1, milliseconds(100), 0.4, 3, begun, 0.3,
                  milliseconds(3000), true},
        FleetLoad{"request_no_head", 6, 1, milliseconds(100), 1.6, 30, before, 0,
                  milliseconds(3000), true},
        FleetLoad{"request_grown", 90, 1, milliseconds(540), 6, 30, begun, 0.05, milliseconds(4000),
                  true},
        FleetLoad{"request_large", 304, 16, milliseconds(540), 18, 12, begun, 0.05,
                  milliseconds(5000), true}),
    [](const auto &testCase) { return testCase.param.name; });

struct SinglePartCase
{
    const char *name;
    int crashes;

    /** Time between two crashes. */
    milliseconds gap;
    bool sameServer;
    bool answeredBefore;
    bool quarantined;
};

struct SinglePartTest : testing::TestWithParam<SinglePartCase>
{ };

// Guards against a quarantine of sound parts: those in use when many servers fail at once, or at a
// server that fails repeatedly, or with an answer of late.
TEST_P(SinglePartTest, QuarantineNeedsCrashesOfSeveralServersAtDifferentTimesWithoutAnAnswer)
{
    const auto &param = GetParam();
    PromptQuarantine quarantine{InstanceId("self")};
    if (param.answeredBefore)
        quarantine.responseCompleted({{deadly}}, start);
    auto now = start;
    for (int i = 0; i < param.crashes; ++i) {
        now += param.gap;
        quarantine.connectionEnded({{deadly}}, server(param.sameServer ? 0 : i), begun, now);
    }
    (void)quarantine.check({{deadly}}, now);
    EXPECT_EQ(quarantine.check({{deadly}}, now + seconds(1)).has_value(), param.quarantined);
}

INSTANTIATE_TEST_SUITE_P(
    Cases, SinglePartTest,
    testing::Values(SinglePartCase{"three_servers", 3, milliseconds(200), false, false, true},
                    SinglePartCase{"two_servers", 2, milliseconds(200), false, false, false},
                    SinglePartCase{"same_moment", 12, milliseconds(1), false, false, false},
                    SinglePartCase{"one_server", 12, milliseconds(200), true, false, false},
                    SinglePartCase{"answered", 6, milliseconds(200), false, true, false},
                    SinglePartCase{"answered_long_ago", 6, seconds(3), false, true, true}),
    [](const auto &testCase) { return testCase.param.name; });

struct SingleRequestCase
{
    const char *name;
    int crashes;
    milliseconds gap;
    CrashEvidence evidence;
    bool answeredBefore;
    bool refused;
};

struct SingleRequestTest : testing::TestWithParam<SingleRequestCase>
{ };

// Guards against a crashing request that reaches a third server, against refusing a request whose
// servers others crashed, and against refusing those that only share the crashing request's parts.
TEST_P(SingleRequestTest, RequestIsRefusedAtOnceAndThoseThatShareItsPartsAreNot)
{
    const auto &param = GetParam();
    const RequestKeys keys{{common, own}, deadly};
    PromptQuarantine quarantine{InstanceId("self")};
    if (param.answeredBefore)
        quarantine.responseCompleted(keys, start);
    auto now = start;
    for (int i = 0; i < param.crashes; ++i) {
        now += param.gap;
        quarantine.connectionEnded(keys, server(i), param.evidence, now);
    }
    for (const auto wait : {milliseconds(1), milliseconds(1000)}) {
        EXPECT_EQ(quarantine.check(keys, now + wait).has_value(), param.refused);
        EXPECT_FALSE(quarantine.check({{common, own}, 4}, now + wait));
    }
}

INSTANTIATE_TEST_SUITE_P(
    Cases, SingleRequestTest,
    testing::Values(SingleRequestCase{"one_server", 1, milliseconds(200), begun, false, false},
                    SingleRequestCase{"two_servers", 2, milliseconds(200), begun, false, true},
                    SingleRequestCase{"same_moment", 12, milliseconds(1), begun, false, false},
                    SingleRequestCase{"no_head", 3, milliseconds(200), before, false, false},
                    SingleRequestCase{"four_no_head", 4, milliseconds(200), before, false, true},
                    SingleRequestCase{"answered", 2, milliseconds(200), begun, true, false}),
    [](const auto &testCase) { return testCase.param.name; });

// Guards against crashes seen by other instances that do not count for the next request here.
TEST(PromptQuarantineTest, RequestThatEndedServersOfOthersIsRefusedHere)
{
    PromptQuarantine first{InstanceId("first")};
    PromptQuarantine second{InstanceId("second")};
    PromptQuarantine third{InstanceId("third")};
    const RequestKeys keys{{}, deadly};
    first.connectionEnded(keys, server(1), begun, start);
    second.connectionEnded(keys, server(2), begun, start + milliseconds(200));
    const auto now = start + milliseconds(250);
    for (auto *reporter : {&first, &second})
        third.receive(reporter->takeReport(1, false, now), now);
    EXPECT_TRUE(third.check(keys, now));
}

// Guards against growth, and against losing a quarantine, when callers make up crashing requests.
TEST(PromptQuarantineTest, MadeUpRequestsDisplaceNeitherQuarantinesNorReports)
{
    PromptQuarantine quarantine{InstanceId("self")};
    const RequestKeys keys{{}, deadly};
    auto now = start;
    for (int i = 0; i < 2; ++i)
        quarantine.connectionEnded(keys, server(i), begun, now += milliseconds(200));
    for (PromptPartKey i = 0; i < 10000; ++i)
        quarantine.connectionEnded({{}, 1000 + i}, server(3), begun, now);
    EXPECT_TRUE(quarantine.check(keys, now + seconds(1)));
    std::size_t sent = 0;
    for (int i = 0; i < 1000; ++i)
        sent += quarantine.takeReport(1, false, now + seconds(1)).crashes.size();
    EXPECT_LE(sent, PromptQuarantine::maxPending * PromptQuarantine::sendsPerEntry);
}

// Guards against refusing a part that only other instances have seen answered.
TEST(PromptQuarantineTest, ObjectionInTimePreventsTheQuarantine)
{
    PromptQuarantine quarantine{InstanceId("self")};
    PromptQuarantine other{InstanceId("other")};
    other.responseCompleted({{deadly}}, start);
    auto now = start;
    for (int i = 0; i < 3; ++i) {
        now += milliseconds(200);
        quarantine.connectionEnded({{deadly}}, server(i), begun, now);
    }
    EXPECT_FALSE(quarantine.check({{deadly}}, now));
    other.receive(quarantine.takeReport(1, false, now), now + milliseconds(100));
    quarantine.receive(other.takeReport(1, false, now + milliseconds(100)),
                       now + milliseconds(200));
    EXPECT_FALSE(quarantine.check({{deadly}}, now + seconds(1)));
}

/** A quarantine of this instance, which learned it from another one. */
struct ProbeTest : testing::Test
{
    ProbeTest()
    {
        quarantine.receive({.quarantined = {{deadly, 0, seconds(15)}}}, start);
        due += seconds(15);
    }

    PromptQuarantine quarantine{InstanceId("self")};
    TimePoint due = start;
};

TEST_F(ProbeTest, OneRequestIsLetThroughWhenAProbeIsDue)
{
    EXPECT_TRUE(quarantine.check({{common, deadly}}, start));
    EXPECT_FALSE(quarantine.check({{common, deadly}}, due));
    EXPECT_GE(quarantine.check({{common, deadly}}, due).value_or(seconds(0)), seconds(30));
}

TEST_F(ProbeTest, AnsweredProbeEndsTheQuarantineAndOtherInstancesAreTold)
{
    quarantine.responseCompleted({{deadly}}, due);
    EXPECT_FALSE(quarantine.check({{deadly}}, due));
    quarantine.receive({.quarantined = {{deadly, 0, seconds(5)}}}, due);
    EXPECT_FALSE(quarantine.check({{deadly}}, due));
    const auto report = quarantine.takeReport(1, false, due);
    ASSERT_EQ(report.sound.size(), 1);
    PromptQuarantine other{InstanceId("other")};
    other.receive({.quarantined = {{deadly, 0, seconds(15)}}}, start);
    other.receive(report, due);
    EXPECT_FALSE(other.check({{deadly}}, due));
}

TEST_F(ProbeTest, OnlyOneOfTheLiveInstancesProbes)
{
    const std::set<InstanceId> live{InstanceId("a"), InstanceId("b"), InstanceId("c")};
    int probes = 0;
    for (const auto &id : live) {
        PromptQuarantine instance(id);
        instance.setInstances(live);
        instance.receive({.quarantined = {{deadly, 0, seconds(0)}}}, start);
        probes += instance.check({{deadly}}, start) ? 0 : 1;
    }
    EXPECT_EQ(probes, 1);
}

// An instance that has just started learns of a quarantine from complete heartbeats.
TEST_F(ProbeTest, CompleteHeartbeatsRepeatTheQuarantine)
{
    for (int i = 0; i < 5; ++i)
        (void)quarantine.takeReport(1, false, start);
    const Heartbeat sent{.instance = {.id = InstanceId("b"),
                                      .caller = {"10.0.0.1", 1},
                                      .peer = {"10.0.0.1", 2},
                                      .control = {"10.0.0.1", 3}},
                         .parts = quarantine.takeReport(1, true, start)};
    const auto received = decodeHeartbeat(
        encodeHeartbeat(sent), [](std::uint32_t) { return nullptr; },
        [](std::uint32_t) { return nullptr; });
    ASSERT_TRUE(received);
    PromptQuarantine restarted{InstanceId("b")};
    restarted.receive(received.value().parts, start);
    EXPECT_TRUE(restarted.check({{deadly}}, start));
}

} // namespace

} // namespace jy::test
