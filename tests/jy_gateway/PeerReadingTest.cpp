#include "jy_gateway/registry/PeerReading.h"

#include <gtest/gtest.h>

namespace jy::test {

namespace {

ListedInstance instance(const std::string &id, int linkMbps)
{
    return {.id = InstanceId(id), .linkMbps = linkMbps};
}

TEST(ReadersTest, InstancesWithTheWidestLinksRead)
{
    std::vector<ListedInstance> live;
    live.reserve(86);
    for (int i = 0; i < 80; ++i)
        live.push_back(instance("narrow" + std::to_string(i), 10));
    for (int i = 0; i < 6; ++i)
        live.push_back(instance("wide" + std::to_string(i), 200));
    std::set<InstanceId> readers;
    std::map<InstanceId, int> first;
    for (const auto &self : live) {
        const auto order = readersFor(self.id, live);
        if (order.empty()) {
            readers.insert(self.id);
            continue;
        }
        EXPECT_EQ(order.size(), 3U);
        ++first[order.front().id];
        for (const auto &reader : order)
            EXPECT_EQ(reader.linkMbps, 200);
    }
    EXPECT_EQ(readers.size(), 3U);
    EXPECT_EQ(first.size(), 3U);
}

TEST(ReadersTest, SingleInstanceReadsItself)
{
    const auto only = instance("only", 10);
    EXPECT_TRUE(readersFor(only.id, {only}).empty());
}

TEST(StoreCopyTest, RoundTrip)
{
    const StoreCopy sent{{{{"a", std::string("\0x", 2), 3, false}, {"b", "", 4, true}}, 7, false},
                         std::chrono::milliseconds(12)};
    const auto received = decodeStoreCopy(encodeStoreCopy(sent));
    ASSERT_TRUE(received);
    EXPECT_EQ(received.value().page.asOf, 7U);
    EXPECT_EQ(received.value().age, sent.age);
    ASSERT_EQ(received.value().page.items.size(), 2U);
    EXPECT_EQ(received.value().page.items[0].value, sent.page.items[0].value);
    EXPECT_TRUE(received.value().page.items[1].removed);
}

struct BrokenCopy : testing::TestWithParam<const char *>
{ };

TEST_P(BrokenCopy, IsRefused)
{
    EXPECT_FALSE(decodeStoreCopy(GetParam()));
}

INSTANTIATE_TEST_SUITE_P(
    Texts, BrokenCopy,
    testing::Values("", "[]", "{}", R"({"items":[],"as_of":1})",
                    R"({"items":1,"as_of":1,"age_ms":0})",
                    R"({"items":[{"key":"a"}],"as_of":1,"age_ms":0})",
                    R"({"items":[{"key":"a","revision":1,"value":"?"}],"as_of":1,"age_ms":0})",
                    R"({"items":[],"as_of":-1,"age_ms":0})"));

} // namespace

} // namespace jy::test
