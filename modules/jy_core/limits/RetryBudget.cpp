#include "jy_core/limits/RetryBudget.h"

namespace jy {

namespace {

std::int64_t secondOf(TimePoint now)
{
    return std::chrono::duration_cast<std::chrono::seconds>(now.time_since_epoch()).count();
}

} // namespace

RetryBudget::RetryBudget(const RetryBudgetSettings &settings)
    : settings_(settings)
{ }

RetryBudget::Slot &RetryBudget::slotFor(TimePoint now)
{
    const auto second = secondOf(now);
    Slot &slot = slots_[static_cast<std::size_t>(second) % windowSeconds];
    if (slot.second != second)
        slot = {.second = second};
    return slot;
}

void RetryBudget::recordAttempt(TimePoint now)
{
    ++slotFor(now).attempts;
}

bool RetryBudget::tryRetry(TimePoint now)
{
    Slot &current = slotFor(now);
    double allowed = settings_.minimumPerSecond * windowSeconds;
    int retries = 0;
    for (const Slot &slot : slots_) {
        if (slot.second <= current.second - static_cast<std::int64_t>(windowSeconds))
            continue;
        allowed += settings_.share * slot.attempts;
        retries += slot.retries;
    }
    if (retries + 1 > allowed)
        return false;
    ++current.retries;
    return true;
}

void RetryBudget::returnRetry(TimePoint granted)
{
    const auto second = secondOf(granted);
    Slot &slot = slots_[static_cast<std::size_t>(second) % windowSeconds];
    if (slot.second == second && slot.retries > 0)
        --slot.retries;
}

} // namespace jy
