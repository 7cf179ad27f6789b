#include "jy_gateway/relay/RetryReservation.h"
#include "jy_core/limits/RetryBudget.h"

#include <gtest/gtest.h>

namespace jy::test {

namespace {

using std::chrono::milliseconds;

struct ReservationCase
{
    const char *name;
    RetryState state;
    bool budget;
    bool server;
    RetryObstacle expected;
};

struct RetryReservationTest : testing::TestWithParam<ReservationCase>
{ };

// Guards against a retry, or a place at a server, that stays taken although no attempt follows.
TEST_P(RetryReservationTest, TakesAndReturnsWhatAnAttemptNeeds)
{
    const auto &param = GetParam();
    int budgetTaken = 0;
    int placesTaken = 0;
    {
        RetryReservation retry({.takeBudget = [&] { return param.budget && ++budgetTaken > 0; },
                                .returnBudget = [&] { --budgetTaken; },
                                .place =
                                    [&](bool) {
                                        placesTaken += param.server ? 1 : 0;
                                        return Placement{.server =
                                                             ServerId(param.server ? "s" : "")};
                                    },
                                .releasePlace = [&](const ServerId &) { --placesTaken; }});
        EXPECT_EQ(retry.reserve(param.state, true), param.expected);
        const bool granted = param.expected == RetryObstacle::None;
        EXPECT_EQ(retry.reserved(), granted);
        EXPECT_EQ(placesTaken, granted ? 1 : 0);
        EXPECT_EQ(budgetTaken, granted && !param.state.unsent ? 1 : 0);
    }
    EXPECT_EQ(placesTaken, 0);
    EXPECT_EQ(budgetTaken, 0);
}

constexpr RetryState sound{.repeatable = true,
                           .sentTo = 1,
                           .maxAttempts = 2,
                           .serversTried = 1,
                           .timeLeft = milliseconds(500)};

RetryState with(const std::function<void(RetryState &)> &change)
{
    auto state = sound;
    change(state);
    return state;
}

INSTANTIATE_TEST_SUITE_P(
    States, RetryReservationTest,
    testing::Values(ReservationCase{"granted", sound, true, true, RetryObstacle::None},
                    ReservationCase{"no_time", with([](auto &s) { s.timeLeft = milliseconds(1); }),
                                    true, true, RetryObstacle::NoTime},
                    ReservationCase{"may_run_once", with([](auto &s) { s.repeatable = false; }),
                                    true, true, RetryObstacle::NotRepeatable},
                    ReservationCase{"last_attempt", with([](auto &s) { s.sentTo = 2; }), true, true,
                                    RetryObstacle::AttemptsUsed},
                    ReservationCase{"tried_all", with([](auto &s) { s.serversTried = 4; }), true,
                                    true, RetryObstacle::AttemptsUsed},
                    ReservationCase{"no_budget", sound, false, true, RetryObstacle::BudgetSpent},
                    ReservationCase{"no_server", sound, true, false, RetryObstacle::NoServer},
                    ReservationCase{"unsent", with([](auto &s) { s.unsent = true; }), false, true,
                                    RetryObstacle::None}),
    [](const auto &info) { return std::string(info.param.name); });

TEST(RetryBudgetTest, ReturnedRetryCanBeGrantedAgain)
{
    RetryBudget budget({.share = 0, .minimumPerSecond = 0.1});
    const TimePoint now{std::chrono::hours(1)};
    EXPECT_TRUE(budget.tryRetry(now));
    EXPECT_FALSE(budget.tryRetry(now));
    budget.returnRetry(now);
    EXPECT_TRUE(budget.tryRetry(now));
}

} // namespace

} // namespace jy::test
