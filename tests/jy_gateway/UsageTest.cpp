#include "DutyStore.h"

#include "jy_gateway/duties/UsageJson.h"
#include "jy_gateway/duties/UsageReports.h"
#include "jy_gateway/duties/UsageTable.h"
#include "jy_gateway/peers/FleetClock.h"
#include "jy_gateway/peers/HeartbeatCodec.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

namespace jy::test {

namespace {

using std::chrono::seconds;

const UsageCalendar calendar(seconds(5));
const WorkspaceId workspace("w");

WallTime at(milliseconds time)
{
    return WallTime(std::chrono::hours(1) + time);
}

const UsageWindow firstWindow = calendar.windowAt(at(seconds(0)));

UsageMessage message(const std::string &instance, WallTime started, std::uint64_t count,
                     UsageWindow window = firstWindow)
{
    const auto incarnation =
        std::chrono::duration_cast<milliseconds>(started.time_since_epoch()).count();
    return {InstanceId(instance),
            static_cast<std::uint64_t>(incarnation),
            {},
            {{window, {{workspace, count}}}}};
}

struct WindowCase
{
    const char *name;
    WallTime time;
    UsageWindow window;
};

struct UsageCalendarTest : testing::TestWithParam<WindowCase>
{ };

// Guards against requests that are counted in the neighbouring window.
TEST_P(UsageCalendarTest, WindowsBeginAtMultiplesOfTheirLength)
{
    EXPECT_EQ(calendar.windowAt(GetParam().time), GetParam().window);
    EXPECT_GT(calendar.endOf(GetParam().window), GetParam().time);
    EXPECT_LE(calendar.endOf(GetParam().window) - seconds(5), GetParam().time);
}

INSTANTIATE_TEST_SUITE_P(
    Times, UsageCalendarTest,
    testing::Values(WindowCase{"Epoch", WallTime(), 0},
                    WindowCase{"LastOfTheFirst", WallTime(milliseconds(4999)), 0},
                    WindowCase{"SecondWindow", WallTime(seconds(5)), 1},
                    WindowCase{"BeforeTheEpoch", WallTime(milliseconds(-1)), -1}),
    [](const auto &info) { return std::string(info.param.name); });

// Guards against requests that are lost or counted twice when instances restart, messages are
// repeated, overtake each other or get lost, and the collector is replaced by one that knows only
// the stored sums.
RC_GTEST_PROP(UsageTableTest, EachRequestIsCountedOnce, ())
{
    const auto instances = *rc::gen::inRange(1, 5);
    UsageTable table;
    std::uint64_t expected = 0;
    std::vector<UsageMessage> late;
    for (int i = 0; i < instances; ++i) {
        const auto name = "i" + std::to_string(i);
        for (int start = 0; start < *rc::gen::inRange(1, 4); ++start) {
            std::uint64_t count = 0;
            for (int step = 0; step < *rc::gen::inRange(1, 5); ++step) {
                count += *rc::gen::inRange<std::uint64_t>(0, 20);
                late.push_back(message(name, at(seconds(start)), count));
                if (*rc::gen::arbitrary<bool>())
                    table.receive(late.back());
            }
            // The last message of a process arrives.
            table.receive(late.back());
            expected += count;
        }
    }
    for (const auto &repeated : late)
        table.receive(repeated);
    RC_ASSERT(table.totals(firstWindow)[workspace] == expected);
}

struct RestoreCase
{
    const char *name;

    /** Counts of a process that started before the snapshot, as known to the new collector. */
    std::uint64_t known;

    /** Sum in the snapshot, which may include that process. */
    std::uint64_t stored;

    /** Counts of a process that started after the snapshot. */
    std::uint64_t afterwards;

