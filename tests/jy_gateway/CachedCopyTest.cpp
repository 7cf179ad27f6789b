#include "InstanceFixture.h"

#include <gtest/gtest.h>

#include <deque>
#include <functional>
#include <map>
#include <random>
#include <set>

namespace jy::test {

namespace {

/** A fleet of nine engines with the home and the next server in rank of one long prefix. */
struct CopyFixture
{
    CopyFixture()
    {
        instance.add(9, engines);
        home = instance.choose(engines, 7).server;
        second = choose(start, {home}).server;
    }

    Placement choose(TimePoint now, const std::set<ServerId> &tried = {},
                     std::int64_t tokens = longPrefix)
    {
        return instance.chooser.choose(
            {.service = engines, .affinity = 7, .sharedTokens = tokens, .tried = tried}, 0, now);
    }

    void fillHome()
    {
        instance.loads.setPeerRequests(InstanceId("other"), {{home, {9, 0}}}, later);
    }

    void restartHome()
    {
        auto registered = instance.fleet.findServer(home)->entry;
        registered.startTimeMs += 60'000;
        instance.fleet.apply(ServerWritten{registered}, later);
    }

    const TimePoint later = start + seconds(60);
    Instance instance;
    ServerId home;
    ServerId second;
};

struct CopyCase
{
    std::string name;
    std::function<Placement(CopyFixture &)> run;

