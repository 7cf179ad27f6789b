#include "jy_gateway/duties/UsageTable.h"

#include <algorithm>

namespace jy {

namespace {

void takeLarger(WorkspaceCounts &known, const WorkspaceCounts &received)
{
    for (const auto &[workspace, count] : received) {
        auto &value = known[workspace];
        value = std::max(value, count);
    }
}

void addTo(WorkspaceCounts &sum, const WorkspaceCounts &counts)
{
    for (const auto &[workspace, count] : counts)
        sum[workspace] += count;
}

bool startedAfter(std::uint64_t incarnation, WallTime time)
{
    return WallTime(std::chrono::milliseconds(incarnation)) > time;
}

} // namespace

void UsageTable::receive(const UsageMessage &message)
{
    auto &process = processes_[message.instance][message.incarnation];
    for (const auto &[window, counts] : message.windows)
        takeLarger(process.windows[window], counts);
    if (message.countedUntil)
        process.countedUntil = std::max(process.countedUntil, *message.countedUntil);
}

void UsageTable::restore(UsageSnapshot snapshot)
{
    // A restored store shows an earlier snapshot than the one known.
    if (snapshot.taken >= restored_.taken)
        restored_ = std::move(snapshot);
}

WorkspaceCounts UsageTable::totals(UsageWindow window) const
{
    WorkspaceCounts older;
    WorkspaceCounts newer;
    for (const auto &[instance, processes] : processes_) {
        for (const auto &[incarnation, process] : processes) {
            const auto found = process.windows.find(window);
            if (found != process.windows.end())
                addTo(startedAfter(incarnation, restored_.taken) ? newer : older, found->second);
        }
    }
    const auto stored = restored_.windows.find(window);
    if (stored != restored_.windows.end())
        takeLarger(older, stored->second);
    addTo(newer, older);
    return newer;
}

bool UsageTable::complete(const std::set<InstanceId> &live, WallTime until) const
{
    return std::ranges::all_of(live, [&](const InstanceId &instance) {
        const auto found = processes_.find(instance);
        return found != processes_.end() && found->second.rbegin()->second.countedUntil >= until;
    });
}

std::set<UsageWindow> UsageTable::windows() const
{
    std::set<UsageWindow> known;
    for (const auto &[window, counts] : restored_.windows)
        known.insert(window);
    for (const auto &[instance, processes] : processes_) {
        for (const auto &[incarnation, process] : processes) {
            for (const auto &[window, counts] : process.windows)
                known.insert(window);
        }
    }
    return known;
}

std::optional<UsageWindow> UsageTable::firstWindow() const
{
    const auto known = windows();
    return known.empty() ? std::nullopt : std::optional(*known.begin());
}

UsageSnapshot UsageTable::snapshot(WallTime now) const
{
    UsageSnapshot snapshot{.taken = now};
    for (const auto window : windows())
        snapshot.windows[window] = totals(window);
    return snapshot;
}

void UsageTable::expire(UsageWindow oldest)
{
    const auto isOld = [oldest](const auto &entry) { return entry.first < oldest; };
    std::erase_if(restored_.windows, isOld);
    for (auto &[instance, processes] : processes_) {
        for (auto &[incarnation, process] : processes)
            std::erase_if(process.windows, isOld);
        // The latest process of an instance is kept for complete().
        const auto latest = processes.rbegin()->first;
        std::erase_if(processes, [latest](const auto &entry) {
            return entry.second.windows.empty() && entry.first != latest;
        });
    }
}

} // namespace jy
