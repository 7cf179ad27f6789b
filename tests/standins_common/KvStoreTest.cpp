#include "common/KvStore.h"

#include <gtest/gtest.h>

using namespace std::chrono_literals;
using jy::standins::KvStore;

namespace {

const KvStore::Time start{};

// Guards against a stand-in that grants a compare-and-swap the real service would refuse.
TEST(KvStore, CompareAndSwapAppliesOnlyAtTheNamedIndex)
{
    KvStore store;
    EXPECT_TRUE(store.put("a", "1", {.cas = 0}, start));
    EXPECT_FALSE(store.put("a", "2", {.cas = 0}, start));
    const auto index = store.find("a")->modifyIndex;
    EXPECT_FALSE(store.put("a", "2", {.cas = index + 1}, start));
    EXPECT_TRUE(store.put("a", "2", {.cas = index}, start));
    EXPECT_EQ(store.find("a")->value, "2");
    EXPECT_FALSE(store.remove("a", false, index));
}

// Guards against watches that miss a removal.
TEST(KvStore, IndexGrowsOnRemoval)
{
    KvStore store;
    store.put("dir/a", "1", {}, start);
    const auto before = store.indexOf("dir/", true);
    store.remove("dir/a", false, std::nullopt);
    EXPECT_GT(store.indexOf("dir/", true), before);
    EXPECT_EQ(store.indexOf("other", false), 1U);
}

// Guards against two lease holders, a reused fencing token, and an ignored lock delay.
TEST(KvStore, LeaseHasOneHolderAndItsTokenGrows)
{
    KvStore store;
    const auto first = store.createSession(1s, 500ms, false, start);
    const auto second = store.createSession(10s, 500ms, false, start);
    EXPECT_TRUE(store.put("lease", "x", {.acquire = first}, start));
    EXPECT_FALSE(store.put("lease", "y", {.acquire = second}, start));
    EXPECT_EQ(store.find("lease")->lockIndex, 1U);
    EXPECT_TRUE(store.renewSession(first, start + 900ms));
    EXPECT_FALSE(store.expireSessions(start + 1500ms));
    EXPECT_TRUE(store.expireSessions(start + 1900ms));
    EXPECT_FALSE(store.renewSession(first, start + 1900ms));
    EXPECT_FALSE(store.put("lease", "y", {.acquire = second}, start + 2s));
    EXPECT_TRUE(store.put("lease", "y", {.acquire = second}, start + 2400ms));
    EXPECT_EQ(store.find("lease")->lockIndex, 2U);
}

} // namespace
