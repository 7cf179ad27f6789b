#include "jy_core/protected/ProtectedKey.h"

#include "jy_base/hashing/StableHash.h"

#include <charconv>
#include <cstdint>

namespace jy {

namespace {

using std::chrono::milliseconds;

constexpr std::size_t uuidLength = 36;
constexpr std::size_t versionPosition = 14;
constexpr std::size_t variantPosition = 19;
constexpr std::size_t timestampHexDigits = 12;
constexpr milliseconds bucketLength{10'000};
constexpr std::uint64_t shardsPerBucket = 4;

bool isHyphenPosition(std::size_t position)
{
    return position == 8 || position == 13 || position == 18 || position == 23;
}

char lower(char c)
{
    return c >= 'A' && c <= 'F' ? static_cast<char>(c - 'A' + 'a') : c;
}

bool isHex(char c)
{
    return (c >= '0' && c <= '9') || (c >= 'a' && c <= 'f');
}

milliseconds sinceEpoch(WallTime time)
{
    return std::chrono::duration_cast<milliseconds>(time.time_since_epoch());
}

} // namespace

Result<ProtectedKey> parseProtectedKey(std::string_view text)
{
    const auto invalid = [&](const char *reason) {
        return failure(ErrorKind::KeyInvalid,
                       "idempotency key \"" + std::string(text.substr(0, uuidLength)) + "\" "
                           + reason
                           + "; allowed: a UUIDv7 such as "
                             "0193a1b2-c3d4-7e5f-8a9b-0c1d2e3f4a5b");
    };
    if (text.size() != uuidLength)
        return invalid("does not have 36 characters");
    ProtectedKey key;
    std::string time;
    for (std::size_t i = 0; i < text.size(); ++i) {
        const char c = lower(text[i]);
        if (isHyphenPosition(i) ? c != '-' : !isHex(c))
            return invalid("is not a UUID");
        key.text += c;
        if (!isHyphenPosition(i) && time.size() < timestampHexDigits)
            time += c;
    }
    if (key.text[versionPosition] != '7')
        return invalid("does not have version 7");
    if (const char variant = key.text[variantPosition];
        variant != '8' && variant != '9' && variant != 'a' && variant != 'b')
        return invalid("does not have the variant of RFC 9562");
    std::uint64_t ms = 0;
    std::from_chars(time.data(), time.data() + time.size(), ms, 16);
    // A later time would overflow in the conversion to WallTime, which counts nanoseconds.
    constexpr std::uint64_t maxTimestampMs = 9'000'000'000'000;
    if (ms > maxTimestampMs)
        return invalid("has a time after the year 2255");
    key.created = WallTime{milliseconds{ms}};
    return key;
}

Result<void> checkKeyAge(const ProtectedKey &key, WallTime now, milliseconds retention)
{
    if (key.created + retention < now)
        return failure(ErrorKind::KeyExpired,
                       "the idempotency key is older than " + std::to_string(retention.count())
                           + " ms; an earlier attempt may have run");
    if (key.created > now + maxKeyClockSkew)
        return failure(ErrorKind::KeyInvalid,
                       "the idempotency key is more than 5 minutes in the future");
    return success();
}

std::string attemptShardKey(const ProtectedKey &key)
{
    const auto bucket = sinceEpoch(key.created) / bucketLength;
    return std::string(attemptPrefix) + std::to_string(bucket) + '/'
        + std::to_string(stableHash(key.text) % shardsPerBucket);
}

bool isShardOlderThan(std::string_view shardKey, WallTime now, milliseconds age)
{
    if (!shardKey.starts_with(attemptPrefix))
        return false;
    const auto rest = shardKey.substr(attemptPrefix.size());
    std::int64_t bucket = 0;
    const auto parsed = std::from_chars(rest.data(), rest.data() + rest.size(), bucket);
    if (parsed.ec != std::errc() || parsed.ptr == rest.data() + rest.size() || *parsed.ptr != '/')
        return false;
    const auto end = (bucket + 1) * bucketLength;
    return end + age < sinceEpoch(now);
}

} // namespace jy
