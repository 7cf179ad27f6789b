#pragma once

#include "jy_base/time/TimeTypes.h"
#include "jy_core/protected/AttemptRecord.h"

#include <chrono>
#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace jy {

/** A claim, outcome or withdrawal that waits for its shard. */
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

/** What an AttemptLedger knows of one shard of the KV service. */
struct AttemptShard
{
    enum class Io { Idle, Reading, Swapping };

    Io io = Io::Idle;

    /** Entries and index are those of the last read or successful write. */
    bool loaded = false;

    /** The shard was read at least once, so entries holds claims of other routers as well. */
    bool everLoaded = false;

    std::uint64_t index = 0;
    AttemptEntries entries;
    std::size_t bytes = 2;

    /** The pending write: entries to set, or to remove where null. */
    AttemptEntries changes;
    std::size_t bytesAfter = 2;

    /** The expected index of a write whose response was lost and that may still arrive. */
    std::optional<std::uint64_t> lostAtIndex;

    /** A write that changes nothing is needed, because it makes a lost write fail. */
    bool fence = false;

    std::vector<AttemptOperation> queue;
    std::vector<AttemptOperation> inSwap;

    /** When queued operations are written. */
    TimePoint due;
    TimePoint lastUsed;

    /** The entry of a key, with the changes of the write in preparation. */
    const AttemptRecord *find(const std::string &key) const;

    /** Sets or removes an entry in the write in preparation. */
    void change(const std::string &key, std::shared_ptr<const AttemptEntry> entry);

    std::string valueAfterChanges() const;
    void commitChanges(std::uint64_t newIndex);
    void discardChanges();
    void load(AttemptEntries newEntries, std::uint64_t newIndex);
};

} // namespace jy
