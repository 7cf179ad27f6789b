#include "FleetFixture.h"

#include <gtest/gtest.h>

namespace jy::test {

namespace {

const TimePoint start{std::chrono::hours(1)};

struct FleetViewTest : testing::Test
{
    FleetViewTest()
    {
        view.apply(ConfigWritten{twoServices()}, start);
        view.apply(ServerWritten{server("one", engines)}, start);
    }

    bool hasCandidates(TimePoint now) const { return !view.candidates(engines, now).empty(); }

    FleetView view;
};

TEST_F(FleetViewTest, LeavingServerIsNoCandidate)
{
    auto leaving = server("one", engines);
    leaving.leaving = true;
    view.apply(ServerWritten{leaving}, start);
    EXPECT_FALSE(hasCandidates(start));
}

// The store may be unavailable or the entry late, so an announcement in a response takes
// precedence.
TEST_F(FleetViewTest, ServerThatAnnouncesLeavingIsNoCandidate)
{
    EXPECT_TRUE(view.markServerLeaving(ServerId("one"), 1));
    EXPECT_FALSE(hasCandidates(start));
    EXPECT_FALSE(view.markServerLeaving(ServerId("one"), 1)) << "announced twice";
    EXPECT_EQ(view.announcedLeaving(), (StartTimeByServer{{ServerId("one"), 1}}));
    // A delayed entry from before the announcement has no effect.
    view.apply(ServerWritten{server("one", engines)}, start);
    EXPECT_FALSE(hasCandidates(start));
    auto leaving = server("one", engines);
    leaving.leaving = true;
    view.apply(ServerWritten{leaving}, start);
    EXPECT_TRUE(view.announcedLeaving().empty()) << "the entry now says so";
}

TEST_F(FleetViewTest, AnnouncementOfAnEarlierStartIsIgnored)
{
    auto restarted = server("one", engines);
    restarted.startTimeMs = 2;
    EXPECT_TRUE(view.markServerLeaving(ServerId("one"), 1));
    view.apply(ServerWritten{restarted}, start);
    EXPECT_TRUE(hasCandidates(start));
    EXPECT_FALSE(view.markServerLeaving(ServerId("one"), 1));
    EXPECT_FALSE(view.markServerLeaving(ServerId("unknown"), 1));
    EXPECT_TRUE(hasCandidates(start));
    EXPECT_TRUE(view.announcedLeaving().empty());
}

TEST_F(FleetViewTest, RemovedEntryTakesEffectAtOnceWhileTheStoreIsAvailable)
{
    view.apply(ServerRemoved{ServerId("one")}, start);
    EXPECT_FALSE(hasCandidates(start));
}

// Guards against requests to a server that left during an outage of the store: an instance whose
// calls the store had rejected sent one 2.56 s after the server had left. The bound is 2 s.
TEST_F(FleetViewTest, EntryMissingAfterAnOutageIsKeptForLessThanTheBound)
{
    constexpr milliseconds bound{2000};
    view.storeReturned(start);
    view.apply(ServerRemoved{ServerId("one")}, start + milliseconds(5));
    EXPECT_TRUE(hasCandidates(start + milliseconds(1000)));
    EXPECT_FALSE(hasCandidates(start + bound - milliseconds(1)));
    EXPECT_EQ(view.expire(start + bound).size(), 1U);
}

TEST_F(FleetViewTest, EntryThatReturnsAfterAnOutageIsKept)
{
    view.storeReturned(start);
    view.apply(ServerRemoved{ServerId("one")}, start);
    view.apply(ServerWritten{server("one", engines)}, start + seconds(1));
    EXPECT_TRUE(view.expire(start + seconds(5)).empty());
    EXPECT_TRUE(hasCandidates(start + seconds(5)));
}

TEST_F(FleetViewTest, LeavingServerIsNotKeptAfterAnOutage)
{
    auto leaving = server("one", engines);
    leaving.leaving = true;
    view.apply(ServerWritten{leaving}, start);
    view.storeReturned(start);
    view.apply(ServerRemoved{ServerId("one")}, start);
    EXPECT_EQ(view.findServer(ServerId("one")), nullptr);
}

struct RestoreCase
{
    const char *name;

