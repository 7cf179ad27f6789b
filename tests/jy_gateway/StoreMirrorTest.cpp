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
    mirror.applyChanges({{"a", "new", 7, false}}, 7);
    mirror.applyChanges({{"a", "old", 5, false}}, 7);
    mirror.applyPeerCopy({{"a", "old", 6, false}});
    EXPECT_EQ(mirror.find("a")->value, "new");
    EXPECT_EQ(seen, std::vector<std::string>{"+a@7"});
}

TEST_F(StoreMirrorTest, ListRemovesMissingKeys)
{
    mirror.applyList({{"a", "", 1, false}, {"b", "", 2, false}}, 2);
    mirror.applyList({{"b", "", 2, false}}, 9);
    EXPECT_EQ(mirror.find("a"), nullptr);
    EXPECT_NE(mirror.find("b"), nullptr);
    EXPECT_EQ(mirror.revision(), 9U);
}

TEST_F(StoreMirrorTest, OldListDoesNotRemoveNewerKeys)
{
    mirror.applyChanges({{"a", "", 12, false}}, 12);
    mirror.applyList({}, 9);
    EXPECT_NE(mirror.find("a"), nullptr);
    EXPECT_EQ(mirror.revision(), 12U);
}

TEST_F(StoreMirrorTest, OlderCopiesDoNotRestoreARemovedKey)
{
    mirror.applyChanges({{"a", "", 3, false}}, 3);
    mirror.applyChanges({{"a", "", 8, true}}, 8);
    mirror.applyPeerCopy({{"a", "", 3, false}});
    EXPECT_EQ(mirror.find("a"), nullptr);
    EXPECT_EQ(seen, (std::vector<std::string>{"+a@3", "-a@8"}));
}

// Guards against a lost history after a complete list: when the store had dropped its own history,
// readers sent complete copies to all followers, which saturated their links for seconds and
// delayed all changes.
TEST_F(StoreMirrorTest, HistoryForPeersContinuesAcrossAList)
{
    mirror.applyList({{"a", "", 1, false}, {"b", "", 2, false}}, 2);
    mirror.applyChanges({{"c", "", 3, false}}, 3);
    mirror.applyList({{"b", "new", 5, false}, {"c", "", 3, false}}, 6);
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
    mirror.applyList({}, 1);
    for (std::uint64_t revision = 2; revision < 3000; ++revision)
        mirror.applyChanges({{"a" + std::to_string(revision), "", revision, false}}, revision);
    EXPECT_FALSE(mirror.changesAfter(1));
    EXPECT_EQ(mirror.changesAfter(2990)->size(), 9U);
}

// Guards against a history of all versions: under rapid changes of a configuration of 350 KB, each
// follower was sent every version since its last call.
TEST_F(StoreMirrorTest, HistoryForPeersKeepsTheNewestVersionOnly)
{
    mirror.applyList({{"a", "", 1, false}}, 1);
    for (std::uint64_t revision = 2; revision < 400; ++revision)
        mirror.applyChanges({{"config", std::to_string(revision), revision, false}}, revision);
    mirror.applyChanges({{"a", "", 400, true}}, 400);
    const auto changes = mirror.changesAfter(1);
    ASSERT_TRUE(changes);
    ASSERT_EQ(changes->size(), 2U);
    EXPECT_EQ(changes->front().value, "399");
    EXPECT_TRUE(changes->back().removed);
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
