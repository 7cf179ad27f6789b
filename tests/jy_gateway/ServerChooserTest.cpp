#include "FleetFixture.h"

#include "jy_gateway/placement/HomeMemory.h"
#include "jy_gateway/placement/ServerChooser.h"

#include <gtest/gtest.h>

#include <deque>
#include <functional>
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
        return chooser.choose(
            {.service = service, .affinity = affinity, .sharedTokens = ServerChooser::longPrefix},
            draw, start);
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
// because each instance still saw room up to the bound for fresh counts.
TEST(ServerChooserTest, PromptsSpillEarlierByOldReports)
{
    Instance instance;
    instance.add(9, engines);
    const auto home = instance.choose(engines, 7).server;
    instance.loads.setPeerUse(InstanceId("other"), {{home, {1, 0}}}, start);
    EXPECT_EQ(instance.choose(engines, 7).server, home);
    instance.chooser.setReportAge(milliseconds(1300));
    EXPECT_NE(instance.choose(engines, 7).server, home);
}

// Load played: streams with short prefixes that last for seconds, and long prefixes that take 0.2 s
// to read. When the short ones filled up some servers, the long ones were read again at others.
TEST(ServerChooserTest, ShortPrefixesLeaveTheirHomeBeforeLongOnes)
{
    Instance instance;
    instance.add(9, engines);
    const auto home = instance.choose(engines, 7).server;
    instance.loads.setPeerUse(InstanceId("other"), {{home, {1, 0}}}, start);
    EXPECT_EQ(instance.choose(engines, 7).server, home);
    const PlacementQuery shortOne{
        .service = engines, .affinity = 7, .sharedTokens = ServerChooser::shortPrefix};
    const auto chosen = instance.chooser.choose(shortOne, 0, start);
    EXPECT_NE(chosen.server, home);
    EXPECT_EQ(chosen.reason, PlacementReason::Spilled);
}

/** One long prefix whose home and next server in rank are known. */
struct CopyScene
{
    CopyScene()
    {
        instance.add(9, engines);
        home = instance.choose(engines, 7).server;
        second = choose(start, {home}).server;
    }

    Placement choose(TimePoint now, const std::set<ServerId> &tried = {},
                     std::int64_t tokens = ServerChooser::longPrefix)
    {
        return instance.chooser.choose(
            {.service = engines, .affinity = 7, .sharedTokens = tokens, .tried = tried}, 0, now);
    }

    void fillHome() { instance.loads.setPeerUse(InstanceId("other"), {{home, {9, 0}}}, later); }

    void restartHome()
    {
        auto listed = instance.fleet.findServer(home)->listed;
        listed.born += 60'000;
        instance.fleet.apply(ServerWritten{listed}, later);
    }

    const TimePoint later = start + seconds(60);
    Instance instance;
    ServerId home;
    ServerId second;
};

struct CopyCase
{
    std::string name;
    std::function<Placement(CopyScene &)> play;

    /** The server from whose cache the prefix is copied. */
    std::function<ServerId(const CopyScene &)> source;
};

struct CachedCopyTest : testing::TestWithParam<CopyCase>
{ };

TEST_P(CachedCopyTest, NamesAServerThatHasThePrefix)
{
    CopyScene scene;
    const auto placement = GetParam().play(scene);
    EXPECT_FALSE(placement.server.empty());
    EXPECT_EQ(placement.cachedAt, GetParam().source(scene));
    EXPECT_NE(placement.cachedAt, placement.server);
}

const auto nobody = [](const CopyScene &) { return ServerId(); };

