#pragma once

#include "jy_base/errors/Error.h"
#include "jy_base/time/TimeTypes.h"

#include <chrono>
#include <string>
#include <string_view>

namespace jy {

/** Idempotency key of a protected call: a UUIDv7 (RFC 9562) in canonical form. */
struct ProtectedKey
{
    /** Lower case, so that two spellings of one key are the same key. */
    std::string text;

    /** The creation time inside the key, to the millisecond. */
    WallTime created;

    bool operator==(const ProtectedKey &) const = default;
};

/** Largest time by which a key may be in the future, for callers whose clock is fast. */
constexpr std::chrono::minutes maxKeyLead{5};

/** @returns KeyInvalid unless @p text is a UUIDv7 of 36 characters. */
Result<ProtectedKey> parseProtectedKey(std::string_view text);

/**
 * Checks the age of a key.
 *
 * @returns KeyExpired when it is older than @p retention, KeyInvalid when it is more than
 *          maxKeyLead in the future
 */
Result<void> checkKeyAge(const ProtectedKey &key, WallTime now,
                         std::chrono::milliseconds retention);

/** The KV key of the record shard: "jy/attempts/BUCKET/SHARD". */
std::string attemptShardKey(const ProtectedKey &key);

/** The prefix of all record shards. */
constexpr std::string_view attemptPrefix = "jy/attempts/";

/**
 * Whether all keys of a shard are older than @p age, so that it can be removed.
 *
 * @param shardKey as of attemptShardKey(); false for any other key
 */
bool isShardOlderThan(std::string_view shardKey, WallTime now, std::chrono::milliseconds age);

} // namespace jy
