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
