#pragma once

#include "jy_core/model/DesiredState.h"
#include "jy_core/versions/CanaryAnalyzer.h"
#include "jy_core/versions/MoveRecord.h"

#include <optional>
#include <string>
#include <variant>
#include <vector>

namespace jy {

/** Timing and analysis settings of a version move. */
struct VersionMoveSettings
{
    /** Shortest time between two increases of the share. */
    std::chrono::milliseconds minimumStep{1000};

    /** Longest time between two increases of the share, if the capacity allows one. */
    std::chrono::milliseconds maximumStep{60000};

    /** Time before the deadline by which the last step should be taken. */
    std::chrono::milliseconds deadlineMargin{2000};

    CanaryAnalyzerSettings canary;
};

/** Engine capacity and load at the time of a tick. */
struct MoveCapacity
{
    /** Number of ready engines that run the new version. */
    int newEngines = 0;

    /** Sum of the concurrency limits of engines with the new version. */
    int newLimit = 0;

    /** Requests in flight on both versions. */
    int inFlight = 0;
};

/** Requests a compare-and-swap write of the record; its result goes to onRecordWritten(). */
struct WriteMoveRecord
{
    MoveRecord record;
};

/** Requests a stop mark, which must not wait for the KV service. */
struct RaiseStopMark
{
    MoveId move;
    VersionId version;
    std::string reason;
};

using MoveAction = std::variant<WriteMoveRecord, RaiseStopMark>;

/** Result of a requested write. */
enum class RecordWriteResult {
    Written,
    Conflict, /**< another coordinator wrote first; adopt() has taken over its record */
    Failed, /**< not written or unknown; the record was read again if possible */
};

/**
 * State machine of one version move, run by its coordinator.
 *
 * It proposes one record at a time and changes its state only when the write is confirmed or a
 * record with a higher sequence number is adopted. Several coordinators may run at once:
 * compare-and-swap lets one of them win each step, and the others adopt its record. On a fault, the
 * coordinator raises a stop mark, which does not need the KV service; the record follows as soon as
 * it can be written.
 */
class VersionMove
{
public:
    VersionMove(VersionMoveSettings settings, MoveSpec spec);

    const MoveRecord &record() const { return record_; }
    const MoveSpec &spec() const { return spec_; }

    /** Takes over a record from the KV service or a peer if its sequence number is higher. */
    void adopt(const MoveRecord &record);

    /**
     * Advances the move.
     *
     * @param lastSlot newest slot for which all reports should have arrived
     * @param stopped true if the move has a stop mark
     */
    std::vector<MoveAction> tick(const OutcomeTable &outcomes, std::uint64_t lastSlot,
                                 const MoveCapacity &capacity, bool stopped, WallTime now);

    void onRecordWritten(RecordWriteResult result, const MoveRecord &written);

private:
    std::optional<MoveRecord> nextRecord(const CanaryResult &result, const MoveCapacity &capacity,
                                         WallTime now) const;
    std::optional<MoveRecord> nextShare(const MoveCapacity &capacity, WallTime now) const;
    MoveRecord step(MoveState state, double share, std::string reason, WallTime now) const;
    bool isFinal() const;

    VersionMoveSettings settings_;
    MoveSpec spec_;
    MoveRecord record_;
    CanaryAnalyzer analyzer_;
    bool writePending_ = false;
    bool markRaised_ = false;
};

/**
 * Returns true if a chat uses the new version at a given share.
 *
 * The result depends only on the move, the chat and the share. The share never decreases during a
 * move, so each chat changes version once, and all routers agree without exchanging messages.
 */
bool chatUsesNewVersion(const MoveId &move, std::uint64_t chatHash, double share);

/** Estimated time to load the new version for a move; see checkLoadPlan(). */
struct LoadPlan
{
    /** Time to load all engines at the transfer rate of the weight store. */
    std::chrono::milliseconds loadTime{0};

    /** Set if loading leaves less than half of the time for the canary analysis and the move. */
    std::optional<std::string> warning;
};

/**
 * Checks that the engines of a move can load the new version before its deadline.
 *
 * @param engines number of engines that must load the new version
 * @param bytesPerSecond transfer rate of the weight store; 0 means unlimited
 * @returns the plan, or ConfigInvalid if loading alone takes until the deadline or longer
 */
Result<LoadPlan> checkLoadPlan(const MoveSpec &move, std::uint64_t weightBytes, int engines,
                               std::uint64_t bytesPerSecond, WallTime now);

} // namespace jy