    std::uint64_t expected;
};

struct UsageRestoreTest : testing::TestWithParam<RestoreCase>
{ };

// Guards against windows that are counted twice, or not at all, after all collectors have ended.
TEST_P(UsageRestoreTest, SumsIncludeTheSnapshot)
{
    const auto &test = GetParam();
    UsageTable table;
    table.restore({at(seconds(2)), {{firstWindow, {{workspace, test.stored}}}}});
    if (test.known > 0)
        table.receive(message("old", at(seconds(1)), test.known));
    if (test.afterwards > 0)
        table.receive(message("new", at(seconds(3)), test.afterwards));
    EXPECT_EQ(table.totals(firstWindow)[workspace], test.expected);
    const auto decoded = decodeSnapshot(encodeSnapshot(table.snapshot(at(seconds(4)))));
    ASSERT_TRUE(decoded);
    EXPECT_EQ(decoded->windows.at(firstWindow).at(workspace), test.expected);
    EXPECT_EQ(decoded->taken, at(seconds(4)));
}

INSTANTIATE_TEST_SUITE_P(Cases, UsageRestoreTest,
                         testing::Values(RestoreCase{"AllProcessesEnded", 0, 70, 30, 100},
                                         RestoreCase{"CollectorEnded", 90, 70, 0, 90},
                                         RestoreCase{"SomeProcessesEnded", 40, 70, 30, 100}),
                         [](const auto &info) { return std::string(info.param.name); });

// Guards against reports that leave out an instance whose counts are still on their way.
TEST(UsageTableTest, IsCompleteWhenAllLiveInstancesHaveCounted)
{
    UsageTable table;
    auto counted = message("a", at(seconds(0)), 1);
    counted.countedUntil = at(seconds(5));
    table.receive(counted);
    EXPECT_TRUE(table.complete({InstanceId("a")}, at(seconds(5))));
    EXPECT_FALSE(table.complete({InstanceId("a")}, at(seconds(6))));
    EXPECT_FALSE(table.complete({InstanceId("a"), InstanceId("b")}, at(seconds(5))));
}

// Guards against counts that do not fit into a datagram and against windows that look complete
// before the last part has arrived.
TEST(UsageMessageTest, PartsContainAllCounts)
{
    UsageMessage whole{InstanceId("a"), 7, at(seconds(9)), {}};
    for (int i = 0; i < 400; ++i)
        whole.windows[firstWindow + i % 2][WorkspaceId("workspace-" + std::to_string(i))] = 1;
    const auto parts = splitUsage(whole, 1200);
    UsageByWindow joined;
    for (const auto &part : parts) {
        const auto bytes =
            encodeHeartbeat({.instance = {.id = part.instance}, .incarnation = 7, .usage = part});
        EXPECT_LE(bytes.size(), maxHeartbeatBytes);
        const InstanceId id("a");
        const auto decoded = decodeHeartbeat(
            bytes, [](std::uint32_t) { return nullptr; }, [&](std::uint32_t) { return &id; });
        ASSERT_TRUE(decoded);
        ASSERT_TRUE(decoded.value().usage);
        const auto &usage = *decoded.value().usage;
        EXPECT_EQ(usage.incarnation, 7U);
        EXPECT_EQ(usage.countedUntil.has_value(), &part == &parts.back());
        for (const auto &[window, counts] : usage.windows)
            joined[window].insert(counts.begin(), counts.end());
    }
    EXPECT_EQ(joined, whole.windows);
}

// Guards against counts that are lost because a restored store shows an earlier snapshot.
TEST(UsageTableTest, EarlierSnapshotDoesNotReplaceALaterOne)
{
    UsageTable table;
    table.restore({at(seconds(4)), {{firstWindow, {{workspace, 70}}}}});
    table.restore({at(seconds(2)), {{firstWindow, {{workspace, 30}}}}});
    EXPECT_EQ(table.totals(firstWindow)[workspace], 70U);
}

/** The decisions of one holder with the reports that it has sent, on a shared store. */
struct Reporter
{
    UsageReports reports{{calendar, seconds(10)}};
    std::uint64_t revision = 0;

