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
    /** In lower case, so that keys compare without regard to case. */
    std::string text;

    /** The creation time contained in the key, in milliseconds. */
    WallTime created;

    bool operator==(const ProtectedKey &) const = default;
};

/** How far in the future a key may be, to tolerate callers whose clock is fast. */
constexpr std::chrono::minutes maxKeyClockSkew{5};

/** Parses an idempotency key. @returns KeyInvalid unless @p text is a UUIDv7 of 36 characters. */
Result<ProtectedKey> parseProtectedKey(std::string_view text);

/**
 * Checks the age of a key.
 *
 * @returns KeyExpired when it is older than @p retention, KeyInvalid when it is more than
 *          maxKeyClockSkew in the future
 */
Result<void> checkKeyAge(const ProtectedKey &key, WallTime now,
                         std::chrono::milliseconds retention);

/**
 * The KV key of the shard that holds the record of an idempotency key: "jy/attempts/BUCKET/SHARD".
 * A bucket covers creation times of 10 s, so that old shards can be deleted as a whole.
 */
std::string attemptShardKey(const ProtectedKey &key);

/** The prefix of the KV keys of all attempt shards. */
constexpr std::string_view attemptPrefix = "jy/attempts/";

/**
 * Whether all keys of a shard are older than @p age, so that the shard can be deleted.
 *
 * @param shardKey a key from attemptShardKey(); the result is false for any other key
 */
bool isShardOlderThan(std::string_view shardKey, WallTime now, std::chrono::milliseconds age);

} // namespace jy
