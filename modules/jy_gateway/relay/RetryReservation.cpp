#include "jy_gateway/relay/RetryReservation.h"

#include <algorithm>
#include <utility>

namespace jy {

RetryReservation::RetryReservation(Hooks hooks)
    : hooks_(std::move(hooks))
{ }

RetryReservation::~RetryReservation()
{
    cancel();
}

RetryObstacle RetryReservation::reserve(const RetryState &state, bool responsiveOnly)
{
    if (reserved())
        return RetryObstacle::None;
    if (state.timeLeft <= std::chrono::milliseconds(1))
        return RetryObstacle::NoTime;
    if (state.serversTried >= maxServersTried)
        return RetryObstacle::AttemptsUsed;
    if (!state.unsent) {
        if (!state.repeatable)
            return RetryObstacle::NotRepeatable;
        if (state.sentTo >= std::max(1, state.maxAttempts))
            return RetryObstacle::AttemptsUsed;
        if (!hooks_.takeBudget())
            return RetryObstacle::BudgetSpent;
        budgetTaken_ = true;
    }
    auto placement = hooks_.place(responsiveOnly);
    if (placement.server.empty()) {
        cancel();
        return RetryObstacle::NoServer;
    }
    placement_ = std::move(placement);
    return RetryObstacle::None;
}

Placement RetryReservation::take()
{
    budgetTaken_ = false;
    return *std::exchange(placement_, std::nullopt);
}

void RetryReservation::cancel()
{
    if (std::exchange(budgetTaken_, false))
        hooks_.returnBudget();
    if (const auto placement = std::exchange(placement_, std::nullopt))
        hooks_.releasePlace(placement->server);
}

std::string_view toString(RetryObstacle obstacle)
{
    switch (obstacle) {
    case RetryObstacle::None:
        return "none";
    case RetryObstacle::NoTime:
        return "no-time";
    case RetryObstacle::NotRepeatable:
        return "not-repeatable";
    case RetryObstacle::AttemptsUsed:
        return "attempts-used";
    case RetryObstacle::BudgetSpent:
        return "budget-spent";
    case RetryObstacle::NoServer:
        return "no-server";
    }
    return "none";
}

} // namespace jy
