#pragma once

#include "jy_base/errors/Error.h"

#include <chrono>
#include <cstdint>
#include <functional>
#include <string>
#include <vector>

namespace jy {

/** One key of the shared store, or the removal of one. */
struct StoreItem
{
    std::string key;
    std::string value;

    /** Revision of the store at the last change of the key. */
    std::uint64_t revision = 0;

    bool removed = false;
};

/** Items and the revision of the store up to which they are known. */
struct StorePage
{
    std::vector<StoreItem> items;
    std::uint64_t asOf = 0;

    /** More keys follow the last one. */
    bool truncated = false;
};

/** A key that must have the given revision; 0: the key must not exist. */
struct StoreCondition
{
    std::string key;
    std::uint64_t revision = 0;
};

struct StoreWrite
{
    std::string key;
    std::string value;

    /** The key is removed when this lease ends; 0: no lease. */
    std::uint64_t lease = 0;
};

/** Writes that apply together, if all conditions hold. */
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
 * The calls of the platform's store that the product uses. All of them suspend the calling fiber.
 *
 * Errors: KvUnavailable (not applied), KvOutcomeUnknown (a write that may be applied, also later),
 * KvConflict (a condition did not hold), KvHistoryLost (the watched revision is too old),
 * LeaseLost.
 */
struct SharedStore
{
    /** Current items whose keys begin with @p prefix and follow @p after. */
    std::function<Result<StorePage>(const std::string &prefix, const std::string &after)> list;

    /** Changes after @p revision, or an empty page after @p wait. */
    std::function<Result<StorePage>(const std::string &prefix, std::uint64_t revision,
                                    std::chrono::milliseconds wait)>
        watch;

    /** @returns the revision of the change. */
    std::function<Result<std::uint64_t>(const StoreTransaction &)> commit;

    std::function<Result<StoreLease>(std::chrono::milliseconds lifetime)> grantLease;
    std::function<Result<void>(std::uint64_t lease)> renewLease;
    std::function<Result<void>(std::uint64_t lease)> endLease;
};

} // namespace jy
