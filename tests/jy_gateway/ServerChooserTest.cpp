#include "InstanceFixture.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <map>
#include <random>

namespace jy::test {

namespace {

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

// Servers that join become the home of part of the prefixes and would have to process them again.
// Prefixes that are too short to copy stay where they are; others are copied to the new home.
TEST(ServerChooserTest, PrefixInUseIsNotProcessedAgainWhenServersJoin)
{
    Instance instance;
    instance.add(5, engines);
    PromptCacheIndex prompts;
    std::map<std::uint64_t, ServerId> homes;
    for (std::uint64_t i = 1; i < 100; ++i) {
        const auto prefix = i << 32;
        homes[prefix] = instance.choose(engines, prefix).server;
        prompts.addFromResponse(prefix, longPrefix, homes[prefix], start);
    }
    instance.add(20, engines);
    for (const auto &[prefix, home] : homes) {
        const PlacementQuery query{.service = engines,
                                   .affinity = prefix,
                                   .holders = prompts.find(prefix, start + seconds(5))};
        EXPECT_EQ(instance.chooser.choose(query, 0, start).server, home);
        auto longQuery = query;
        longQuery.sharedTokens = longPrefix;
        const auto placement = instance.chooser.choose(longQuery, 0, start);
        EXPECT_EQ(placement.copySource, placement.server == home ? ServerId() : home);
    }
}

// With 90 instances and reports 1.3 s old, servers reached twice the mean load + 3, because every
// instance still saw capacity below the bound for fresh reports.
TEST(ServerChooserTest, PromptsSpillEarlierIfReportsAreOld)
{
    Instance instance;
    instance.add(9, engines);
    const auto home = instance.choose(engines, 7).server;
    instance.loads.setPeerRequests(InstanceId("other"), {{home, {1, 0}}}, start);
    EXPECT_EQ(instance.choose(engines, 7).server, home);
    instance.chooser.setReportAge(milliseconds(1300));
    EXPECT_NE(instance.choose(engines, 7).server, home);
}

// When a third of the servers has just started and takes few requests, the load of the others
// exceeded twice the mean of all servers while it was below the bound relative to their own mean.
TEST(ServerChooserTest, ColdServersCountInTheMeanLoad)
{
    Instance instance;
    instance.add(12, engines);
    RequestCountsByServer requests;
    for (int i = 0; i < 12; ++i) {
        const ServerId id("s" + std::to_string(i));
        if (i < 6)
            instance.fleet.setServerCold(id, seconds(3), start);
        else
            requests[id] = {10, 0};
    }
    const auto prefixAtWarmServer = [&] {
        for (std::uint64_t prefix = 1;; ++prefix) {
            const auto home = instance.choose(engines, prefix).server;
            if (requests.contains(home))
                return std::pair(prefix, home);
        }
    };
    const auto [prefix, home] = prefixAtWarmServer();
    requests[home] = {14, 0};
    for (int i = 0; i < 6; ++i)
        instance.cold.spend(ServerId("s" + std::to_string(i)), start);
    instance.loads.setPeerRequests(InstanceId("other"), requests, start);
    // 14 is 1.35 times the mean of the warm servers and 2.6 times the mean of all.
    const auto chosen = instance.choose(engines, prefix);
    EXPECT_NE(chosen.server, home);
    EXPECT_TRUE(requests.contains(chosen.server));
}

// When a third of the servers is evacuated during a burst, the load of the others exceeded twice
// the mean of all servers while it was below the bound relative to their own mean. First seen in
// the scenario kwh-hammock, mix, with seed 761055322353.
TEST(ServerChooserTest, EvacuatedServersCountInTheMeanLoad)
{
    Instance instance;
    RequestCountsByServer requests;
    for (int i = 0; i < 9; ++i) {
        const auto id = "s" + std::to_string(i);
        const bool evacuated = i >= 6;
        instance.fleet.apply(ServerWritten{server(id, engines, evacuated ? "gone" : "a")}, start);
        if (!evacuated)
            requests[ServerId(id)] = {9, 0};
    }
    instance.fleet.apply(EvacuationWritten{DomainId("gone")}, start);
    const auto home = instance.choose(engines, 7).server;
    ASSERT_TRUE(requests.contains(home));
    // 16 is 1.6 times the mean of those in service and 2.3 times the mean of all.
    requests[home] = {16, 0};
    instance.loads.setPeerRequests(InstanceId("other"), requests, start);
    EXPECT_NE(instance.choose(engines, 7).server, home);
}

// A busy prefix that has spilled before went to the next server by the hash, which had to process
// or copy it again.
TEST(ServerChooserTest, BusyPrefixSpillsToAServerThatHasItCached)
{
    Instance instance;
    instance.add(9, engines);
    const auto home = instance.choose(engines, 7).server;
    instance.loads.setPeerRequests(InstanceId("other"), {{home, {9, 0}}}, start);
    const auto next = instance.choose(engines, 7).server;
    for (int i = 0; i < 9; ++i) {
        const ServerId holder("s" + std::to_string(i));
        if (holder == home || holder == next)
            continue;
        const PlacementQuery query{.service = engines,
                                   .affinity = 7,
                                   .sharedTokens = longPrefix,
                                   .holders = {{holder, start}}};
        const auto placement = instance.chooser.choose(query, 0, start);
        EXPECT_EQ(placement.server, holder);
        EXPECT_TRUE(placement.copySource.empty());
    }
}

// A restarted server has lost its cache, so it is neither preferred nor copied from.
TEST(ServerChooserTest, RestartedServerHasNothingCached)
{
    Instance instance;
    instance.add(9, engines);
    const auto home = instance.choose(engines, 7).server;
    instance.loads.setPeerRequests(InstanceId("other"), {{home, {9, 0}}}, start);
    const auto next = instance.choose(engines, 7).server;
    const ServerId holder(home.value() == "s3" || next.value() == "s3" ? "s4" : "s3");
    auto registered = instance.fleet.findServer(holder)->entry;
    registered.startTimeMs += 60'000;
    instance.fleet.apply(ServerWritten{registered}, start + seconds(1));
    const PlacementQuery query{.service = engines,
                               .affinity = 7,
                               .sharedTokens = longPrefix,
                               .holders = {{holder, start}}};
    const auto placement = instance.chooser.choose(query, 0, start + seconds(10));
    EXPECT_EQ(placement.server, next);
    EXPECT_NE(placement.copySource, holder);
}

// Copies between domains take twice the time.
TEST(ServerChooserTest, CopiesComeFromTheSameDomainIfPossible)
{
    for (const std::uint64_t prefix : {7, 8, 9}) {
        Instance instance;
        for (int i = 0; i < 9; ++i)
            instance.fleet.apply(
                ServerWritten{server("s" + std::to_string(i), engines, i % 2 == 0 ? "a" : "b")},
                start);
        std::vector<PromptCacheLocation> holders;
        const auto home = instance.choose(engines, prefix).server;
        for (const auto &[id, state] : instance.fleet.servers()) {
            if (id != home)
                holders.push_back({id, start});
        }
        const auto placement = instance.chooser.choose({.service = engines,
                                                        .affinity = prefix,
                                                        .sharedTokens = longPrefix,
                                                        .holders = holders},
                                                       0, start);
        EXPECT_EQ(placement.server, home);
        EXPECT_EQ(instance.fleet.findServer(placement.copySource)->entry.domain,
                  instance.fleet.findServer(home)->entry.domain);
    }
}

TEST(ServerChooserTest, BusyPrefixSpillsToTheNextInRank)
{
    Instance instance;
    instance.add(9, engines);
    const auto home = instance.choose(engines, 7).server;
    for (int i = 0; i < 6; ++i) {
        instance.loads.requestStarted(home);
        instance.loads.responseStarted(home);
    }
    const auto spilled = instance.choose(engines, 7);
    EXPECT_NE(spilled.server, home);
    EXPECT_EQ(spilled.reason, PlacementReason::Spilled);
}

// After a start, when no prompt is cached, four requests in a row at one engine missed their
// targets while other engines were idle.
TEST(ServerChooserTest, PromptSpillsWhenRequestsWaitAtItsHome)
{
    Instance instance;
    instance.add(9, engines);
    const auto home = instance.choose(engines, 7).server;
    RequestCountsByServer requests;
    for (const auto &[id, state] : instance.fleet.servers())
        requests[id] = {5, 0};
    requests[home].waiting = 3;
    instance.loads.requestStarted(home);
    instance.loads.setPeerRequests(InstanceId("other"), requests, start);
    EXPECT_NE(instance.choose(engines, 7).server, home);
    requests[home].waiting = 2;
    instance.loads.setPeerRequests(InstanceId("other"), requests, start);
    EXPECT_EQ(instance.choose(engines, 7).server, home);
}

// With 88 instances and three servers of a plain service, all instances had the same report that
// one server was idle. They all chose that server, which refused three quarters of the requests.
TEST(ServerChooserTest, PlainRequestsAreSpreadDespiteIdenticalOldReports)
{
    constexpr int instances = 88;
    std::map<ServerId, int> chosen;
    std::mt19937_64 random(1);
    std::uniform_real_distribution<double> draw;
    for (int i = 0; i < instances; ++i) {
        Instance instance("instance" + std::to_string(i));
        instance.add(3, desk);
        instance.loads.setPeerRequests(InstanceId("other"),
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

// Each of 88 instances had sent one request to a server that fails half of them. No instance could
// detect that alone, so streams were sent to that server for several seconds.
TEST(ServerChooserTest, FailuresReportedByOtherInstancesCount)
{
    Instance instance;
    instance.add(9, engines);
    const auto home = instance.choose(engines, 7).server;
    for (int i = 0; i < 40; ++i) {
        const bool failed = i % 2 == 0;
        instance.health.setPeerOutcomes(InstanceId("peer" + std::to_string(i)),
                                        {{home, {failed ? 0.0 : 1.0, failed ? 1.0 : 0.0}}}, start);
    }
    EXPECT_NE(instance.choose(engines, 7).server, home);
}

TEST(ServerChooserTest, FailuresDecay)
{
    ServerHealth health;
    const ServerId server("s");
    for (int i = 0; i < 10; ++i)
        health.record(server, ServerOutcome::Failed, start);
    EXPECT_GE(health.failureRate(server, start), 0.8);
    EXPECT_LT(health.failureRate(server, start + seconds(15)), 0.1);
    EXPECT_TRUE(health.outcomes(start + seconds(30)).empty());
}

// The incrementally updated sums must equal the sums over the last reports of all instances.
RC_GTEST_PROP(PeerSumsTest, AreTheSumsOfTheLastReports, ())
{
    constexpr int instances = 5;
    constexpr int servers = 4;
    LoadTable loads;
    ServerHealth health;
    std::map<InstanceId, RequestCountsByServer> used;
    std::map<InstanceId, std::pair<OutcomeCountsByServer, TimePoint>> seen;
    auto now = start;
    const int steps = *rc::gen::inRange(1, 60);
    for (int step = 0; step < steps; ++step) {
        now += milliseconds(*rc::gen::inRange(0, 400));
        const InstanceId instance("i" + std::to_string(*rc::gen::inRange(0, instances)));
        RequestCountsByServer requests;
        OutcomeCountsByServer outcomes;
        for (int i = 0; i < servers; ++i) {
            const ServerId server("s" + std::to_string(i));
            if (*rc::gen::inRange(0, 2) == 0)
                requests[server] = {*rc::gen::inRange(0, 9), *rc::gen::inRange(0, 3)};
            if (*rc::gen::inRange(0, 2) == 0)
                outcomes[server] = {1.0 * *rc::gen::inRange(0, 9), 1.0 * *rc::gen::inRange(0, 9)};
        }
        loads.setPeerRequests(instance, requests, now);
        health.setPeerOutcomes(instance, outcomes, now);
        used[instance] = requests;
        seen[instance] = {outcomes, now};
    }
    for (int i = 0; i < servers; ++i) {
        const ServerId server("s" + std::to_string(i));
        ServerRequestCounts requests;
        for (const auto &[instance, report] : used) {
            const auto found = report.find(server);
            requests.inFlight += found == report.end() ? 0 : found->second.inFlight;
            requests.waiting += found == report.end() ? 0 : found->second.waiting;
        }
        RC_ASSERT(loads.total(server) == requests);
        ServerHealth reference;
        for (const auto &[instance, report] : seen)
            reference.setPeerOutcomes(instance, report.first, report.second);
        RC_ASSERT(std::abs(health.failureRate(server, now) - reference.failureRate(server, now))
                  < 1e-6);
    }
}

// Instances are replaced all the time, so reports of former ones would use up memory.
TEST(ServerChooserTest, ReportsOfFormerInstancesExpire)
{
    Instance instance;
    for (int i = 0; i < 100; ++i) {
        const InstanceId gone("gone" + std::to_string(i));
        instance.loads.setPeerRequests(gone, {{ServerId("s"), {1, 0}}}, start);
        instance.health.setPeerOutcomes(gone, {{ServerId("s"), {1, 0}}}, start);
    }
    instance.loads.expire(start + seconds(5));
    EXPECT_EQ(instance.loads.total(ServerId("s")).inFlight, 100);
    instance.loads.expire(start + seconds(20));
    instance.health.expire(start + seconds(20));
    EXPECT_EQ(instance.loads.reportingInstances(), 0U);
    EXPECT_EQ(instance.health.reportingInstances(), 0U);
}

TEST(ServerChooserTest, FailuresOfAllServersPenalizeNone)
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

TEST(ServerChooserTest, UnreachableServerIsExcludedUnlessItIsTheOnlyOne)
{
    Instance instance;
    instance.add(2, desk);
    instance.health.record(ServerId("s0"), ServerOutcome::Unreachable, start);
    EXPECT_EQ(instance.choose(desk).server, ServerId("s1"));
    instance.fleet.apply(ServerRemoved{ServerId("s1")}, start);
    EXPECT_EQ(instance.choose(desk).server, ServerId("s0"));
}

TEST(ServerChooserTest, SecondRequestGoesToAnotherColdServer)
{
    Instance instance;
    instance.add(2, engines);
    instance.fleet.setServerCold(ServerId("s0"), seconds(3), start);
    instance.fleet.setServerCold(ServerId("s1"), seconds(3), start);
    const auto first = instance.choose(engines, 3).server;
    const auto second = instance.choose(engines, 3).server;
    EXPECT_NE(first, second);
    const auto third = instance.choose(engines, 3);
    EXPECT_TRUE(third.server.empty());
    EXPECT_EQ(third.reason, PlacementReason::AllCold);
}

TEST(ServerChooserTest, ReasonIsStatedIfThereIsNoServer)
{
    Instance instance;
    EXPECT_EQ(instance.choose(desk).reason, PlacementReason::NoServer);
    instance.add(1, desk);
    const PlacementQuery query{.service = desk, .tried = {ServerId("s0")}};
    EXPECT_EQ(instance.chooser.choose(query, 0, start).reason, PlacementReason::AllTried);
}

} // namespace

} // namespace jy::test