    /** When this process first knew of a restore that no stored list of reports follows. */
    std::optional<WallTime> sawRestore;

    /** The store has to be read: at the begin, and after a write that failed. */
    bool needsLoad = true;
    std::map<UsageWindow, WorkspaceCounts> sent;

    void load(const DutyStore &store)
    {
        needsLoad = false;
        const auto found = store.items.find("reports");
        revision = found == store.items.end() ? 0 : found->second.revision;
        const auto stored = found == store.items.end() ? std::deque<StoredReport>()
                                                       : decodeReports(found->second.value).value();
        reports.load(stored, writtenIn(store.era, stored) ? std::nullopt : sawRestore);
    }

    /** One step; the counts that this holder believes in differ from those of others. */
    void step(const SharedStore &store, StoreEra era, WallTime now, std::uint64_t count,
              bool callFails)
    {
        const auto action = reports.next(firstWindow, now, [](WallTime) { return true; });
        if (action.step == UsageReports::Step::Store) {
            auto added = reports.withNew({action.window, {{workspace, count}}}, era);
            const auto stored = store.commit({.conditions = {{"reports", revision}},
                                              .writes = {{"reports", encodeReports(added), 0}}});
            needsLoad = !stored;
            if (!stored)
                return;
            revision = stored.value();
            reports.stored(std::move(added));
        } else if (action.step == UsageReports::Step::Send) {
            sent[action.window] = reports.find(action.window)->report.counts;
            callFails ? reports.failed(now) : reports.accepted(action.window);
        }
    }
};

/** Plays holders that change at any time, with any outcome of writes and calls. @returns the sent
 * reports */
std::map<UsageWindow, WorkspaceCounts> playHolders(bool restores, WallTime &now)
{
    DutyStore store;
    StoreFault fault = StoreFault::None;
    const auto shared = store.open(fault);
    std::map<UsageWindow, WorkspaceCounts> reported;
    Reporter holder;
    const auto step = [&](std::uint64_t count, bool callFails) {
        store.applyDelayed();
        store.saveCopy();
        if (holder.needsLoad)
            holder.load(store);
        holder.step(shared, store.era, now, count, callFails);
        for (const auto &[window, counts] : holder.sent)
            RC_ASSERT(reported.try_emplace(window, counts).first->second == counts);
    };
    for (std::uint64_t i = 0; i < 60; ++i) {
        now += milliseconds(*rc::gen::inRange(100, 2500));
        fault = *rc::gen::element(StoreFault::None, StoreFault::None, StoreFault::Unavailable,
                                  StoreFault::ResponseLost, StoreFault::AppliedLate);
        step(i, *rc::gen::arbitrary<bool>());
        const bool replaced = *rc::gen::inRange(0, 5) == 0;
        if (restores && *rc::gen::inRange(0, 8) == 0) {
            store.dropDelayed();
            store.restore(*rc::gen::inRange<std::size_t>(0, 12));
            holder.needsLoad = true;
            if (replaced)
                holder = {.sawRestore = now};
        } else if (replaced) {
            holder = {.sawRestore = store.era > 1 ? std::optional(now) : std::nullopt};
        }
    }
    fault = StoreFault::None;
    for (std::uint64_t i = 100; i < 140; ++i) {
        now += seconds(1);
        step(i, false);
    }
    return reported;
}

// Guards against two different reports of one window: whatever holders believe, whenever they
// change, and whatever becomes of their writes and calls.
RC_GTEST_PROP(UsageReportsTest, AWindowHasOneReport, ())
{
    auto now = at(seconds(0));
    const auto reported = playHolders(false, now);
    RC_ASSERT(reported.contains(calendar.windowAt(now - seconds(10))));
}

// Guards against a second report of a window with other counts, after the store came back from a
// copy without the first one.
RC_GTEST_PROP(UsageReportsTest, AWindowHasOneReportAfterRestores, ())
{
    auto now = at(seconds(0));
    const auto reported = playHolders(true, now);
    RC_ASSERT(reported.contains(calendar.windowAt(now - seconds(10))));
}

// Guards against reports of windows that a lost holder may have reported before a restore, and
// against more skipped windows than these.
TEST(UsageReportsTest, SkipsOnlyWindowsWhoseReportMayBeLost)
{
    const auto always = [](WallTime) { return true; };
    UsageReports reports({calendar, seconds(10)});
    const StoredReport stored{{firstWindow, {{workspace, 3}}}, true, 1};
    reports.load({stored}, calendar.endOf(firstWindow + 2));
    const auto now = calendar.endOf(firstWindow + 2) + seconds(8);
    EXPECT_EQ(reports.next(firstWindow, now, always).window, firstWindow + 2);
}

// Guards against windows that become overdue because the holder first repeats reports that it knows
// to be accepted, after it had to read the store again.
TEST(UsageReportsTest, AcceptedReportsAreNotRepeatedByTheSameHolder)
{
    const auto always = [](WallTime) { return true; };
    const StoredReport stored{{firstWindow, {{workspace, 3}}}, false, {}};
    UsageReports reports({calendar, seconds(10)});
    reports.load({stored}, std::nullopt);
    const auto now = calendar.endOf(firstWindow) + seconds(1);
    EXPECT_EQ(reports.next(firstWindow, now, always).step, UsageReports::Step::Send);
    reports.accepted(firstWindow);
    reports.load({stored}, std::nullopt);
    EXPECT_EQ(reports.next(firstWindow, now, always).step, UsageReports::Step::Wait);
}

struct DueCase
{
    const char *name;
    milliseconds afterEnd;
    bool complete;
    UsageReports::Step step;
};

struct UsageDueTest : testing::TestWithParam<DueCase>
{ };

// Guards against windows that are reported before their last counts have arrived, and against
// windows that wait for an instance until they are overdue.
TEST_P(UsageDueTest, WaitsForCountsButNotTooLong)
{
    const UsageReports reports({calendar, seconds(10)});
    const auto now = calendar.endOf(firstWindow) + GetParam().afterEnd;
    EXPECT_EQ(reports.next(firstWindow, now, [](WallTime) { return GetParam().complete; }).step,
              GetParam().step);
    EXPECT_EQ(reports.next(std::nullopt, now, [](WallTime) { return true; }).step,
              UsageReports::Step::Wait);
}

INSTANTIATE_TEST_SUITE_P(
    Times, UsageDueTest,
    testing::Values(DueCase{"Settling", milliseconds(1000), true, UsageReports::Step::Wait},
                    DueCase{"Complete", milliseconds(2000), true, UsageReports::Step::Store},
                    DueCase{"Incomplete", milliseconds(2000), false, UsageReports::Step::Wait},
                    DueCase{"TooLong", milliseconds(6500), false, UsageReports::Step::Store}),
    [](const auto &info) { return std::string(info.param.name); });

// Guards against usage counted in the wrong window on an instance whose clock has jumped.
TEST(FleetClockTest, MostClocksDecide)
{
    FleetClock clock;
    const TimePoint now{std::chrono::hours(2)};
    for (int i = 0; i < 10; ++i) {
        const auto stepped = i < 4 ? milliseconds(2000) : milliseconds(i);
        clock.addSample(InstanceId(std::to_string(i)), at(stepped), now);
    }
    const auto estimate = clock.trueTime(at(seconds(-2)), now + seconds(1));
    EXPECT_LE(std::chrono::abs(estimate - at(seconds(1))), milliseconds(10));
    clock.expire(now + seconds(60));
    EXPECT_EQ(clock.trueTime(at(seconds(-2)), now), at(seconds(-2)));
}

} // namespace

} // namespace jy::test
