#include "InstanceFixture.h"

#include <gtest/gtest.h>

namespace jy::test {

namespace {

const ServerId busy{"s0"};

struct BackoffCase
{
    const char *name;
    milliseconds stated;
    milliseconds expected;
};

struct BackoffTimeTest : testing::TestWithParam<BackoffCase>
{ };

TEST_P(BackoffTimeTest, LastsAsStatedUpToTheLimit)
{
    ServerBackoff backoff;
    backoff.begin(busy, GetParam().stated, start);
    const auto until = backoff.until(busy, start);
    EXPECT_EQ(until.value_or(start) - start, GetParam().expected);
    EXPECT_FALSE(backoff.until(busy, start + GetParam().expected));
    backoff.expire(start + GetParam().expected);
    EXPECT_EQ(backoff.size(), 0U);
}

INSTANTIATE_TEST_SUITE_P(Times, BackoffTimeTest,
                         testing::Values(BackoffCase{"Fraction", milliseconds(1250),
                                                     milliseconds(1250)},
                                         BackoffCase{"Zero", milliseconds(0), milliseconds(0)},
                                         BackoffCase{"Negative", milliseconds(-5), milliseconds(0)},
                                         BackoffCase{"AboveTheLimit", std::chrono::hours(24 * 365),
                                                     ServerBackoff::maxDuration}),
                         [](const auto &info) { return std::string(info.param.name); });

TEST(ServerBackoffTest, ShorterTimeDoesNotEndALongerOne)
{
    ServerBackoff backoff;
    backoff.begin(busy, seconds(5), start);
    backoff.begin(busy, seconds(1), start);
    EXPECT_EQ(backoff.until(busy, start), start + seconds(5));
}

// A server that is backing off is not even used as a last resort, unlike one that failed.
TEST(ServerBackoffTest, ServersThatAreBackingOffAreNeverChosen)
{
    Instance instance;
    instance.add(2, desk);
    instance.backoff.begin(ServerId("s0"), seconds(4), start);
    EXPECT_EQ(instance.choose(desk).server, ServerId("s1"));
    EXPECT_FALSE(instance.chooser.allBackingOffUntil(desk, start));
    instance.backoff.begin(ServerId("s1"), seconds(2), start);
    const auto none = instance.choose(desk);
    EXPECT_TRUE(none.server.empty());
    EXPECT_EQ(none.reason, PlacementReason::AllBackingOff);
    EXPECT_EQ(instance.chooser.allBackingOffUntil(desk, start), start + seconds(2));
}

} // namespace

} // namespace jy::test
