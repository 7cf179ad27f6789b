#include "jy_gateway/registry/StoreMirror.h"
#include "jy_gateway/registry/InstanceEntry.h"

#include <gtest/gtest.h>

namespace jy::test {

namespace {

struct StoreMirrorTest : testing::Test
{
    std::vector<std::string> seen;
    StoreMirror mirror{[this](const StoreItem &item) {
        seen.push_back((item.removed ? "-" : "+") + item.key + "@" + std::to_string(item.revision));
    }};
};

TEST_F(StoreMirrorTest, OlderRevisionsAreIgnored)
{
    EXPECT_TRUE(mirror.applyChanges({.items = {{"a", "new", 7, false}}, .asOf = 7}));
    EXPECT_TRUE(mirror.applyChanges({.items = {{"a", "old", 5, false}}, .asOf = 7}));
    EXPECT_TRUE(mirror.applyPeerCopy({.items = {{"a", "old", 6, false}}}));
    EXPECT_EQ(mirror.find("a")->value, "new");
    EXPECT_EQ(seen, std::vector<std::string>{"+a@7"});
}

TEST_F(StoreMirrorTest, ListRemovesMissingKeys)
{
    EXPECT_TRUE(mirror.applyList({.items = {{"a", "", 1, false}, {"b", "", 2, false}}, .asOf = 2}));
    EXPECT_TRUE(mirror.applyList({.items = {{"b", "", 2, false}}, .asOf = 9}));
    EXPECT_EQ(mirror.find("a"), nullptr);
    EXPECT_NE(mirror.find("b"), nullptr);
    EXPECT_EQ(mirror.position().revision, 9U);
}

TEST_F(StoreMirrorTest, OldListDoesNotRemoveNewerKeys)
{
    EXPECT_TRUE(mirror.applyChanges({.items = {{"a", "", 12, false}}, .asOf = 12}));
    EXPECT_TRUE(mirror.applyList({.items = {}, .asOf = 9}));
    EXPECT_NE(mirror.find("a"), nullptr);
    EXPECT_EQ(mirror.position().revision, 12U);
}

TEST_F(StoreMirrorTest, OlderCopiesDoNotRestoreARemovedKey)
{
    EXPECT_TRUE(mirror.applyChanges({.items = {{"a", "", 3, false}}, .asOf = 3}));
    EXPECT_TRUE(mirror.applyChanges({.items = {{"a", "", 8, true}}, .asOf = 8}));
    EXPECT_TRUE(mirror.applyPeerCopy({.items = {{"a", "", 3, false}}}));
    EXPECT_EQ(mirror.find("a"), nullptr);
    EXPECT_EQ(seen, (std::vector<std::string>{"+a@3", "-a@8"}));
}

// Guards against an older copy that brings back what was removed before the first list.
TEST_F(StoreMirrorTest, OlderCopiesDoNotAddKeysThatTheListLacked)
{
    EXPECT_TRUE(mirror.applyList({.asOf = 9}));
    EXPECT_TRUE(mirror.applyPeerCopy({.items = {{"a", "", 8, false}, {"b", "", 10, false}}}));
    EXPECT_EQ(mirror.find("a"), nullptr);
    EXPECT_NE(mirror.find("b"), nullptr);
}

// Guards against a lost history after a complete list: when the store had dropped its own history,
// readers sent complete copies to all followers, which saturated their links for seconds and
// delayed all changes.
TEST_F(StoreMirrorTest, HistoryForPeersContinuesAcrossAList)
{
    EXPECT_TRUE(mirror.applyList({.items = {{"a", "", 1, false}, {"b", "", 2, false}}, .asOf = 2}));
    EXPECT_TRUE(mirror.applyChanges({.items = {{"c", "", 3, false}}, .asOf = 3}));
    EXPECT_TRUE(
        mirror.applyList({.items = {{"b", "new", 5, false}, {"c", "", 3, false}}, .asOf = 6}));
    const auto changes = mirror.changesAfter(2);
    ASSERT_TRUE(changes);
    std::vector<std::string> keys;
    for (const auto &change : *changes)
        keys.push_back((change.removed ? "-" : "+") + change.key);
    EXPECT_EQ(keys, (std::vector<std::string>{"+c", "+b", "-a"}));
    EXPECT_FALSE(mirror.changesAfter(1));
}

TEST_F(StoreMirrorTest, HistoryForPeersIsBounded)
{
    EXPECT_TRUE(mirror.applyList({.items = {}, .asOf = 1}));
    for (std::uint64_t revision = 2; revision < 3000; ++revision)
        EXPECT_TRUE(mirror.applyChanges(
            {.items = {{"a" + std::to_string(revision), "", revision, false}}, .asOf = revision}));
    EXPECT_FALSE(mirror.changesAfter(1));
    EXPECT_EQ(mirror.changesAfter(2990)->size(), 9U);
}

// Guards against a history of all versions: under rapid changes of a configuration of 350 KB, each
// follower was sent every version since its last call.
TEST_F(StoreMirrorTest, HistoryForPeersKeepsTheNewestVersionOnly)
{
    EXPECT_TRUE(mirror.applyList({.items = {{"a", "", 1, false}}, .asOf = 1}));
    for (std::uint64_t revision = 2; revision < 400; ++revision)
        EXPECT_TRUE(mirror.applyChanges(
            {.items = {{"config", std::to_string(revision), revision, false}}, .asOf = revision}));
    EXPECT_TRUE(mirror.applyChanges({.items = {{"a", "", 400, true}}, .asOf = 400}));
    const auto changes = mirror.changesAfter(1);
    ASSERT_TRUE(changes);
    ASSERT_EQ(changes->size(), 2U);
    EXPECT_EQ(changes->front().value, "399");
    EXPECT_TRUE(changes->back().removed);
}

// Guards against changes ignored after a restore, because revisions start again lower.
TEST_F(StoreMirrorTest, ListOfALaterEraReplacesTheCopy)
{
    const StoreItem kept{"kept", "same", 2, false};
    EXPECT_TRUE(mirror.applyList(
        {.items = {kept, {"a", "new", 7, false}, {"lost", "", 8, false}}, .asOf = 9, .era = 1}));
    EXPECT_TRUE(mirror.applyChanges({.items = {{"gone", "", 9, true}}, .asOf = 9, .era = 1}));
    seen.clear();
    EXPECT_TRUE(mirror.applyList(
        {.items = {kept, {"a", "old", 5, false}, {"gone", "", 4, false}}, .asOf = 6, .era = 2}));
    EXPECT_EQ(seen, (std::vector<std::string>{"+a@5", "+gone@4", "-lost@6"}));
    EXPECT_EQ(mirror.position(), (StorePosition{2, 6}));
    EXPECT_FALSE(mirror.changesAfter(5));
    EXPECT_TRUE(mirror.applyChanges({.items = {{"a", "again", 7, false}}, .asOf = 7, .era = 2}));
    EXPECT_EQ(mirror.find("a")->value, "again");
    EXPECT_EQ(mirror.changesAfter(6)->size(), 1U);
}

TEST_F(StoreMirrorTest, PagesOfAnotherEraAreIgnored)
{
    EXPECT_TRUE(mirror.applyList({.items = {{"a", "", 3, false}}, .asOf = 3, .era = 2}));
    seen.clear();
    const StorePage earlier{
        .items = {{"a", "late", 8, false}, {"b", "", 9, false}}, .asOf = 9, .era = 1};
    EXPECT_FALSE(mirror.applyList(earlier));
    EXPECT_FALSE(mirror.applyPeerCopy(earlier));
    EXPECT_FALSE(mirror.applyChanges(earlier));
    EXPECT_FALSE(mirror.applyChanges({.items = earlier.items, .asOf = 9, .era = 3}));
    EXPECT_TRUE(seen.empty());
    EXPECT_EQ(mirror.position(), (StorePosition{2, 3}));
}

// Guards against a peer's copy of the restored store that a late list of the earlier era undoes.
TEST_F(StoreMirrorTest, PeerCopyOfALaterEraReplacesTheCopy)
{
    EXPECT_TRUE(mirror.applyList({.items = {{"a", "lost", 7, false}}, .asOf = 7, .era = 1}));
    EXPECT_TRUE(mirror.applyPeerCopy({.items = {{"b", "", 2, false}}, .asOf = 5, .era = 2}));
    EXPECT_FALSE(mirror.applyList({.items = {{"a", "lost", 7, false}}, .asOf = 8, .era = 1}));
    EXPECT_EQ(mirror.find("a"), nullptr);
    EXPECT_NE(mirror.find("b"), nullptr);
    EXPECT_EQ(mirror.position(), (StorePosition{2, 0}));
}

TEST(InstanceEntryTest, RoundTrip)
{
    const RegisteredInstance instance{InstanceId("i1"), {"10.0.0.1", 1}, {"10.0.0.1", 2},
                                      {"10.0.0.1", 3},  DomainId("a"),   200};
    const auto change =
        decodeInstance({instanceKey(instance.id), encodeInstance(instance), 4, false});
    ASSERT_TRUE(change);
    EXPECT_EQ(std::get<InstanceWritten>(*change).instance, instance);
}

struct MalformedEntryTest : testing::TestWithParam<const char *>
{ };

TEST_P(MalformedEntryTest, IsTreatedAsRemoved)
{
    const auto change = decodeInstance({instanceKey(InstanceId("i1")), GetParam(), 4, false});
    ASSERT_TRUE(change);
    EXPECT_TRUE(std::holds_alternative<InstanceRemoved>(*change));
}

INSTANTIATE_TEST_SUITE_P(Texts, MalformedEntryTest,
                         testing::Values("", "{", "[]", "{}", R"({"caller":1,"peer":2})",
                                         R"({"caller":"x","peer":"10.0.0.1:2"})"));

// Entries with a value out of range in one field.
INSTANTIATE_TEST_SUITE_P(
    Values, MalformedEntryTest,
    testing::Values(
        R"({"caller":"10.0.0.1:0","peer":"10.0.0.1:2","control":"10.0.0.1:3"})",
        R"({"caller":"10.0.0.1:65536","peer":"10.0.0.1:2","control":"10.0.0.1:3"})",
        R"({"caller":"10.0.0.1:1","peer":"10.0.0.1:2","control":"10.0.0.1:3","link_mbps":-1})",
        R"({"caller":"10.0.0.1:1","peer":"10.0.0.1:2","control":"10.0.0.1:3","link_mbps":4294967297})",
        R"({"caller":"10.0.0.1:1","peer":"10.0.0.1:2","control":"10.0.0.1:3","milli_cores":1e300})",
        R"({"caller":"10.0.0.1:1","peer":"10.0.0.1:2","control":"10.0.0.1:3","milli_cores":"8"})"));

TEST(InstanceEntryTest, IdThatMessagesCannotCarryIsTreatedAsRemoved)
{
    const RegisteredInstance instance{
        InstanceId("i\xff\xfe"), {"10.0.0.1", 1}, {"10.0.0.1", 2}, {"10.0.0.1", 3}, {}};
    const auto change =
        decodeInstance({instanceKey(instance.id), encodeInstance(instance), 4, false});
    ASSERT_TRUE(change);
    EXPECT_TRUE(std::holds_alternative<InstanceRemoved>(*change));
}

} // namespace

} // namespace jy::test
