#pragma once

#include "jy_base/time/TimeTypes.h"
#include "jy_core/protected/AttemptRecord.h"

#include <chrono>
#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace jy {

/** A queued claim, outcome or withdrawal of a shard. */
struct AttemptOperation
{
    enum class Kind { Claim, Outcome, Withdrawal };

    Kind kind = Kind::Claim;
    std::uint64_t ticket = 0;
    std::string key;
    std::string attempt;
    std::uint64_t digest = 0;
    AttemptOutcome outcome;
    TimePoint deadline;
};

/** An AttemptLedger's cached copy of a shard, with its pending write and queued operations. */
struct AttemptShard
{
    enum class Io { Idle, Reading, Swapping };

    Io io = Io::Idle;

    /** entries and index reflect the last read or successful write. */
    bool loaded = false;

    /** The shard was read at least once, so entries includes claims of other routers. */
    bool everLoaded = false;

    /** Modification index of the KV service, for compare-and-swap. */
    std::uint64_t index = 0;
    AttemptEntries entries;

    /** Size of the stored value; an empty JSON array has 2 bytes. */
    std::size_t bytes = 2;

    /** The pending write: entries to set; a null entry is removed. */
    AttemptEntries changes;

    /** Size of the value once the pending write is applied. */
    std::size_t bytesAfterChanges = 2;

    /** The expected index of a write whose response was lost and that may still be applied. */
    std::optional<std::uint64_t> unconfirmedWriteIndex;

    /** A write is needed even without changes: it advances the index, so a lost write fails. */
    bool needsFencingWrite = false;

    /** Operations that wait for the next write. */
    std::vector<AttemptOperation> queue;

    /** Operations of the write in progress. */
    std::vector<AttemptOperation> inFlight;

    /** Time of the next write or, after a failure, of the next read. */
    TimePoint due;

    /** For eviction from the cache. */
    TimePoint lastUsed;

    /** @returns the record of a key after the pending write, or null. */
    const AttemptRecord *find(const std::string &key) const;

    /** Sets an entry in the pending write, or removes it if @p entry is null. */
    void change(const std::string &key, std::shared_ptr<const AttemptEntry> entry);

    /** The shard value that the pending write stores. */
    std::string valueAfterChanges() const;

    /** Applies the pending write to the cached copy after it succeeded. */
    void commitChanges(std::uint64_t newIndex);

    /** Drops the pending write. */
    void discardChanges();

    /** Replaces the cached copy by the result of a read. */
    void load(AttemptEntries newEntries, std::uint64_t newIndex);
};

} // namespace jy
