#include "jy_gateway/registry/StoreMirror.h"

#include <algorithm>
#include <set>

namespace jy {

StoreMirror::StoreMirror(Observer observer, KeyFilter holds)
    : observer_(std::move(observer))
    , holds_(std::move(holds))
{ }

void StoreMirror::applyChanges(const std::vector<StoreItem> &changes, std::uint64_t asOf)
{
    for (const auto &change : changes) {
        if (merge(change))
            appendToHistory(change);
    }
    revision_ = std::max(revision_, asOf);
}

void StoreMirror::applyList(const std::vector<StoreItem> &items, std::uint64_t asOf)
{
    std::set<std::string> listed;
    std::vector<StoreItem> changes;
    for (const auto &item : items) {
        listed.insert(item.key);
        if (merge(item))
            changes.push_back(item);
    }
    std::vector<StoreItem> missing;
    for (const auto &[key, item] : items_) {
        if (!item.removed && item.revision <= asOf && !listed.contains(key))
            missing.push_back({key, {}, asOf, true});
    }
    for (const auto &item : missing) {
        if (merge(item))
            changes.push_back(item);
    }
    if (revision_ == 0)
        historyStart_ = asOf;
    // These changes are later than those already known, so the history continues without a gap.
    std::ranges::sort(changes, {}, &StoreItem::revision);
    for (const auto &change : changes)
        appendToHistory(change);
    revision_ = std::max(revision_, asOf);
}

void StoreMirror::appendToHistory(const StoreItem &change)
{
    // Only the latest change of a key matters, and a configuration can take some 100 KB.
    std::erase_if(history_, [&](const StoreItem &item) { return item.key == change.key; });
    history_.push_back(change);
    if (history_.size() <= maxHistory)
        return;
    historyStart_ = std::max(historyStart_, history_.front().revision);
    history_.pop_front();
}

void StoreMirror::applyPeerCopy(const std::vector<StoreItem> &items)
{
    for (const auto &item : items)
        merge(item);
}

std::optional<std::vector<StoreItem>> StoreMirror::changesAfter(std::uint64_t revision) const
{
    if (revision < historyStart_)
        return std::nullopt;
    std::vector<StoreItem> changes;
    for (const auto &item : history_) {
        if (item.revision > revision)
            changes.push_back(item);
    }
    return changes;
}

std::vector<StoreItem> StoreMirror::items() const
{
    std::vector<StoreItem> current;
    for (const auto &[key, item] : items_) {
        if (!item.removed)
            current.push_back(item);
    }
    return current;
}

const StoreItem *StoreMirror::find(const std::string &key) const
{
    const auto found = items_.find(key);
    return found == items_.end() || found->second.removed ? nullptr : &found->second;
}

bool StoreMirror::merge(const StoreItem &item)
{
    if (holds_ && !holds_(item.key))
        return false;
    auto &known = items_[item.key];
    // Lists repeat unchanged items. A removal found by a list has the revision of that list, which
    // may equal that of the removed item.
    if (item.revision < known.revision || (item.revision == known.revision && !item.removed))
        return false;
    const bool changed = !known.removed || !item.removed;
    known = item;
    if (changed)
        observer_(item);
    return changed;
}

} // namespace jy
