#include "FleetFixture.h"

#include "jy_gateway/placement/HomeMemory.h"
#include "jy_gateway/placement/ServerChooser.h"

#include <gtest/gtest.h>

#include <random>

namespace jy::test {

namespace {

const TimePoint start{std::chrono::hours(1)};

/** One instance with its own counts and health, and a view of the fleet. */
struct Instance
{
    explicit Instance(const std::string &id = "instance")
        : cold(InstanceId(id))
        , chooser(fleet, loads, health, cold)
    {
        fleet.apply(ConfigWritten{twoServices()}, start);
    }

    void add(int count, const ServiceId &service)
    {
        for (int i = 0; i < count; ++i)
            fleet.apply(ServerWritten{server("s" + std::to_string(i), service)}, start);
    }

    Placement choose(const ServiceId &service, std::uint64_t affinity = 0, double draw = 0)
    {
        return chooser.choose({.service = service, .affinity = affinity}, draw, start);
    }

    FleetView fleet;
    LoadTable loads;
    ServerHealth health;
    ColdAllowance cold;
    ServerChooser chooser;
};

TEST(ServerChooserTest, SamePrefixGoesToTheSameServerOnEveryInstance)
{
    Instance one("one");
    Instance two("two");
    one.add(9, engines);
    two.add(9, engines);
    for (std::uint64_t prefix = 1; prefix < 50; ++prefix) {
        EXPECT_EQ(one.choose(engines, prefix).server, two.choose(engines, prefix, 0.9).server);
        EXPECT_EQ(one.choose(engines, prefix).reason, PlacementReason::Home);
    }
}

// Servers that joined took over a part of all prefixes and had to read them.
TEST(ServerChooserTest, PrefixInUseStaysWhenServersJoin)
{
    Instance instance;
    instance.add(5, engines);
    HomeMemory memory;
    for (std::uint64_t prefix = 1; prefix < 100; ++prefix)
        memory.remember(prefix, instance.choose(engines, prefix).server, start);
    instance.add(20, engines);
    for (std::uint64_t prefix = 1; prefix < 100; ++prefix) {
        const PlacementQuery query{.service = engines,
                                   .affinity = prefix,
                                   .remembered = memory.find(prefix, start + seconds(5))};
        EXPECT_EQ(instance.chooser.choose(query, 0, start).server, query.remembered);
    }
    EXPECT_TRUE(memory.find(1, start + seconds(30)).empty());
}

// Load played: 90 instances whose reports are 1.3 s old. Servers reached twice the mean + 3,
// because each instance still saw room up to 1.7 x mean + 2.5.
TEST(ServerChooserTest, PromptsSpillEarlierByOldReports)
{
    Instance instance;
    instance.add(9, engines);
    const auto home = instance.choose(engines, 7).server;
    instance.loads.setPeerUse(InstanceId("other"), {{home, {2, 0}}}, start);
    EXPECT_EQ(instance.choose(engines, 7).server, home);
    instance.chooser.setReportAge(milliseconds(1300));
    EXPECT_NE(instance.choose(engines, 7).server, home);
}

TEST(ServerChooserTest, MemoryOfHomesIsBounded)
{
    HomeMemory memory;
    for (std::uint64_t prefix = 0; prefix < 20'000; ++prefix)
        memory.remember(prefix, ServerId("s"), start);
    EXPECT_LE(memory.size(), HomeMemory::maxEntries);
    memory.remember(99'999, ServerId("s"), start + seconds(60));
    EXPECT_EQ(memory.size(), 1U);
}

TEST(ServerChooserTest, BusyPrefixSpillsToTheNextInRank)
{
    Instance instance;
    instance.add(9, engines);
    const auto home = instance.choose(engines, 7).server;
    for (int i = 0; i < 6; ++i) {
        instance.loads.start(home);
        instance.loads.answerBegan(home);
    }
    const auto spilled = instance.choose(engines, 7);
    EXPECT_NE(spilled.server, home);
    EXPECT_EQ(spilled.reason, PlacementReason::Spilled);
}

// Load played: the first requests after a start, when no prompt is cached. Four in a row at one
// engine were late while others were idle.
TEST(ServerChooserTest, PromptSpillsWhenRequestsWaitAtItsHome)
{
    Instance instance;
    instance.add(9, engines);
    const auto home = instance.choose(engines, 7).server;
    instance.loads.start(home);
    instance.loads.setPeerUse(InstanceId("other"), {{home, {3, 3}}}, start);
    EXPECT_NE(instance.choose(engines, 7).server, home);
    instance.loads.setPeerUse(InstanceId("other"), {{home, {1, 0}}}, start);
    EXPECT_EQ(instance.choose(engines, 7).server, home);
}

// Load played: 88 instances before three servers of a plain service, each with the same report that
// one server is idle. All of them chose that server, which refused three quarters of the requests.
TEST(ServerChooserTest, InstancesWithTheSameOldReportsSpreadPlainRequests)
{
    constexpr int instances = 88;
    std::map<ServerId, int> chosen;
    std::mt19937_64 random(1);
    std::uniform_real_distribution<double> draw;
    for (int i = 0; i < instances; ++i) {
        Instance instance("instance" + std::to_string(i));
        instance.add(3, desk);
        instance.loads.setPeerUse(InstanceId("other"),
                                  {{ServerId("s0"), {3, 0}}, {ServerId("s1"), {4, 0}}}, start);
        ++chosen[instance.choose(desk, 0, draw(random)).server];
    }
    for (const auto &[server, count] : chosen)
        EXPECT_LE(count, instances / 2) << server;
    EXPECT_EQ(chosen.size(), 3U);
}

TEST(ServerChooserTest, ServerThatFailsMoreThanItsPeersIsAvoided)
{
    Instance instance;
    instance.add(3, desk);
    for (int i = 0; i < 10; ++i)
        instance.health.record(ServerId("s1"), ServerOutcome::Failed, start);
    for (double draw = 0; draw < 1; draw += 0.05)
        EXPECT_NE(instance.choose(desk, 0, draw).server, ServerId("s1"));
}

// Load played: 88 instances, each of which has sent one request to a server that fails half of
// them. No instance alone could tell; streams went on to that server for seconds.
TEST(ServerChooserTest, FailuresThatOtherInstancesSawCount)
{
    Instance instance;
    instance.add(9, engines);
    const auto home = instance.choose(engines, 7).server;
    for (int i = 0; i < 40; ++i) {
        const bool failed = i % 2 == 0;
        instance.health.setPeerEvidence(InstanceId("peer" + std::to_string(i)),
                                        {{home, {failed ? 0.0 : 1.0, failed ? 1.0 : 0.0}}}, start);
    }
    EXPECT_NE(instance.choose(engines, 7).server, home);
}

TEST(ServerChooserTest, FailuresAreForgotten)
{
    ServerHealth health;
    const ServerId server("s");
    for (int i = 0; i < 10; ++i)
        health.record(server, ServerOutcome::Failed, start);
    EXPECT_GE(health.failureRate(server, start), 0.8);
    EXPECT_LT(health.failureRate(server, start + seconds(15)), 0.1);
    EXPECT_TRUE(health.evidence(start + seconds(30)).empty());
}

TEST(ServerChooserTest, FailuresThatAllServersShareExcludeNone)
{
    Instance instance;
    instance.add(3, desk);
    std::set<ServerId> chosen;
    for (int i = 0; i < 10; ++i) {
        for (const char *id : {"s0", "s1", "s2"})
            instance.health.record(ServerId(id), ServerOutcome::Failed, start);
    }
    for (double draw = 0; draw < 1; draw += 0.05)
        chosen.insert(instance.choose(desk, 0, draw).server);
    EXPECT_EQ(chosen.size(), 3U);
}

TEST(ServerChooserTest, UnreachableServerIsLeftOutUnlessItIsTheOnlyOne)
{
    Instance instance;
    instance.add(2, desk);
    instance.health.record(ServerId("s0"), ServerOutcome::Unreachable, start);
    EXPECT_EQ(instance.choose(desk).server, ServerId("s1"));
    instance.fleet.apply(ServerRemoved{ServerId("s1")}, start);
    EXPECT_EQ(instance.choose(desk).server, ServerId("s0"));
}

TEST(ServerChooserTest, ColdServerGetsOneRequestAndThenTheNextServer)
{
    Instance instance;
    instance.add(2, engines);
    instance.fleet.serverCold(ServerId("s0"), seconds(3), start);
    instance.fleet.serverCold(ServerId("s1"), seconds(3), start);
    const auto first = instance.choose(engines, 3).server;
    const auto second = instance.choose(engines, 3).server;
    EXPECT_NE(first, second);
    const auto third = instance.choose(engines, 3);
    EXPECT_TRUE(third.server.empty());
    EXPECT_EQ(third.reason, PlacementReason::AllCold);
}

TEST(ServerChooserTest, WithoutServersTheReasonIsNamed)
{
    Instance instance;
    EXPECT_EQ(instance.choose(desk).reason, PlacementReason::NoServer);
    instance.add(1, desk);
    const PlacementQuery query{.service = desk, .tried = {ServerId("s0")}};
    EXPECT_EQ(instance.chooser.choose(query, 0, start).reason, PlacementReason::AllTried);
}

/** The bound of the platform for one cold server: rate, overshoot factor and slack. */
struct ColdCase
{
    std::size_t instances;
    double rate;
};

struct ColdAllowanceTest : testing::TestWithParam<ColdCase>
{ };

TEST_P(ColdAllowanceTest, AllInstancesTogetherStayBelowTheBoundInAnySecond)
{
    constexpr double overshoot = 1.5;
    constexpr double slack = 5;
    const auto &param = GetParam();
    std::set<InstanceId> live;
    for (std::size_t i = 0; i < param.instances; ++i)
        live.insert(InstanceId("i" + std::to_string(i)));
    std::vector<ColdAllowance> allowances;
    for (const auto &id : live) {
        allowances.emplace_back(id);
        allowances.back().setInstances(live);
    }
    const ServerId cold("cold");
    std::vector<TimePoint> sent;
    for (auto now = start; now < start + seconds(3); now += milliseconds(10)) {
        for (auto &allowance : allowances) {
            if (!allowance.available(cold, param.rate, now))
                continue;
            allowance.spend(cold, now);
            sent.push_back(now);
        }
    }
    EXPECT_GT(sent.size(), 0U);
    for (std::size_t i = 0; i < sent.size(); ++i) {
        std::size_t end = i;
        while (end < sent.size() && sent[end] < sent[i] + seconds(1))
            ++end;
        EXPECT_LE(static_cast<double>(end - i), param.rate * overshoot + slack);
    }
}

INSTANTIATE_TEST_SUITE_P(Fleets, ColdAllowanceTest,
                         testing::Values(ColdCase{1, 11}, ColdCase{6, 11}, ColdCase{8, 12},
                                         ColdCase{90, 12}, ColdCase{300, 2}, ColdCase{90, 40}));

TEST(ColdAllowanceTest, AgeOfTheFirstRequestDoesNotFillTheBucket)
{
    ColdAllowance allowance(InstanceId("only"));
    const ServerId cold("cold");
    int sent = 0;
    for (int i = 0; i < 20; ++i) {
        const auto now = start + milliseconds(i);
        if (allowance.available(cold, 10, now)) {
            allowance.spend(cold, now);
            ++sent;
        }
    }
    EXPECT_EQ(sent, 1);
}

} // namespace

} // namespace jy::test
