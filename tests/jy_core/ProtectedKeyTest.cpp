#include "jy_core/protected/ProtectedKey.h"

#include <gtest/gtest.h>

namespace {

using namespace jy;
using namespace std::chrono_literals;

constexpr std::string_view valid = "0193A1B2-c3d4-7e5f-8a9b-0c1d2e3f4a5b";
const WallTime created{std::chrono::milliseconds{0x0193a1b2c3d4}};

TEST(ProtectedKey, TimeAndSpellingAreRead)
{
    const auto key = parseProtectedKey(valid);
    ASSERT_TRUE(key);
    EXPECT_EQ(key.value().created, created);
    EXPECT_EQ(key.value().text, "0193a1b2-c3d4-7e5f-8a9b-0c1d2e3f4a5b");
}

struct BadKey
{
    const char *name;
    std::string_view text;
};

class BadKeys : public testing::TestWithParam<BadKey>
{ };

// Guards against a key without a usable creation time, whose shard could be deleted too early.
TEST_P(BadKeys, AreInvalid)
{
    const auto key = parseProtectedKey(GetParam().text);
    ASSERT_FALSE(key);
    EXPECT_EQ(key.error().kind, ErrorKind::KeyInvalid);
}

INSTANTIATE_TEST_SUITE_P(
    Table, BadKeys,
    testing::Values(BadKey{"Empty", ""}, BadKey{"Version4", "0193a1b2-c3d4-4e5f-8a9b-0c1d2e3f4a5b"},
                    BadKey{"Variant", "0193a1b2-c3d4-7e5f-ca9b-0c1d2e3f4a5b"},
                    BadKey{"Short", "0193a1b2-c3d4-7e5f-8a9b-0c1d2e3f4a5"},
                    BadKey{"NoHex", "0193a1b2-c3d4-7e5f-8a9b-0c1d2e3f4a5g"},
                    BadKey{"Dashes", "0193a1b2c-3d4-7e5f-8a9b-0c1d2e3f4a5b"},
                    BadKey{"FarFuture", "ffffffff-ffff-7e5f-8a9b-0c1d2e3f4a5b"}),
    [](const auto &info) { return info.param.name; });

struct Age
{
    const char *name;
    std::chrono::milliseconds offset;
    std::optional<ErrorKind> kind;
};

class KeyAges : public testing::TestWithParam<Age>
{ };

// Guards against a call that runs although the record of an earlier attempt may be deleted.
TEST_P(KeyAges, AreBounded)
{
    const auto key = parseProtectedKey(valid).value();
    const auto result = checkKeyAge(key, created + GetParam().offset, 1h);
    EXPECT_EQ(result.has_value(), !GetParam().kind);
    if (!result) {
        EXPECT_EQ(result.error().kind, GetParam().kind);
    }
}

INSTANTIATE_TEST_SUITE_P(Table, KeyAges,
                         testing::Values(Age{"New", 0ms, std::nullopt},
                                         Age{"AtRetention", 1h, std::nullopt},
                                         Age{"Expired", 1h + 1ms, ErrorKind::KeyExpired},
                                         Age{"FastClock", -5min, std::nullopt},
                                         Age{"Future", -5min - 1ms, ErrorKind::KeyInvalid}),
                         [](const auto &info) { return info.param.name; });

// Guards against the deletion of a shard that still holds an admissible key.
TEST(ProtectedKey, AShardIsOldOnlyWhenAllItsKeysAre)
{
    const auto shard = attemptShardKey(parseProtectedKey(valid).value());
    EXPECT_TRUE(shard.starts_with(attemptPrefix));
    EXPECT_FALSE(isShardOlderThan(shard, created + 1h, 1h));
    EXPECT_TRUE(isShardOlderThan(shard, created + 1h + 11s, 1h));
    EXPECT_FALSE(isShardOlderThan("jy/config/head", created + 1h, 0s));
    EXPECT_FALSE(isShardOlderThan("jy/attempts/x", created + 1h, 0s));
}

} // namespace
