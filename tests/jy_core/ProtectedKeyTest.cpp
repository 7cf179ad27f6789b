#include "jy_core/protected/ProtectedKey.h"

#include <gtest/gtest.h>

namespace {

using namespace jy;
using namespace std::chrono_literals;

constexpr std::string_view valid = "0193A1B2-c3d4-7e5f-8a9b-0c1d2e3f4a5b";
const WallTime created{std::chrono::milliseconds{0x0193a1b2c3d4}};

TEST(ProtectedKey, ParsesTheTimeAndConvertsToLowerCase)
{
    const auto key = parseProtectedKey(valid);
    ASSERT_TRUE(key);
    EXPECT_EQ(key.value().created, created);
    EXPECT_EQ(key.value().text, "0193a1b2-c3d4-7e5f-8a9b-0c1d2e3f4a5b");
}

struct InvalidKey
{
    const char *name;
    std::string_view text;
};

class InvalidKeys : public testing::TestWithParam<InvalidKey>
{ };

// Guards against accepting a key without a valid creation time, whose shard could be deleted too
// early.
TEST_P(InvalidKeys, AreRejected)
{
    const auto key = parseProtectedKey(GetParam().text);
    ASSERT_FALSE(key);
    EXPECT_EQ(key.error().kind, ErrorKind::KeyInvalid);
}

INSTANTIATE_TEST_SUITE_P(
    Table, InvalidKeys,
    testing::Values(InvalidKey{"Empty", ""},
                    InvalidKey{"Version4", "0193a1b2-c3d4-4e5f-8a9b-0c1d2e3f4a5b"},
                    InvalidKey{"Variant", "0193a1b2-c3d4-7e5f-ca9b-0c1d2e3f4a5b"},
                    InvalidKey{"Short", "0193a1b2-c3d4-7e5f-8a9b-0c1d2e3f4a5"},
                    InvalidKey{"NoHex", "0193a1b2-c3d4-7e5f-8a9b-0c1d2e3f4a5g"},
                    InvalidKey{"Dashes", "0193a1b2c-3d4-7e5f-8a9b-0c1d2e3f4a5b"},
                    InvalidKey{"FarFuture", "ffffffff-ffff-7e5f-8a9b-0c1d2e3f4a5b"}),
    [](const auto &info) { return info.param.name; });

struct KeyAgeCase
{
    const char *name;
    std::chrono::milliseconds offset;
    std::optional<ErrorKind> kind;
};

class KeyAgeLimits : public testing::TestWithParam<KeyAgeCase>
{ };

// Guards against running a call although the record of an earlier attempt may be deleted already.
TEST_P(KeyAgeLimits, AreEnforced)
{
    const auto key = parseProtectedKey(valid).value();
    const auto result = checkKeyAge(key, created + GetParam().offset, 1h);
    EXPECT_EQ(result.has_value(), !GetParam().kind);
    if (!result) {
        EXPECT_EQ(result.error().kind, GetParam().kind);
    }
}

INSTANTIATE_TEST_SUITE_P(Table, KeyAgeLimits,
                         testing::Values(KeyAgeCase{"New", 0ms, std::nullopt},
                                         KeyAgeCase{"AtRetention", 1h, std::nullopt},
                                         KeyAgeCase{"Expired", 1h + 1ms, ErrorKind::KeyExpired},
                                         KeyAgeCase{"FastClock", -5min, std::nullopt},
                                         KeyAgeCase{"Future", -5min - 1ms, ErrorKind::KeyInvalid}),
                         [](const auto &info) { return info.param.name; });

// Guards against deleting a shard that still contains a key within its retention.
TEST(ProtectedKey, ShardIsOldOnlyWhenAllItsKeysAre)
{
    const auto shard = attemptShardKey(parseProtectedKey(valid).value());
    EXPECT_TRUE(shard.starts_with(attemptPrefix));
    EXPECT_FALSE(isShardOlderThan(shard, created + 1h, 1h));
    EXPECT_TRUE(isShardOlderThan(shard, created + 1h + 11s, 1h));
    EXPECT_FALSE(isShardOlderThan("jy/config/head", created + 1h, 0s));
    EXPECT_FALSE(isShardOlderThan("jy/attempts/x", created + 1h, 0s));
}

} // namespace
