#pragma once

#include "jy_gateway/adapter/SharedStore.h"

#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace jy {

/**
 * Local copy of the store's items, merged from complete lists, changes and the copies of peers.
 *
 * An item with a lower revision than the known one of its key is ignored, regardless of its source.
 * Removed items are kept with their revision for the same reason.
 */
class StoreMirror
{
public:
    /** Called for each item that changes the copy, in the order of merging. */
    using Observer = std::function<void(const StoreItem &)>;

    /** Whether the copy holds a key. Others are skipped, so they are not passed on to peers. */
    using KeyFilter = std::function<bool(std::string_view key)>;

    explicit StoreMirror(Observer observer, KeyFilter holds = {});

    /** Merges changes of the store and moves the revision to @p asOf. */
    void applyChanges(const std::vector<StoreItem> &changes, std::uint64_t asOf);

    /**
     * Merges a complete list of the store as of revision @p asOf. Removes known keys that are
     * missing from the list and did not change after that revision.
     */
    void applyList(const std::vector<StoreItem> &items, std::uint64_t asOf);

    /** Merges the copy of a peer. Neither moves the revision nor removes missing keys, because the
     * peer's copy may be older than this one. */
    void applyPeerCopy(const std::vector<StoreItem> &items);

    /** Revision after which changes are to be read; 0 before the first list. */
    std::uint64_t revision() const { return revision_; }

    /**
     * Items that changed after @p revision, including removed ones, each in its current state.
     *
     * @returns nothing if that part of the history is no longer available
     */
    std::optional<std::vector<StoreItem>> changesAfter(std::uint64_t revision) const;

    /** Current items, without removed ones. */
    std::vector<StoreItem> items() const;

    /** @returns null if the key is unknown or removed */
    const StoreItem *find(const std::string &key) const;

private:
    /** @returns whether the item changed the copy */
    bool merge(const StoreItem &item);
    void appendToHistory(const StoreItem &change);

    /** Maximum number of changes kept for peers. A peer that needs older ones reads a complete
     * copy. */
    static constexpr std::size_t maxHistory = 1024;

    Observer observer_;
    KeyFilter holds_;
    std::map<std::string, StoreItem> items_;

    /** The latest change of each key after revision historyStart_, in the order of the store. */
    std::deque<StoreItem> history_;
    std::uint64_t historyStart_ = 0;
    std::uint64_t revision_ = 0;
};

} // namespace jy
