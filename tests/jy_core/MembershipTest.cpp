#include "MembershipFleet.h"

#include "jy_core/config/ConfigParts.h"
#include "jy_core/membership/PoolAggregator.h"
#include "jy_core/membership/RouterChoice.h"

#include <gtest/gtest.h>

using namespace std::chrono_literals;
using jy::MemberState;
using Fleet = jy::test::MembershipFleet;

namespace {

constexpr std::uint64_t seed = 20240601;
constexpr int routers = 8;

class Membership : public testing::Test
{
protected:
    Membership()
    {
        fleet_.startAll(routers);
        EXPECT_TRUE(fleet_.runUntilAgreed(10s)) << "seed " << seed;
    }

    Fleet fleet_{seed};
};

// Guards against a router that the others do not learn of after it joins through a seed.
TEST(MembershipJoin, AFleetFormsWithinSeconds)
{
    Fleet fleet(seed);
    fleet.startAll(40);
    const auto taken = fleet.runUntilAgreed(15s);
    ASSERT_TRUE(taken);
    EXPECT_LE(*taken, 6s);
    fleet.start(41, {7});
    const auto joined = fleet.runUntilAgreed(15s);
    ASSERT_TRUE(joined);
    EXPECT_LE(*joined, 4s);
}

TEST_F(Membership, AKilledRouterIsDeadWithinFiveSeconds)
{
    fleet_.kill(3);
    const auto taken = fleet_.runUntilAgreed(10s);
    ASSERT_TRUE(taken);
    EXPECT_GE(*taken, 2s);
    EXPECT_LE(*taken, 6s);
    EXPECT_EQ(fleet_.stateOf(3, 1), MemberState::Dead);
}

// Guards against waiting for the failure detector when a router announces that it leaves.
TEST_F(Membership, ALeavingRouterIsNotLiveAtOnce)
{
    fleet_.perform(3, fleet_.machine(3).leave(fleet_.now()));
    fleet_.run(1s);
    EXPECT_EQ(fleet_.stateOf(3, 1), MemberState::Leaving);
    EXPECT_EQ(fleet_.machine(1).liveRouters().size(), routers - 1U);
    EXPECT_EQ(fleet_.machine(3).liveRouters().size(), routers - 1U);
    // It still replies to probes, so it is not declared dead while its streams finish.
    fleet_.run(20s);
    EXPECT_EQ(fleet_.stateOf(3, 1), MemberState::Leaving);
    fleet_.perform(3, fleet_.machine(3).finishLeave(fleet_.now()));
    fleet_.run(1s);
    EXPECT_EQ(fleet_.stateOf(3, 1), MemberState::Left);
}

struct RestartCase
{
    std::string name;
    std::chrono::milliseconds downTime;
    std::uint64_t incarnation;
};

class MembershipRestart : public testing::TestWithParam<RestartCase>
{ };

// Guards against a restarted router that the fleet ignores, because it counts as dead or because
// its clock was set back.
TEST_P(MembershipRestart, TheNewProcessIsLiveEverywhere)
{
    Fleet fleet(seed);
    fleet.startAll(routers);
    ASSERT_TRUE(fleet.runUntilAgreed(10s));
    fleet.perform(2, fleet.machine(2).setAppliedRevision(9, fleet.now()));
    fleet.run(2s);
    fleet.kill(3);
    fleet.run(GetParam().downTime);
    fleet.start(3, {1}, GetParam().incarnation);
    fleet.run(4s);
    ASSERT_TRUE(fleet.runUntilAgreed(10s)) << "seed " << seed;
    const auto own = fleet.machine(3).self();
    EXPECT_GE(own.incarnation, 1000U);
    for (const auto &member : fleet.machine(1).members()) {
        if (member.id == own.id) {
            EXPECT_EQ(member, own);
        }
    }
    EXPECT_EQ(fleet.machine(3).headRevision(), 9U);
}

INSTANTIATE_TEST_SUITE_P(Cases, MembershipRestart,
                         testing::Values(RestartCase{"fast", 200ms, 2000},
                                         RestartCase{"afterDeath", 20s, 2000},
                                         RestartCase{"fastWithOlderClock", 200ms, 500},
                                         RestartCase{"afterDeathWithOlderClock", 20s, 500}),
                         [](const auto &info) { return info.param.name; });

// Guards against a dead router that stays live because a router with another id replies at its
// address.
TEST_F(Membership, AReplacementAtTheSameAddressRemovesThePreviousRouter)
{
    auto replacement = Fleet::info(3, 5000);
    replacement.id = jy::InstanceId("replacement");
    jy::MembershipSettings settings;
    settings.seeds = {Fleet::endpoint(1)};
    fleet_.node(3).machine = jy::Membership::create(settings, replacement, seed).value();
    ASSERT_TRUE(fleet_.runUntilAgreed(5s));
    EXPECT_EQ(fleet_.stateOf(3, 1), MemberState::Dead);
}

// Guards against a process that declares the whole fleet dead after a pause, and against a fleet
// that still treats the resumed process as dead.
TEST_F(Membership, APausedRouterRejoinsWithoutDeclaringOthersDead)
{
    for (const auto pause : {1500ms, 30000ms}) {
        fleet_.node(3).running = false;
        fleet_.run(pause);
        fleet_.node(3).running = true;
        fleet_.node(3).changes.clear();
        fleet_.run(3s);
        EXPECT_GE(fleet_.node(3).pauses, 1);
        for (const auto &change : fleet_.node(3).changes)
            EXPECT_TRUE(change.isLive) << change.member.id;
        EXPECT_TRUE(fleet_.runUntilAgreed(5s)) << "pause of " << pause.count() << " ms";
    }
    EXPECT_FALSE(fleet_.node(3).refutations.empty());
}

// Guards against removing a router that is still reachable through other routers.
TEST_F(Membership, AnAsymmetricPartitionKeepsARouterAlive)
{
    fleet_.faults().isBlocked = [](const jy::Endpoint &from, const jy::Endpoint &to) {
        return from == Fleet::endpoint(1) && to == Fleet::endpoint(2);
    };
    fleet_.node(5).changes.clear();
    fleet_.run(30s);
    EXPECT_TRUE(fleet_.agrees());
    EXPECT_TRUE(fleet_.node(5).changes.empty());
}

// Guards against two halves that never reconnect after a partition, and against declaring routers
// of the other half dead a second time while the halves reconnect.
TEST_F(Membership, APartitionHealsWithoutTheInstanceList)
{
    fleet_.faults().isBlocked = [](const jy::Endpoint &from, const jy::Endpoint &to) {
        return (from < Fleet::endpoint(4)) != (to < Fleet::endpoint(4));
    };
    fleet_.run(60s);
    EXPECT_EQ(fleet_.machine(1).liveRouters().size(), 3U);
    EXPECT_EQ(fleet_.machine(6).liveRouters().size(), 5U);
    fleet_.faults().isBlocked = [](const jy::Endpoint &, const jy::Endpoint &) { return false; };
    const auto taken = fleet_.runUntilAgreed(20s);
    ASSERT_TRUE(taken) << "seed " << seed;
    EXPECT_LE(*taken, 10s);
    const auto changes = fleet_.node(1).changes.size();
    fleet_.run(10s);
    EXPECT_EQ(fleet_.node(1).changes.size(), changes);
}

// Guards against a repeatedly restarted router that stays dead, or that a late update about its
// death removes again.
TEST_F(Membership, AFlappingRouterEndsLive)
{
    std::uint64_t incarnation = 2000;
    for (int i = 0; i < 8; ++i) {
        fleet_.kill(3);
        fleet_.run(std::chrono::milliseconds(700 * i));
        fleet_.start(3, {1}, incarnation += 1000);
        fleet_.run(std::chrono::milliseconds(300 * i));
    }
    ASSERT_TRUE(fleet_.runUntilAgreed(8s));
    fleet_.run(10s);
    EXPECT_TRUE(fleet_.agrees());
}

struct ListCase
{
    std::string name;
    std::vector<jy::ListedRouter> routers;
    std::size_t live;
};

class MembershipInstanceList : public testing::TestWithParam<ListCase>
{ };

// Guards against relying on an instance list that is out of date or wrong.
TEST_P(MembershipInstanceList, OnlySeedsTheTable)
{
    Fleet fleet(seed);
    fleet.startAll(4);
    ASSERT_TRUE(fleet.runUntilAgreed(10s));
    fleet.perform(1, fleet.machine(1).applyInstanceList(GetParam().routers, fleet.now()));
    fleet.run(10s);
    EXPECT_EQ(fleet.machine(1).liveRouters().size(), GetParam().live);
    fleet.perform(1, fleet.machine(1).applyInstanceList({}, fleet.now()));
    fleet.run(1s);
    EXPECT_TRUE(fleet.agrees());
}

INSTANTIATE_TEST_SUITE_P(
    Cases, MembershipInstanceList,
    testing::Values(ListCase{"empty", {}, 4},
                    ListCase{"onlyUnknownAddresses",
                             {{Fleet::id(50), Fleet::endpoint(50)},
                              {Fleet::id(51), Fleet::endpoint(51)}},
                             4},
                    ListCase{"wrongAddress", {{Fleet::id(2), Fleet::endpoint(60)}}, 4},
                    ListCase{"leaving", {{Fleet::id(2), Fleet::endpoint(2), true}}, 3}),
    [](const auto &info) { return info.param.name; });

// Guards against a router without configured seeds that ignores the instance list.
TEST(MembershipInstanceListSeeds, ARouterJoinsThroughTheList)
{
    Fleet fleet(seed);
    fleet.startAll(4);
    fleet.start(5, {});
    fleet.run(3s);
    EXPECT_EQ(fleet.machine(5).liveRouters().size(), 1U);
    fleet.perform(5,
                  fleet.machine(5).applyInstanceList(
                      {{Fleet::id(70), Fleet::endpoint(70)}, {Fleet::id(3), Fleet::endpoint(3)}},
                      fleet.now()));
    EXPECT_TRUE(fleet.runUntilAgreed(5s));
}

// Guards against spreading a revision only once per probe period, which would exceed the 7 s
// allowed for a configuration change, and against never learning where a revision is in force.
TEST(MembershipRevision, ReachesAllRoutersAndIsConfirmed)
{
    Fleet fleet(seed);
    fleet.startAll(40);
    ASSERT_TRUE(fleet.runUntilAgreed(15s));
    fleet.run(10s);
    fleet.perform(1, fleet.machine(1).setAppliedRevision(5, fleet.now()));
    for (int step = 0; step < 40; ++step) {
        fleet.run(50ms);
        for (int i = 1; i <= 40; ++i) {
            const auto head = fleet.machine(i).headRevision();
            fleet.perform(i, fleet.machine(i).setAppliedRevision(head, fleet.now()));
        }
    }
    for (int i = 1; i <= 40; ++i)
        EXPECT_EQ(fleet.machine(i).headRevision(), 5U) << i;
    fleet.run(10s);
    const auto convergence = fleet.machine(7).convergence(5);
    EXPECT_EQ(convergence.live, 40U);
    EXPECT_EQ(convergence.applied, 40U);
    EXPECT_EQ(fleet.machine(7).convergence(6).lagging.size(), 40U);
}

// Guards against a revision that decreases after a datagram from a router with an older one.
TEST_F(Membership, RevisionsNeverDecrease)
{
    fleet_.perform(1, fleet_.machine(1).setAppliedRevision(5, fleet_.now()));
    EXPECT_TRUE(fleet_.machine(1).setAppliedRevision(4, fleet_.now()).empty());
    fleet_.run(5s);
    EXPECT_EQ(fleet_.machine(1).self().appliedRevision, 5U);
    EXPECT_EQ(fleet_.machine(2).headRevision(), 5U);
}

// Guards against differing stop marks that are not detected.
TEST_F(Membership, DifferentStopMarksAreReported)
{
    fleet_.perform(1, fleet_.machine(1).setStopMarks({1, 77}, fleet_.now()));
    jy::Datagram datagram = fleet_.machine(1).compose(jy::Announce{});
    const auto actions = fleet_.machine(2).receive(datagram, Fleet::endpoint(1), fleet_.now());
    EXPECT_TRUE(std::any_of(actions.begin(), actions.end(), [](const auto &action) {
        const auto *differ = std::get_if<jy::StopMarksDiffer>(&action);
        return differ != nullptr && differ->peer.id == Fleet::id(1);
    }));
}

TEST(MembershipCreate, RejectsARecordThatDoesNotFitADatagram)
{
    EXPECT_FALSE(jy::Membership::create({}, {}, seed));
    auto info = Fleet::info(1, 1);
    info.domain = jy::DomainId(std::string(300, 'd'));
    EXPECT_FALSE(jy::Membership::create({}, info, seed));
    info.domain = jy::DomainId("\xff");
    EXPECT_FALSE(jy::Membership::create({}, info, seed));
}

// Guards against routers that choose different watchers or aggregators from equal member tables,
// and against a choice that changes when an unrelated router leaves.
TEST(MembershipRouterChoice, IsIndependentOfOrderAndStable)
{
    std::vector<jy::MemberInfo> members;
    for (int i = 1; i <= 20; ++i)
        members.push_back(Fleet::info(i, 1));
    const auto chosen = jy::chooseRouters(jy::configHeadKey, members, 2);
    ASSERT_EQ(chosen.size(), 2U);
    std::reverse(members.begin(), members.end());
    EXPECT_EQ(jy::chooseRouters(jy::configHeadKey, members, 2), chosen);
    std::erase_if(members, [&](const auto &member) { return member.id == chosen[0]; });
    EXPECT_EQ(jy::chooseRouters(jy::configHeadKey, members, 1)[0], chosen[1]);
    EXPECT_TRUE(jy::chooseRouters("key", {}, 2).empty());
}

// Guards against totals that include an owner that has left or count a report twice.
TEST(MembershipPoolAggregator, SumsReportsOfTheLastThreeSeconds)
{
    jy::PoolAggregator aggregator;
    const jy::TimePoint start{1h};
    EXPECT_FALSE(aggregator.totals("m@r", start));
    aggregator.report(jy::InstanceId("a"), {"m@r", 5, 1, 8, 1}, start);
    aggregator.report(jy::InstanceId("a"), {"m@r", 6, 1, 8, 2}, start + 1s);
    aggregator.report(jy::InstanceId("b"), {"m@r", 10, 2, 16, 3}, start + 2s);
    aggregator.report(jy::InstanceId("b"), {"other@r", 90, 2, 16, 3}, start + 2s);
    EXPECT_EQ(aggregator.totals("m@r", start + 4s)->sum, (jy::PoolReport{"m@r", 16, 3, 24, 5}));
    EXPECT_EQ(aggregator.totals("m@r", start + 5s)->sum, (jy::PoolReport{"m@r", 10, 2, 16, 3}));
    aggregator.removeOwner(jy::InstanceId("b"));
    EXPECT_FALSE(aggregator.totals("m@r", start + 5s));
}

} // namespace