const std::vector<CopyCase> copyCases = {
    {"HomeHasItItself", [](CopyScene &scene) { return scene.choose(scene.later); }, nobody},
    {"SpilledCopiesFromHome",
     [](CopyScene &scene) {
         scene.fillHome();
         return scene.choose(scene.later);
     },
     [](const CopyScene &scene) { return scene.home; }},
    {"RestartedHomeCopiesFromTheNextInRank",
     [](CopyScene &scene) {
         scene.restartHome();
         return scene.choose(scene.later + seconds(4));
     },
     [](const CopyScene &scene) { return scene.second; }},
    {"RestartedHomeHasItAfterAWhile",
     [](CopyScene &scene) {
         scene.restartHome();
         return scene.choose(scene.later + seconds(30));
     },
     nobody},
    {"NextInRankKeepsItWhenHomeRestartsAndIsFull",
     [](CopyScene &scene) {
         scene.restartHome();
         scene.fillHome();
         return scene.choose(scene.later + seconds(4));
     },
     nobody},
    {"LeavingHomeIsCopiedFrom",
     [](CopyScene &scene) {
         auto listed = scene.instance.fleet.findServer(scene.home)->listed;
         listed.leaving = true;
         scene.instance.fleet.apply(ServerWritten{listed}, scene.later);
         return scene.choose(scene.later);
     },
     [](const CopyScene &scene) { return scene.home; }},
    {"HomeOfAnEvacuatedDomainIsNoSource",
     [](CopyScene &scene) {
         auto listed = scene.instance.fleet.findServer(scene.home)->listed;
         listed.domain = DomainId("evacuated");
         scene.instance.fleet.apply(ServerWritten{listed}, scene.later);
         scene.instance.fleet.apply(EvacuationWritten{listed.domain}, scene.later);
         return scene.choose(scene.later);
     },
     nobody},
    {"HomeBackFromAnEvacuationCopiesFromTheNextInRank",
     [](CopyScene &scene) {
         auto listed = scene.instance.fleet.findServer(scene.home)->listed;
         listed.domain = DomainId("evacuated");
         auto &fleet = scene.instance.fleet;
         fleet.apply(ServerWritten{listed}, scene.later);
         fleet.apply(EvacuationWritten{listed.domain}, scene.later);
         fleet.apply(EvacuationRemoved{listed.domain}, scene.later + seconds(11));
         return scene.choose(scene.later + seconds(15));
     },
     [](const CopyScene &scene) { return scene.second; }},
    {"FailingHomeIsNoSource",
     [](CopyScene &scene) {
         for (int i = 0; i < 20; ++i)
             scene.instance.health.record(scene.home, ServerOutcome::Failed, scene.later);
         return scene.choose(scene.later);
     },
     nobody},
    {"TriedHomeIsNoSource",
     [](CopyScene &scene) { return scene.choose(scene.later, {scene.home}); }, nobody},
    {"ShortestPrefixIsReadAsQuickly",
     [](CopyScene &scene) {
         scene.fillHome();
         return scene.choose(scene.later, {}, ServerChooser::shortestCopy - 1);
     },
     nobody},
    {"ShortPrefixIsCopiedToo",
     [](CopyScene &scene) {
         scene.fillHome();
         return scene.choose(scene.later, {}, ServerChooser::shortestCopy);
     },
     [](const CopyScene &scene) { return scene.home; }},
    {"SlowLinksDoNotPay",
     [](CopyScene &scene) {
         auto config = twoServices(2);
         config->addService({.id = engines, .cacheTokenBytes = 327'680, .cacheLinkMbps = 10'000});
         scene.instance.fleet.apply(ConfigWritten{config}, scene.later);
         scene.fillHome();
         return scene.choose(scene.later);
     },
     nobody},
    {"EnginesWithoutCopies",
     [](CopyScene &scene) {
         auto config = twoServices(2);
         config->addService({.id = engines});
         scene.instance.fleet.apply(ConfigWritten{config}, scene.later);
         scene.fillHome();
         return scene.choose(scene.later);
     },
     nobody},
};

INSTANTIATE_TEST_SUITE_P(Cases, CachedCopyTest, testing::ValuesIn(copyCases),
                         [](const auto &row) { return row.param.name; });

// Load played: 40 long prefixes among streams with short ones, 20 servers with 8 requests each on
// average. A long prefix is read once; later requests find it or copy it.
TEST(ServerChooserTest, LongPrefixesAreRarelyReadAgain)
{
    constexpr int servers = 20;
    constexpr int longPrefixes = 40;
    constexpr int requests = 4000;
    constexpr int lifetimeInRequests = servers * 8;
    Instance instance;
    instance.add(servers, engines);
    std::map<std::uint64_t, std::set<ServerId>> cachedAt;
    std::deque<ServerId> running;
    std::mt19937_64 random(1);
    int again = 0;
    int longOnes = 0;
    for (int i = 0; i < requests; ++i) {
        const bool isLong = i % 3 == 0;
        const auto prefix =
            1 + random() % longPrefixes + (isLong ? 0 : static_cast<std::uint64_t>(longPrefixes));
        const auto tokens = isLong ? 8000 : ServerChooser::shortPrefix;
        const auto placement = instance.chooser.choose(
            {.service = engines, .affinity = prefix, .sharedTokens = tokens}, 0,
            start + seconds(60));
        auto &holders = cachedAt[prefix];
        if (isLong) {
            ++longOnes;
            const bool found =
                holders.contains(placement.server) || holders.contains(placement.cachedAt);
            again += !holders.empty() && !found ? 1 : 0;
        }
        holders.insert(placement.server);
        instance.loads.start(placement.server);
        instance.loads.answerBegan(placement.server);
        running.push_back(placement.server);
        if (running.size() > lifetimeInRequests) {
            instance.loads.finish(running.front(), true);
            running.pop_front();
        }
    }
    EXPECT_LE(again, longOnes / 50);
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
    UseByServer use;
    for (const auto &[id, state] : instance.fleet.servers())
        use[id] = {5, 0};
    use[home].waiting = 3;
    instance.loads.start(home);
    instance.loads.setPeerUse(InstanceId("other"), use, start);
    EXPECT_NE(instance.choose(engines, 7).server, home);
    use[home].waiting = 2;
    instance.loads.setPeerUse(InstanceId("other"), use, start);
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

// Instances come and go for as long as the process lives.
TEST(ServerChooserTest, ReportsOfInstancesThatAreGoneAreDropped)
{
    Instance instance;
    for (int i = 0; i < 100; ++i) {
        const InstanceId gone("gone" + std::to_string(i));
        instance.loads.setPeerUse(gone, {{ServerId("s"), {1, 0}}}, start);
        instance.health.setPeerEvidence(gone, {{ServerId("s"), {1, 0}}}, start);
    }
    instance.loads.expire(start + seconds(5));
    EXPECT_EQ(instance.loads.total(ServerId("s"), start + seconds(5)).inFlight, 100);
    instance.loads.expire(start + seconds(20));
    instance.health.expire(start + seconds(20));
    EXPECT_EQ(instance.loads.reportingInstances(), 0U);
    EXPECT_EQ(instance.health.reportingInstances(), 0U);
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
