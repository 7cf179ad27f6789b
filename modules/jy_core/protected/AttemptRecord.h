#pragma once

#include "jy_base/errors/Error.h"

#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <string_view>

namespace jy {

/** The response of a protected call, kept for repetitions of its key. */
struct AttemptOutcome
{
    int status = 0;
    std::string contentType;
    std::string body;

    /** The body was too large to be kept. */
    bool bodyOmitted = false;

    bool operator==(const AttemptOutcome &) const = default;
};

/** The claim of one key, and its outcome once there is one. */
struct AttemptRecord
{
    std::string key;

    /** Names the one attempt that may send the call. */
    std::string attempt;

    /** Hash of the request; a repeated key must carry the same request. 0 if it is not known. */
    std::uint64_t digest = 0;

    std::optional<AttemptOutcome> outcome;

    bool operator==(const AttemptRecord &) const = default;
};

/** A record and its text inside a shard value. */
struct AttemptEntry
{
    AttemptRecord record;
    std::string text;
};

/** By key. */
using AttemptEntries = std::map<std::string, std::shared_ptr<const AttemptEntry>>;

std::shared_ptr<const AttemptEntry> makeAttemptEntry(AttemptRecord record);

/** The shard value: a JSON array of the records' texts. */
std::string attemptShardText(const AttemptEntries &entries);

/** @returns Internal for a value that is no list of records. */
Result<AttemptEntries> parseAttemptShard(std::string_view text);

} // namespace jy