    /** Expected server to copy the prefix from. */
    std::function<ServerId(const CopyFixture &)> source;
};

struct CachedCopyTest : testing::TestWithParam<CopyCase>
{ };

TEST_P(CachedCopyTest, CopySourceIsAServerThatHasThePrefix)
{
    CopyFixture fixture;
    const auto placement = GetParam().run(fixture);
    EXPECT_FALSE(placement.server.empty());
    EXPECT_EQ(placement.copySource, GetParam().source(fixture));
    EXPECT_NE(placement.copySource, placement.server);
}

const auto noSource = [](const CopyFixture &) { return ServerId(); };

const std::vector<CopyCase> copyCases = {
    {"HomeHasThePrefix", [](CopyFixture &fixture) { return fixture.choose(fixture.later); },
     noSource},
    {"SpilledRequestCopiesFromHome",
     [](CopyFixture &fixture) {
         fixture.fillHome();
         return fixture.choose(fixture.later);
     },
     [](const CopyFixture &fixture) { return fixture.home; }},
    {"RestartedHomeCopiesFromTheNextInRank",
     [](CopyFixture &fixture) {
         fixture.restartHome();
         return fixture.choose(fixture.later + seconds(4));
     },
     [](const CopyFixture &fixture) { return fixture.second; }},
    {"RestartedHomeHasThePrefixAfterWarmUp",
     [](CopyFixture &fixture) {
         fixture.restartHome();
         return fixture.choose(fixture.later + seconds(30));
     },
     noSource},
    {"NextInRankHasThePrefixWhenHomeRestartsAndIsFull",
     [](CopyFixture &fixture) {
         fixture.restartHome();
         fixture.fillHome();
         return fixture.choose(fixture.later + seconds(4));
     },
     noSource},
    {"LeavingHomeIsTheSource",
     [](CopyFixture &fixture) {
         auto registered = fixture.instance.fleet.findServer(fixture.home)->entry;
         registered.leaving = true;
         fixture.instance.fleet.apply(ServerWritten{registered}, fixture.later);
         return fixture.choose(fixture.later);
     },
     [](const CopyFixture &fixture) { return fixture.home; }},
    {"HomeInEvacuatedDomainIsNoSource",
     [](CopyFixture &fixture) {
         auto registered = fixture.instance.fleet.findServer(fixture.home)->entry;
         registered.domain = DomainId("evacuated");
         fixture.instance.fleet.apply(ServerWritten{registered}, fixture.later);
         fixture.instance.fleet.apply(EvacuationWritten{registered.domain}, fixture.later);
         return fixture.choose(fixture.later);
     },
     noSource},
    {"HomeAfterEvacuationCopiesFromTheNextInRank",
     [](CopyFixture &fixture) {
         auto registered = fixture.instance.fleet.findServer(fixture.home)->entry;
         registered.domain = DomainId("evacuated");
         auto &fleet = fixture.instance.fleet;
         fleet.apply(ServerWritten{registered}, fixture.later);
         fleet.apply(EvacuationWritten{registered.domain}, fixture.later);
         fleet.apply(EvacuationRemoved{registered.domain}, fixture.later + seconds(11));
         return fixture.choose(fixture.later + seconds(15));
     },
     [](const CopyFixture &fixture) { return fixture.second; }},
    {"FailingHomeIsNoSource",
     [](CopyFixture &fixture) {
         for (int i = 0; i < 20; ++i)
             fixture.instance.health.record(fixture.home, ServerOutcome::Failed, fixture.later);
         return fixture.choose(fixture.later);
     },
     noSource},
    {"TriedHomeIsNoSource",
     [](CopyFixture &fixture) { return fixture.choose(fixture.later, {fixture.home}); }, noSource},
    {"PrefixBelowMinimumIsNotCopied",
     [](CopyFixture &fixture) {
         fixture.fillHome();
         return fixture.choose(fixture.later, {}, ServerChooser::minTokensToCopy - 1);
     },
     noSource},
    {"PrefixOfMinimumLengthIsCopied",
     [](CopyFixture &fixture) {
         fixture.fillHome();
         return fixture.choose(fixture.later, {}, ServerChooser::minTokensToCopy);
     },
     [](const CopyFixture &fixture) { return fixture.home; }},
    {"SlowLinksAreNotUsed",
     [](CopyFixture &fixture) {
         auto config = twoServices(2);
         config->addService({.id = engines, .cacheTokenBytes = 327'680, .cacheLinkMbps = 10'000});
         fixture.instance.fleet.apply(ConfigWritten{config}, fixture.later);
         fixture.fillHome();
         return fixture.choose(fixture.later);
     },
     noSource},
    {"EnginesWithoutCopySupport",
     [](CopyFixture &fixture) {
         auto config = twoServices(2);
         config->addService({.id = engines});
         fixture.instance.fleet.apply(ConfigWritten{config}, fixture.later);
         fixture.fillHome();
         return fixture.choose(fixture.later);
     },
     noSource},
};

INSTANTIATE_TEST_SUITE_P(Cases, CachedCopyTest, testing::ValuesIn(copyCases),
                         [](const auto &row) { return row.param.name; });

// Simulates 40 long prefixes among requests with short ones, on 20 servers with 8 requests each on
// average. A long prefix is processed once; later requests must find it cached or copy it.
TEST(CachedCopyLoadTest, LongPrefixesAreRarelyProcessedAgain)
{
    constexpr int servers = 20;
    constexpr int longPrefixes = 40;
    constexpr std::int64_t shortPrefix = 600;
    constexpr int requests = 4000;
    constexpr int lifetimeInRequests = servers * 8;
    Instance instance;
    instance.add(servers, engines);
    std::map<std::uint64_t, std::set<ServerId>> holdersByPrefix;
    std::deque<ServerId> running;
    std::mt19937_64 random(1);
    int processedAgain = 0;
    int longRequests = 0;
    for (int i = 0; i < requests; ++i) {
        const bool isLong = i % 3 == 0;
        const auto prefix =
            1 + random() % longPrefixes + (isLong ? 0 : static_cast<std::uint64_t>(longPrefixes));
        const auto tokens = isLong ? 8000 : shortPrefix;
        const auto placement = instance.chooser.choose(
            {.service = engines, .affinity = prefix, .sharedTokens = tokens}, 0,
            start + seconds(60));
        auto &holders = holdersByPrefix[prefix];
        if (isLong) {
            ++longRequests;
            const bool found =
                holders.contains(placement.server) || holders.contains(placement.copySource);
            processedAgain += !holders.empty() && !found ? 1 : 0;
        }
        holders.insert(placement.server);
        instance.loads.requestStarted(placement.server);
        instance.loads.responseStarted(placement.server);
        running.push_back(placement.server);
        if (running.size() > lifetimeInRequests) {
            instance.loads.requestFinished(running.front(), true);
            running.pop_front();
        }
    }
    EXPECT_LE(processedAgain, longRequests / 50);
}

} // namespace

} // namespace jy::test
