#include "jy_core/limits/RequestQueue.h"

#include <algorithm>
#include <iterator>
#include <string>
#include <utility>

namespace jy {

namespace {

// Avoids a division by zero for a workspace with weight zero.
constexpr double smallestWeight = 1e-6;

} // namespace

RequestQueue::RequestQueue(std::size_t capacity, std::size_t maxBytes)
    : capacity_(capacity)
    , maxBytes_(maxBytes)
{ }

double RequestQueue::usage(const QueueEntry &entry, std::size_t before, const FairShare &inFlight)
{
    // The entries before it will be in flight when this one is served.
    return inFlight.usage(entry.workspace, entry.weight)
        + static_cast<double>(before) / std::max(smallestWeight, entry.weight);
}

std::size_t RequestQueue::countBefore(const QueueEntry &entry, const FairShare &inFlight) const
{
    std::size_t count = countFrom(entry.urgency);
    const auto level = entries_.find(entry.urgency);
    if (level == entries_.end())
        return count;
    for (const auto &[workspace, entries] : level->second)
        count -= entries.size();
    const Rank rank{entry.precedence, entry.ticket};
    const auto own = level->second.find(entry.workspace);
    std::size_t before = 0;
    if (own != level->second.end())
        before = static_cast<std::size_t>(
            std::distance(own->second.begin(), own->second.lower_bound(rank)));
    const Order order{usage(entry, before, inFlight), rank};
    count += before;
    for (const auto &[workspace, entries] : level->second) {
        if (workspace == entry.workspace)
            continue;
        std::size_t index = 0;
        for (const auto &[otherRank, other] : entries) {
            if (order < Order{usage(other, index, inFlight), otherRank})
                break;
            ++index;
        }
        count += index;
    }
    return count;
}

Result<std::vector<QueueEntry>> RequestQueue::push(QueueEntry entry, const FairShare &inFlight,
                                                   Duration slotTime, TimePoint now)
{
    const auto ahead = countBefore(entry, inFlight);
    const auto wait = slotTime * static_cast<Duration::rep>(ahead + 1);
    const auto retryAfter = std::chrono::ceil<std::chrono::milliseconds>(wait);
    if (now + wait > entry.deadline) {
        return failure(ErrorKind::DeadlineTooShort,
                       "the request would wait in the queue for "
                           + std::to_string(retryAfter.count()) + " ms, past its deadline",
                       retryAfter);
    }
    const auto ticket = entry.ticket;
    insert(std::move(entry));
    std::vector<QueueEntry> removed;
    while (size() > capacity_ || bytes_ > maxBytes_) {
        auto entryRemoved = remove(last(inFlight).ticket);
        if (entryRemoved.ticket != ticket) {
            removed.push_back(std::move(entryRemoved));
            continue;
        }
        for (auto &other : removed)
            insert(std::move(other));
        return failure(ErrorKind::Overloaded,
                       "all " + std::to_string(capacity_) + " slots of the queue are in use",
                       retryAfter);
    }
    return removed;
}

std::optional<QueueEntry> RequestQueue::pop(const FairShare &inFlight)
{
    if (entries_.empty())
        return std::nullopt;
    const auto order = [&](const auto &item) {
        const auto &[rank, entry] = *item.second.begin();
        return Order{usage(entry, 0, inFlight), rank};
    };
    const auto first = std::ranges::min_element(entries_.begin()->second, {}, order);
    return remove(first->second.begin()->first.ticket);
}

const QueueEntry &RequestQueue::last(const FairShare &inFlight) const
{
    const auto order = [&](const auto &item) {
        const auto &[rank, entry] = *item.second.rbegin();
        return Order{usage(entry, item.second.size() - 1, inFlight), rank};
    };
    return std::ranges::max_element(entries_.rbegin()->second, {}, order)->second.rbegin()->second;
}

std::vector<QueueEntry> RequestQueue::removeHopeless(const FairShare &inFlight, Duration slotTime,
                                                     TimePoint now)
{
    std::vector<QueueEntry> removed;
    while (!empty()) {
        const auto &entry = last(inFlight);
        if (now + slotTime * static_cast<Duration::rep>(size()) <= entry.deadline)
            break;
        removed.push_back(remove(entry.ticket));
    }
    return removed;
}

std::vector<QueueEntry> RequestQueue::expire(TimePoint now)
{
    std::vector<QueueEntry> expired;
    while (!deadlines_.empty() && deadlines_.begin()->first <= now)
        expired.push_back(remove(deadlines_.begin()->second));
    return expired;
}

bool RequestQueue::cancel(std::uint64_t ticket)
{
    if (!positions_.contains(ticket))
        return false;
    remove(ticket);
    return true;
}

std::vector<QueueEntry> RequestQueue::drain()
{
    std::vector<QueueEntry> all;
    all.reserve(size());
    while (!empty())
        all.push_back(remove(positions_.begin()->first));
    std::ranges::sort(all, {}, &QueueEntry::ticket);
    return all;
}

std::size_t RequestQueue::countFrom(int urgency) const
{
    std::size_t count = 0;
    for (const auto &[level, workspaces] : entries_) {
        if (level < urgency)
            break;
        for (const auto &[workspace, entries] : workspaces)
            count += entries.size();
    }
    return count;
}

std::optional<TimePoint> RequestQueue::nextDeadline() const
{
    if (deadlines_.empty())
        return std::nullopt;
    return deadlines_.begin()->first;
}

void RequestQueue::insert(QueueEntry entry)
{
    bytes_ += entry.bytes;
    positions_[entry.ticket] = {entry.urgency, entry.workspace, entry.precedence, entry.deadline};
    deadlines_.emplace(entry.deadline, entry.ticket);
    const Rank rank{entry.precedence, entry.ticket};
    entries_[entry.urgency][entry.workspace].emplace(rank, std::move(entry));
}

QueueEntry RequestQueue::remove(std::uint64_t ticket)
{
    const auto position = positions_.extract(ticket).mapped();
    const auto level = entries_.find(position.urgency);
    const auto own = level->second.find(position.workspace);
    auto node = own->second.extract(Rank{position.precedence, ticket});
    if (own->second.empty())
        level->second.erase(own);
    if (level->second.empty())
        entries_.erase(level);
    deadlines_.erase({position.deadline, ticket});
    bytes_ -= node.mapped().bytes;
    return std::move(node.mapped());
}

} // namespace jy
