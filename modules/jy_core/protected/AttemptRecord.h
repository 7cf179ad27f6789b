#pragma once

#include "jy_base/errors/Error.h"

#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <string_view>

namespace jy {

/** The recorded response of a protected call, returned when its key is used again. */
struct AttemptOutcome
{
    int status = 0;
    std::string contentType;
    std::string body;

    /** The body was too large to be recorded. */
    bool bodyOmitted = false;

    bool operator==(const AttemptOutcome &) const = default;
};

/** The claim of an idempotency key by an attempt, and the outcome once the call has completed. */
struct AttemptRecord
{
    std::string key;

    /** Id of the only attempt that may send the call. */
    std::string attempt;

    /** Hash of the request, to reject a key that is reused for another one. 0 if unknown. */
    std::uint64_t digest = 0;

    std::optional<AttemptOutcome> outcome;

    bool operator==(const AttemptRecord &) const = default;
};

/** A record and its JSON text, cached because every write of the shard needs it. */
struct AttemptEntry
{
    AttemptRecord record;
    std::string text;
};

/** The entries of a shard by idempotency key. */
using AttemptEntries = std::map<std::string, std::shared_ptr<const AttemptEntry>>;

/** Serialises a record. */
std::shared_ptr<const AttemptEntry> makeAttemptEntry(AttemptRecord record);

/** Builds the shard value, a JSON array of the records. */
std::string attemptShardText(const AttemptEntries &entries);

/** Parses a shard value. @returns Internal unless it is a JSON array of valid records. */
Result<AttemptEntries> parseAttemptShard(std::string_view text);

} // namespace jy
