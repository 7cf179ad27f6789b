#include "jy_gateway/registry/StoreSync.h"

#include "jy_runtime/jy_runtime.h"

#include <gtest/gtest.h>

namespace jy::test {

namespace {

using std::chrono::milliseconds;

/** A store whose calls are scripted, and a copy that follows it. */
struct StoreSyncTest : testing::Test
{
    /** Runs until @p done, which is checked before each call to the store. */
    void run(const std::function<bool()> &done)
    {
        EventLoop loop;
        loop.run([&] {
            StopToken stop;
            SharedStore store;
            store.list = [&](const auto &, const std::string &after) -> Result<StorePage> {
                ++lists;
                if (done())
                    stop.requestStop();
                return list(after);
            };
            store.watch = [&](const auto &, StorePosition after,
                              milliseconds) -> Result<StorePage> {
                ++watches;
                if (done())
                    stop.requestStop();
                EventLoop::sleepFor(milliseconds(1));
                return watch(after);
            };
            StoreSync sync(
                store, mirror,
                {.initialRetryPause = milliseconds(10), .maxRetryPause = milliseconds(40)},
                {.lost = [&](const Error &) { ++losses; },
                 .returned = [] {},
                 .merged = [] {},
                 .readsStore = [] { return false; },
                 .latestEra = [&] { return latestEra; }});
            EventLoop::spawn([&] {
                EventLoop::sleepFor(milliseconds(300));
                stop.requestStop();
            });
            sync.run(stop);
            EventLoop::sleepFor(milliseconds(310));
        });
    }

    std::function<Result<StorePage>(const std::string &)> list;
    std::function<Result<StorePage>(StorePosition)> watch;
    StoreMirror mirror{[](const StoreItem &) {}};
    StoreEra latestEra = 0;
    int lists = 0;
    int watches = 0;
    int losses = 0;
};

TEST_F(StoreSyncTest, ChangesOfALaterEraLeadToAList)
{
    StoreEra era = 1;
    list = [&](const auto &) { return StorePage{.asOf = era == 1 ? 9U : 4U, .era = era}; };
    watch = [&](StorePosition after) {
        const StorePage page{.items = {{"a", "", 12, false}}, .asOf = 12, .era = 2};
        return std::exchange(era, 2) == 1 ? page : StorePage{.asOf = after.revision, .era = 2};
    };
    run([&] { return watches == 3; });
    EXPECT_EQ(lists, 2);
    EXPECT_EQ(mirror.position(), (StorePosition{2, 4}));
    EXPECT_EQ(mirror.find("a"), nullptr);
    EXPECT_EQ(losses, 0);
}

TEST_F(StoreSyncTest, EraSeenByAnotherCallLeadsToAList)
{
    list = [&](const auto &) { return StorePage{.asOf = 3, .era = latestEra}; };
    watch = [&](StorePosition after) {
        latestEra = 5;
        return StorePage{.asOf = after.revision, .era = after.era};
    };
    run([&] { return watches == 3; });
    EXPECT_EQ(lists, 2);
    EXPECT_EQ(mirror.position().era, 5U);
}

TEST_F(StoreSyncTest, PagesOfOneListShareAnEra)
{
    list = [&](const std::string &after) {
        if (lists == 1)
            return StorePage{
                .items = {{"a", "", 2, false}}, .asOf = 9, .era = 1, .truncated = true};
        return after.empty() ? StorePage{.asOf = 5, .era = 2}
                             : StorePage{.items = {{"b", "", 3, false}}, .asOf = 5, .era = 2};
    };
    watch = [&](StorePosition after) { return StorePage{.asOf = after.revision, .era = 2}; };
    run([&] { return watches == 1; });
    EXPECT_EQ(lists, 3);
    EXPECT_EQ(mirror.position(), (StorePosition{2, 5}));
    EXPECT_TRUE(mirror.items().empty());
}

// Guards against lists without a pause: after a restore, readers called the store 709 times.
TEST_F(StoreSyncTest, ListsThatDoNotHelpAreSpacedOut)
{
    list = [](const auto &) { return StorePage{.asOf = 9, .era = 1}; };
    watch = [](StorePosition) -> Result<StorePage> {
        return failure(ErrorKind::KvHistoryLost, "no such revision");
    };
    run([] { return false; });
    EXPECT_LE(lists, 12);
}

} // namespace

} // namespace jy::test
