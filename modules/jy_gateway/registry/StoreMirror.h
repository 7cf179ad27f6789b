#pragma once

#include "jy_gateway/adapter/SharedStore.h"

#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace jy {

/**
 * Copy of the store's items, merged from complete lists, changes and the copies of peers.
 *
 * Each key moves forward only: an item with a lower revision than the known one is ignored,
 * whichever source it came from. Removals keep their revision for the same reason.
 */
class StoreMirror
{
public:
    /** Called for each item that is new here, in the order in which it is merged. */
    using Observer = std::function<void(const StoreItem &)>;

    explicit StoreMirror(Observer observer);

    /** Merges changes of the store and moves the revision to @p asOf. */
    void applyChanges(const std::vector<StoreItem> &changes, std::uint64_t asOf);

    /**
     * Merges a complete list of the store. Known keys that are missing from it and that did not
     * change after @p asOf are removed.
     */
    void applyList(const std::vector<StoreItem> &items, std::uint64_t asOf);

    /** Merges the copy of a peer: items only, because it may lack what this copy has. */
    void applyPeerCopy(const std::vector<StoreItem> &items);

    /** Revision from which changes are to be read; 0 before the first list. */
    std::uint64_t revision() const { return revision_; }

    /**
     * Items that changed after @p revision, removals included, each as it is now.
     *
     * @returns nothing when that part of the history is not kept
     */
    std::optional<std::vector<StoreItem>> changesAfter(std::uint64_t revision) const;

    /** Current items, without removals. */
    std::vector<StoreItem> items() const;

    /** @returns null when the key is unknown or removed. */
    const StoreItem *find(const std::string &key) const;

private:
    /** @returns whether the item is new here. */
    bool merge(const StoreItem &item);
    void remember(const StoreItem &change);

    /** Keys whose newest change is kept for peers; a slow one reads everything instead. */
    static constexpr std::size_t maxHistory = 1024;

    Observer observer_;
    std::map<std::string, StoreItem> items_;

    /** The newest change of each key after historyStart_, in the order of the store. */
    std::deque<StoreItem> history_;
    std::uint64_t historyStart_ = 0;
    std::uint64_t revision_ = 0;
};

} // namespace jy
