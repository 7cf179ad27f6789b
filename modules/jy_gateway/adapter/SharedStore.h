#pragma once

#include "jy_base/errors/Error.h"

#include <chrono>
#include <compare>
#include <cstdint>
#include <functional>
#include <string>
#include <vector>

namespace jy {

/**
 * Number of times that the store came back from an older copy. Such a restore loses what was
 * written since the copy, and revisions and lease identifiers are given out again, so they can be
 * compared within one era only. 0 if the store states no era.
 */
using StoreEra = std::uint64_t;

/** A state of the store. Ordered by era first, because revisions start again lower after a restore.
 */
struct StorePosition
{
    StoreEra era = 0;
    std::uint64_t revision = 0;

    auto operator<=>(const StorePosition &) const = default;
};

/** A key of the shared store with its value, or the removal of a key. */
struct StoreItem
{
    std::string key;
    std::string value;

    /** Store revision of the key's latest change. */
    std::uint64_t revision = 0;

    bool removed = false;

    bool operator==(const StoreItem &) const = default;
};

/** Items and the store revision that they reflect. */
struct StorePage
{
    std::vector<StoreItem> items;
    std::uint64_t asOf = 0;

    /** Era of the revisions. */
    StoreEra era = 0;

    /** More keys follow; list again after the last one. */
    bool truncated = false;

    StorePosition position() const { return {era, asOf}; }
};

/** Requires that a key has the given revision; 0 requires that it does not exist. */
struct StoreCondition
{
    std::string key;
    std::uint64_t revision = 0;
};

struct StoreWrite
{
    std::string key;
    std::string value;

    /** The key is removed when this lease ends; 0 for no lease. */
    std::uint64_t lease = 0;
};

/** Writes and removals applied atomically if all conditions hold. */
struct StoreTransaction
{
    std::vector<StoreCondition> conditions;
    std::vector<StoreWrite> writes;
    std::vector<std::string> removals;
};

struct StoreLease
{
    std::uint64_t id = 0;
    std::chrono::milliseconds lifetime{0};
};

/**
 * Operations of the platform's key-value store. All of them suspend the calling fiber.
 *
 * Errors: KvUnavailable (not applied), KvOutcomeUnknown (a write that may take effect, even later),
 * KvConflict (a condition did not hold), KvHistoryLost (the watched revision is too old),
 * LeaseLost.
 */
struct SharedStore
{
    /** Current items whose keys begin with @p prefix and follow @p after. */
    std::function<Result<StorePage>(const std::string &prefix, const std::string &after)> list;

    /**
     * Changes after a revision; an empty page if there are none within @p wait. The page may belong
     * to a later era than @p after, and then does not continue from it.
     */
    std::function<Result<StorePage>(const std::string &prefix, StorePosition after,
                                    std::chrono::milliseconds wait)>
        watch;

    /** @returns the revision of the change. */
    std::function<Result<std::uint64_t>(const StoreTransaction &)> commit;

    std::function<Result<StoreLease>(std::chrono::milliseconds lifetime)> grantLease;
    std::function<Result<void>(std::uint64_t lease)> renewLease;
    std::function<Result<void>(std::uint64_t lease)> endLease;
};

} // namespace jy
