#include "jy_core/limits/RequestQueue.h"

#include <algorithm>
#include <utility>

namespace jy {

RequestQueue::RequestQueue(std::size_t capacity)
    : capacity_(capacity)
{ }

double RequestQueue::usage(const QueueEntry &entry, const FairShare &inFlight) const
{
    // Earlier entries of the same workspace will be in flight when this one is served.
    const auto earlier = std::count_if(entries_.begin(), entries_.end(), [&](const auto &other) {
        return other.ticket < entry.ticket && other.priority == entry.priority
            && other.workspace == entry.workspace;
    });
    const double one = inFlight.usage(entry.workspace, entry.weight);
    return one + static_cast<double>(earlier) / std::max(1e-6, entry.weight);
}

bool RequestQueue::isServedBefore(const QueueEntry &a, const QueueEntry &b,
                                  const FairShare &inFlight) const
{
    if (a.priority != b.priority)
        return a.priority > b.priority;
    const double usageA = usage(a, inFlight);
    const double usageB = usage(b, inFlight);
    return usageA != usageB ? usageA < usageB : a.ticket < b.ticket;
}

Result<std::optional<QueueEntry>> RequestQueue::push(QueueEntry entry, const FairShare &inFlight,
                                                     Duration slotTime, TimePoint now)
{
    const auto ahead = std::count_if(entries_.begin(), entries_.end(), [&](const auto &other) {
        return isServedBefore(other, entry, inFlight);
    });
    const auto wait = slotTime * (ahead + 1);
    const auto retryAfter = std::chrono::ceil<std::chrono::milliseconds>(wait);
    if (now + wait > entry.deadline) {
        return failure(ErrorKind::DeadlineTooShort,
                       "the request would wait in the queue for "
                           + std::to_string(retryAfter.count()) + " ms, past its deadline",
                       retryAfter);
    }
    if (entries_.size() < capacity_) {
        entries_.push_back(std::move(entry));
        return std::optional<QueueEntry>{};
    }
    if (std::cmp_equal(ahead, entries_.size())) {
        return failure(ErrorKind::Overloaded,
                       "all " + std::to_string(capacity_) + " slots of the queue are in use",
                       retryAfter);
    }
    entries_.push_back(std::move(entry));
    const auto last =
        std::max_element(entries_.begin(), entries_.end(), [&](const auto &a, const auto &b) {
            return isServedBefore(a, b, inFlight);
        });
    std::optional<QueueEntry> removed = std::move(*last);
    entries_.erase(last);
    return removed;
}

std::optional<QueueEntry> RequestQueue::pop(const FairShare &inFlight)
{
    const auto first =
        std::min_element(entries_.begin(), entries_.end(), [&](const auto &a, const auto &b) {
            return isServedBefore(a, b, inFlight);
        });
    if (first == entries_.end())
        return std::nullopt;
    std::optional<QueueEntry> entry = std::move(*first);
    entries_.erase(first);
    return entry;
}

std::vector<QueueEntry> RequestQueue::expire(TimePoint now)
{
    std::vector<QueueEntry> expired;
    std::erase_if(entries_, [&](const auto &entry) {
        if (entry.deadline > now)
            return false;
        expired.push_back(entry);
        return true;
    });
    return expired;
}

bool RequestQueue::cancel(std::uint64_t ticket)
{
    return std::erase_if(entries_, [&](const auto &entry) { return entry.ticket == ticket; }) > 0;
}

std::vector<QueueEntry> RequestQueue::drain()
{
    return std::exchange(entries_, {});
}

} // namespace jy
