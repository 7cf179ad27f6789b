#include "jy_gateway/registry/StoreMirror.h"

#include <algorithm>
#include <set>
#include <utility>

namespace jy {

StoreMirror::StoreMirror(Observer observer, KeyFilter holds)
    : observer_(std::move(observer))
    , holds_(std::move(holds))
{ }

bool StoreMirror::applyChanges(const StorePage &page)
{
    if (page.era != era_)
        return false;
    for (const auto &change : page.items) {
        if (merge(change))
            appendToHistory(change);
    }
    revision_ = std::max(revision_, page.asOf);
    return true;
}

bool StoreMirror::applyList(const StorePage &page)
{
    if (page.era < era_)
        return false;
    const auto asOf = page.asOf;
    if (page.era > era_) {
        replace(page);
        historyStart_ = asOf;
        revision_ = asOf;
        return true;
    }
    std::set<std::string> listed;
    std::vector<StoreItem> changes;
    for (const auto &item : page.items) {
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
    return true;
}

void StoreMirror::replace(const StorePage &page)
{
    const auto before = std::exchange(items_, {});
    era_ = page.era;
    revision_ = 0;
    history_.clear();
    for (const auto &item : page.items) {
        if (item.removed || (holds_ && !holds_(item.key)))
            continue;
        items_[item.key] = item;
    }
    for (const auto &[key, item] : items_) {
        const auto known = before.find(key);
        if (known == before.end() || known->second != item)
            observer_(item);
    }
    for (const auto &[key, item] : before) {
        if (!item.removed && !items_.contains(key))
            observer_({key, {}, page.asOf, true});
    }
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

bool StoreMirror::applyPeerCopy(const StorePage &page)
{
    if (page.era < era_)
        return false;
    if (page.era > era_) {
        replace(page);
        return true;
    }
    for (const auto &item : page.items)
        merge(item);
    return true;
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
    // A key that is unknown although the copy is complete as of revision_ was removed before that.
    if (item.revision <= revision_ && !items_.contains(item.key))
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
