#pragma once

#include "jy_core/model/DesiredState.h"
#include "jy_core/versions/MoveRecord.h"

#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace jy {

/** Stops new work for the new version of a move. */
struct StopMark
{
    MoveId move;
    VersionId version;
    std::string reason;
    InstanceId foundBy;

    /** Configuration revision in force when the mark was made. */
    std::uint64_t revision = 0;

    auto operator<=>(const StopMark &) const = default;
};

/** Summary that two routers compare to detect that their tables differ. */
struct MoveTableDigest
{
    std::uint32_t count = 0;
    std::uint64_t hash = 0;

    bool operator==(const MoveTableDigest &) const = default;
};

/**
 * What a router knows about moves: stop marks and the latest record of each move.
 *
 * Marks form a grow-only set, and of two records the one with the higher sequence number wins, so
 * tables converge whatever the order of the exchanges, and without the KV service. A mark takes
 * precedence over every record: a move that was recorded as done and marked at the same time is
 * rolled back on every router. A mark is removed only when a newer revision no longer contains its
 * move.
 */
class MoveTable
{
public:
    /** Merges a mark. @returns true if it changed the table. */
    bool addMark(const StopMark &mark);

    /** Merges a record. @returns true if it is newer than the stored one. */
    bool addRecord(const MoveRecord &record);

    /** Removes records and marks of moves that a newer revision no longer contains. */
    void applyDesiredState(const DesiredState &state);

    /** @returns the mark of a move, or nullptr if there is none. */
    const StopMark *mark(const MoveId &move) const;

    /**
     * @returns the stored record, overridden by a mark if there is one. A move without a record is
     *     in the state Planned.
     */
    MoveRecord effectiveRecord(const MoveId &move) const;

    std::vector<StopMark> marks() const;
    std::vector<MoveRecord> records() const;
    MoveTableDigest digest() const;

private:
    std::map<MoveId, StopMark> marks_;
    std::map<MoveId, MoveRecord> records_;
    std::uint64_t revision_ = 0;
    std::map<MoveId, VersionId> desiredMoves_;
};

} // namespace jy
