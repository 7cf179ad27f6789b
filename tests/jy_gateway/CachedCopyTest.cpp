#include "InstanceFixture.h"

#include <gtest/gtest.h>

#include <deque>
#include <functional>
#include <map>
#include <random>
#include <set>

namespace jy::test {

namespace {

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
         auto registered = scene.instance.fleet.findServer(scene.home)->entry;
         registered.leaving = true;
         scene.instance.fleet.apply(ServerWritten{registered}, scene.later);
         return scene.choose(scene.later);
     },
     [](const CopyScene &scene) { return scene.home; }},
    {"HomeOfAnEvacuatedDomainIsNoSource",
     [](CopyScene &scene) {
         auto registered = scene.instance.fleet.findServer(scene.home)->entry;
         registered.domain = DomainId("evacuated");
         scene.instance.fleet.apply(ServerWritten{registered}, scene.later);
         scene.instance.fleet.apply(EvacuationWritten{registered.domain}, scene.later);
         return scene.choose(scene.later);
     },
     nobody},
    {"HomeBackFromAnEvacuationCopiesFromTheNextInRank",
     [](CopyScene &scene) {
         auto registered = scene.instance.fleet.findServer(scene.home)->entry;
         registered.domain = DomainId("evacuated");
         auto &fleet = scene.instance.fleet;
         fleet.apply(ServerWritten{registered}, scene.later);
         fleet.apply(EvacuationWritten{registered.domain}, scene.later);
         fleet.apply(EvacuationRemoved{registered.domain}, scene.later + seconds(11));
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
TEST(CachedCopyLoadTest, LongPrefixesAreRarelyReadAgain)
{
    constexpr int servers = 20;
    constexpr int longPrefixes = 40;
    constexpr std::int64_t shortPrefix = 600;
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
        const auto tokens = isLong ? 8000 : shortPrefix;
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
        instance.loads.responseStarted(placement.server);
        running.push_back(placement.server);
        if (running.size() > lifetimeInRequests) {
            instance.loads.finish(running.front(), true);
            running.pop_front();
        }
    }
    EXPECT_LE(again, longOnes / 50);
}

} // namespace

} // namespace jy::test
