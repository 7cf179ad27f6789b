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

/** Short summary that two routers compare to find out whether their tables differ. */
struct MoveTableDigest
{
    std::uint32_t count = 0;
    std::uint64_t hash = 0;

    bool operator==(const MoveTableDigest &) const = default;
};

/**
 * What a router knows about moves: stop marks and the latest record of each move.
 *
 * Marks form a grow-only set and records are merged by the higher sequence, so tables converge in
 * whatever order they meet and without the KV service. A mark outranks every record: a move that
 * was recorded as done and marked at the same time is rolled back on every router. A mark is lifted
 * only when a newer revision no longer contains its move.
 */
class MoveTable
{
public:
    /** Merges a mark. @returns true when it is new. */
    bool addMark(const StopMark &mark);

    /** Merges a record. @returns true when it is newer than the held one. */
    bool addRecord(const MoveRecord &record);

    /** Drops records and marks of moves that a newer revision no longer contains. */
    void applyDesiredState(const DesiredState &state);

    /** The mark of a move, or nullptr. */
    const StopMark *mark(const MoveId &move) const;

    /** The state in force: the record, overridden by a mark. Unknown moves are planned. */
    MoveRecord effective(const MoveId &move) const;

    std::vector<StopMark> marks() const;
    std::vector<MoveRecord> records() const;
    MoveTableDigest digest() const;

private:
    std::map<MoveId, StopMark> marks_;
    std::map<MoveId, MoveRecord> records_;
    std::uint64_t revision_ = 0;
    std::map<MoveId, VersionId> wanted_;
};

} // namespace jy