    /** The changes before the restore, and what the restored copy lists instead. */
    std::vector<FleetChange> before;
    std::optional<FleetChange> listed;

    /** Written by the server or the operator one second after the restore. */
    std::optional<FleetChange> rewritten;

    bool candidateAtOnce;
    bool candidateAfterReregistration;
    bool candidateInTheEnd;
};

RegisteredServer leavingServer()
{
    auto leaving = server("one", engines);
    leaving.leaving = true;
    return leaving;
}

RegisteredServer restartedServer()
{
    auto restarted = server("one", engines);
    restarted.startTimeMs = 2;
    return restarted;
}

struct RestoredStoreTest : testing::TestWithParam<RestoreCase>
{ };

// Guards against a restored copy of the store that takes back what had taken effect.
TEST_P(RestoredStoreTest, OlderCopyTakesNothingBack)
{
    FleetView view({.serverHeartbeat = milliseconds(1200)});
    view.apply(ConfigWritten{twoServices()}, start);
    view.apply(ServerWritten{server("one", engines)}, start);
    for (const auto &change : GetParam().before)
        view.apply(change, start);
    view.storeRestored(start);
    if (GetParam().listed)
        view.apply(*GetParam().listed, start);
    const auto hasCandidate = [&](milliseconds after) {
        view.expire(start + after);
        return !view.candidates(engines, start + after).empty();
    };
    EXPECT_EQ(hasCandidate(milliseconds(500)), GetParam().candidateAtOnce);
    if (GetParam().rewritten)
        view.apply(*GetParam().rewritten, start + seconds(1));
    EXPECT_EQ(hasCandidate(FleetView::reregistrationTime), GetParam().candidateAfterReregistration);
    EXPECT_EQ(hasCandidate(seconds(6)), GetParam().candidateInTheEnd);
}

const ServerId one{"one"};

INSTANTIATE_TEST_SUITE_P(
    Cases, RestoredStoreTest,
    testing::Values(RestoreCase{"UnknownToTheCopyAndWrittenAgain",
                                {},
                                ServerRemoved{one},
                                ServerWritten{server("one", engines)},
                                true,
                                true,
                                true},
                    RestoreCase{
                        "UnknownToTheCopyAndGone", {}, ServerRemoved{one}, {}, true, false, false},
                    RestoreCase{"WasLeaving",
                                {ServerWritten{leavingServer()}},
                                ServerWritten{server("one", engines)},
                                ServerWritten{leavingServer()},
                                false,
                                false,
                                false},
                    RestoreCase{"WasLeavingAndGoesAway",
                                {ServerWritten{leavingServer()}},
                                ServerWritten{server("one", engines)},
                                ServerRemoved{one},
                                false,
                                false,
                                false},
                    RestoreCase{"WasGoneAndDoesNotReturn",
                                {ServerRemoved{one}},
                                ServerWritten{server("one", engines)},
                                ServerRemoved{one},
                                false,
                                false,
                                false},
                    RestoreCase{"WasGoneAndReturns",
                                {ServerRemoved{one}},
                                ServerWritten{server("one", engines)},
                                {},
                                false,
                                false,
                                true},
                    RestoreCase{"WasGoneAndStartsAgain",
                                {ServerRemoved{one}},
                                ServerWritten{server("one", engines)},
                                ServerWritten{restartedServer()},
                                false,
                                true,
                                true},
                    RestoreCase{"HadGoneAndReturnedBefore",
                                {ServerRemoved{one}, ServerWritten{server("one", engines)}},
                                ServerWritten{server("one", engines)},
                                {},
                                true,
                                true,
                                true},
                    RestoreCase{"HadStartedAgainBefore",
                                {ServerWritten{restartedServer()}},
                                ServerWritten{server("one", engines)},
                                {},
                                true,
                                true,
                                true},
                    RestoreCase{"EvacuationIsWrittenAgain",
                                {EvacuationWritten{DomainId("a")}},
                                EvacuationRemoved{DomainId("a")},
                                EvacuationWritten{DomainId("a")},
                                false,
                                false,
                                false},
                    RestoreCase{"EvacuationHadEnded",
                                {EvacuationWritten{DomainId("a")}},
                                EvacuationRemoved{DomainId("a")},
                                {},
                                false,
                                true,
                                true},
                    RestoreCase{"RolloutIsWrittenAgain",
                                {RolloutWritten{{engines, VersionId("v1"), seconds(10), 7}}},
                                RolloutRemoved{engines},
                                RolloutWritten{{engines, VersionId("v1"), seconds(10), 3}},
                                false,
                                false,
                                false}),
    [](const auto &info) { return std::string(info.param.name); });

// Guards against times that count from the first of two restores: the second copy shows the same
// entries, so no change follows.
TEST_F(FleetViewTest, SecondRestoreBeginsAllTimesAnew)
{
    view.apply(ServerWritten{server("missing", desk)}, start);
    view.apply(ServerRemoved{ServerId("one")}, start);
    view.storeRestored(start);
    view.apply(ServerWritten{server("one", engines)}, start);
    view.apply(ServerRemoved{ServerId("missing")}, start);
    view.storeRestored(start + milliseconds(1500));
    view.expire(start + milliseconds(2500));
    EXPECT_NE(view.findServer(ServerId("missing")), nullptr);
    EXPECT_FALSE(hasCandidates(start + milliseconds(5500)));
    EXPECT_TRUE(hasCandidates(start + milliseconds(6500)));
}

TEST_F(FleetViewTest, EvacuatedDomainHasNoCandidatesAndIsColdAfterwards)
{
    view.apply(EvacuationWritten{DomainId("a")}, start);
    EXPECT_FALSE(hasCandidates(start));
    view.apply(EvacuationRemoved{DomainId("a")}, start);
    EXPECT_TRUE(hasCandidates(start));
    EXPECT_EQ(view.findServer(ServerId("one"))->coldUntil, start + seconds(3));
}

TEST_F(FleetViewTest, RestartUnderTheSameIdIsCold)
{
    auto restarted = server("one", engines);
    restarted.startTimeMs = 2;
    view.apply(ServerWritten{restarted}, start);
    EXPECT_EQ(view.findServer(ServerId("one"))->coldUntil, start + seconds(3));
}

TEST_F(FleetViewTest, OlderConfigurationIsIgnored)
{
    view.apply(ConfigWritten{twoServices(5)}, start);
    view.apply(ConfigWritten{twoServices(4)}, start);
    EXPECT_EQ(view.config()->version, 5U);
}

struct RolloutCase
{
    const char *name;
    std::optional<RolloutState> state;
    bool oldVersion;
    bool newVersion;
};

struct RolloutTest : testing::TestWithParam<RolloutCase>
{ };

TEST_P(RolloutTest, VersionsThatMayGetRequests)
{
    FleetView view;
    view.apply(ConfigWritten{twoServices()}, start);
    view.apply(ServerWritten{server("old", engines)}, start);
    auto target = server("new", engines);
    target.version = VersionId("v2");
    view.apply(ServerWritten{target}, start);
    view.apply(RolloutWritten{{engines, VersionId("v2"), seconds(10)}}, start);
    if (GetParam().state)
        view.apply(RolloutReportWritten{{engines, VersionId("v2"), *GetParam().state}}, start);
    bool oldVersion = false;
    bool newVersion = false;
    for (const auto *candidate : view.candidates(engines, start)) {
        oldVersion |= candidate->entry.id == ServerId("old");
        newVersion |= candidate->entry.id == ServerId("new");
    }
    EXPECT_EQ(oldVersion, GetParam().oldVersion);
    EXPECT_EQ(newVersion, GetParam().newVersion);
}

INSTANTIATE_TEST_SUITE_P(
    States, RolloutTest,
    testing::Values(RolloutCase{"Ordered", std::nullopt, true, false},
                    RolloutCase{"Reverted", RolloutState::Reverted, true, false},
                    RolloutCase{"Completed", RolloutState::Completed, false, true}),
    [](const auto &info) { return std::string(info.param.name); });

} // namespace

} // namespace jy::test
