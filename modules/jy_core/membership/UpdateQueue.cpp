#include "jy_core/membership/UpdateQueue.h"

#include "jy_core/membership/DatagramSize.h"
#include "jy_core/membership/MemberTable.h"

#include <algorithm>
#include <tuple>

namespace jy {

void UpdateQueue::add(const InstanceId &id, Kind kind, bool fullRecord)
{
    const auto [entry, inserted] = entries_.try_emplace(id, Entry{kind, fullRecord, 0});
    if (inserted)
        return;
    if (kind == Kind::State)
        entry->second.kind = kind;
    entry->second.fullRecord = entry->second.fullRecord || fullRecord;
    entry->second.sent = 0;
}

std::vector<MemberInfo>
UpdateQueue::take(std::size_t bytes, const TransmitLimits &transmitLimits,
                  const std::function<const MemberInfo *(const InstanceId &)> &record)
{
    using Item = std::map<InstanceId, Entry>::iterator;
    std::vector<Item> order;
    order.reserve(entries_.size());
    for (auto item = entries_.begin(); item != entries_.end(); ++item)
        order.push_back(item);
    std::stable_sort(order.begin(), order.end(), [](const Item &a, const Item &b) {
        return std::tuple(a->second.kind, a->second.sent)
            < std::tuple(b->second.kind, b->second.sent);
    });

    constexpr std::size_t minUpdateBytes = 24;
    std::vector<MemberInfo> updates;
    for (const auto &item : order) {
        if (bytes < minUpdateBytes)
            break;
        const auto *known = record(item->first);
        if (known == nullptr) {
            entries_.erase(item);
            continue;
        }
        auto update = item->second.fullRecord ? *known : withoutEndpoints(*known);
        const auto size = encodedSizeBound(update);
        if (size > bytes)
            continue;
        bytes -= size;
        updates.push_back(std::move(update));
        const bool state = item->second.kind == Kind::State;
        if (++item->second.sent >= (state ? transmitLimits.state : transmitLimits.revision))
            entries_.erase(item);
    }
    return updates;
}

} // namespace jy
