#include "jy_core/versions/OutcomeTable.h"

#include <algorithm>
#include <set>

namespace jy {

OutcomeSum &OutcomeSum::operator+=(const OutcomeSum &other)
{
    requests += other.requests;
    errors += other.errors;
    slow += other.slow;
    timed += other.timed;
    firstTokenMs += other.firstTokenMs;
    return *this;
}

void OutcomeTable::add(const InstanceId &owner, const OutcomeCount &count)
{
    auto &outcomes = moves_[count.move];
    outcomes.newestSlot = std::max(outcomes.newestSlot, count.slot);
    if (count.slot + retainedSlots < outcomes.newestSlot)
        return;
    auto &stored = outcomes.counts[{count.version, count.route, count.slot}][owner];
    // Counts of a slot only increase, so a report with fewer requests is an older one.
    if (count.requests >= stored.requests)
        stored = {count.requests, count.errors, count.slow, count.timed, count.firstTokenMs};
    std::erase_if(outcomes.counts, [&outcomes](const auto &entry) {
        return std::get<2>(entry.first) + retainedSlots < outcomes.newestSlot;
    });
}

std::vector<std::string> OutcomeTable::routes(const MoveId &move) const
{
    const auto found = moves_.find(move);
    if (found == moves_.end())
        return {};
    std::set<std::string> routes;
    for (const auto &[key, owners] : found->second.counts)
        routes.insert(std::get<1>(key));
    return {routes.begin(), routes.end()};
}

OutcomeSum OutcomeTable::sum(const MoveId &move, const VersionId &version, const std::string &route,
                             std::uint64_t slot) const
{
    OutcomeSum total;
    const auto found = moves_.find(move);
    if (found == moves_.end())
        return total;
    for (const auto &[key, owners] : found->second.counts) {
        if (std::get<0>(key) != version || std::get<2>(key) != slot)
            continue;
        if (!route.empty() && std::get<1>(key) != route)
            continue;
        for (const auto &[owner, count] : owners)
            total += count;
    }
    return total;
}

OutcomeSum OutcomeTable::total(const MoveId &move, const VersionId &version) const
{
    OutcomeSum total;
    const auto found = moves_.find(move);
    if (found == moves_.end())
        return total;
    for (const auto &[key, owners] : found->second.counts) {
        if (std::get<0>(key) != version)
            continue;
        for (const auto &[owner, count] : owners)
            total += count;
    }
    return total;
}

void OutcomeTable::forget(const MoveId &move)
{
    moves_.erase(move);
}

} // namespace jy
