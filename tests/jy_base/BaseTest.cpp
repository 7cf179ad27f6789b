#include "jy_base/jy_base.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <set>

namespace {

class ErrorTableRow : public testing::TestWithParam<jy::ErrorAnswer>
{ };

// Guards against a kind whose name peers or callers cannot map back to the kind.
TEST_P(ErrorTableRow, NameIdentifiesTheKind)
{
    EXPECT_EQ(jy::errorKindFromName(GetParam().name), GetParam().kind);
    EXPECT_EQ(&jy::answerFor(GetParam().kind),
              &jy::errorTable()[static_cast<int>(GetParam().kind)]);
}

// Guards against advice that makes a caller run a request twice: if a request may already have run,
// a retry must use its idempotency key.
TEST_P(ErrorTableRow, UnknownEffectNeverAdvisesRetryWithoutKey)
{
    if (GetParam().effect != jy::Effect::Unknown)
        return;
    EXPECT_TRUE(GetParam().advice == jy::RetryAdvice::SameKey
                || GetParam().advice == jy::RetryAdvice::Never);
}

INSTANTIATE_TEST_SUITE_P(AllKinds, ErrorTableRow, testing::ValuesIn(jy::errorTable()),
                         [](const auto &info) { return std::string(info.param.name); });

// Guards against a change of the hash function, which would move every chat during an upgrade.
TEST(StableHash, ValuesDoNotChangeBetweenReleases)
{
    EXPECT_EQ(jy::stableHash(""), 0x2D06800538D394C2ULL);
    EXPECT_NE(jy::stableHash("chat", 1), jy::stableHash("chat", 2));
}

RC_GTEST_PROP(HybridClock, TimestampsIncreaseStrictly,
              (const std::vector<std::pair<int, int>> &steps))
{
    jy::HybridClock clock;
    jy::HybridTime last;
    for (const auto &[wall, remote] : steps) {
        const jy::WallTime now{std::chrono::milliseconds(wall)};
        const auto stamp = remote % 2 == 0 ? clock.tick(now)
                                           : clock.receive({.wallMs = remote, .counter = 1}, now);
        RC_ASSERT(stamp > last);
        last = stamp;
    }
}

} // namespace
