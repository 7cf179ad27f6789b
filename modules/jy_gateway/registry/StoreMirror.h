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
 * All items belong to one era. Within it, an item with a lower revision than the known one of its
 * key is ignored, regardless of its source; removed items are kept with their revision for the same
 * reason. Pages of earlier eras are ignored, and a complete page of a later era replaces the copy.
 */
class StoreMirror
{
public:
    /** Called for each item that changes the copy, in the order of merging. */
    using Observer = std::function<void(const StoreItem &)>;

    /** Whether the copy holds a key. Others are skipped, so they are not passed on to peers. */
    using KeyFilter = std::function<bool(std::string_view key)>;

    explicit StoreMirror(Observer observer, KeyFilter holds = {});

    /**
     * Merges changes of the store and moves the revision to that of the page.
     *
     * @returns false if the page belongs to another era, so that a complete list is needed
     */
    [[nodiscard]] bool applyChanges(const StorePage &page);

    /**
     * Merges a complete list of the store. Removes known keys that are missing from the list and
     * did not change after its revision.
     *
     * @returns false if the list belongs to an earlier era and was ignored
     */
    [[nodiscard]] bool applyList(const StorePage &page);

    /**
     * Merges the copy of a peer. Within an era, neither moves the revision nor removes missing
     * keys, because the peer's copy may be older than this one. After a copy of a later era, the
     * revision is 0 until the next list.
     *
     * @returns false if the copy belongs to an earlier era and was ignored
     */
    [[nodiscard]] bool applyPeerCopy(const StorePage &page);

    /** Position after which changes are to be read; its revision is 0 before the first list of the
     * era. */
    StorePosition position() const { return {era_, revision_}; }

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

    /** Replaces the copy by the items of a later era. */
    void replace(const StorePage &page);
    void appendToHistory(const StoreItem &change);

    /** Maximum number of changes kept for peers. A peer that needs older ones reads a complete
     * copy. */
    static constexpr std::size_t maxHistory = 1024;

    Observer observer_;
    KeyFilter holds_;
    StoreEra era_ = 0;
    std::map<std::string, StoreItem> items_;

    /** The latest change of each key after revision historyStart_, in the order of the store. */
    std::deque<StoreItem> history_;
    std::uint64_t historyStart_ = 0;
    std::uint64_t revision_ = 0;
};

} // namespace jy
