#pragma once

#include "jy_core/model/DesiredState.h"
#include "jy_core/versions/CanaryAnalyzer.h"
#include "jy_core/versions/MoveRecord.h"

#include <optional>
#include <string>
#include <variant>
#include <vector>

namespace jy {

/** Pace of a move. */
struct VersionMoveSettings
{
    /** Shortest time between two growths of the share. */
    std::chrono::milliseconds minimumStep{1000};

    /** Longest time between two growths of the share. */
    std::chrono::milliseconds maximumStep{60000};

    /** Time before the deadline at which the last step must be taken. */
    std::chrono::milliseconds deadlineMargin{2000};

    CanaryAnalyzerSettings canary;
};

/** What the move knows of the engines at each tick. */
struct MoveCapacity
{
    /** Ready engines that run the new version. */
    int newEngines = 0;

    /** Sum of the concurrency limits of engines with the new version. */
    int newLimit = 0;

    /** Requests in flight at both versions. */
    int inFlight = 0;
};

/** Asks for the record to be written by compare-and-swap; answered by onRecordWritten(). */
struct WriteMoveRecord
{
    MoveRecord record;
};

/** Asks for a stop mark, which must not wait for the KV service. */
struct RaiseStopMark
{
    MoveId move;
    VersionId version;
    std::string reason;
};

using MoveAction = std::variant<WriteMoveRecord, RaiseStopMark>;

/** How a requested write ended. */
enum class RecordWriteResult {
    Written,
    Conflict, /**< another coordinator wrote; the held record was replaced through adopt() */
    Failed, /**< not written, or unknown; the record was reread if that was possible */
};

/**
 * One version move at its coordinator.
 *
 * The machine proposes one record at a time and changes its state only when the write is confirmed
 * or a higher record is adopted. Several coordinators may run at once; compare-and-swap lets one of
 * them win each step and the others adopt its record. A fault is stopped by a mark, which needs no
 * KV service; the record follows when it can be written.
 */
class VersionMove
{
public:
    VersionMove(VersionMoveSettings settings, MoveSpec spec);

    const MoveRecord &record() const { return record_; }
    const MoveSpec &spec() const { return spec_; }

    /** Takes over a record read from the KV service or learned from a peer. */
    void adopt(const MoveRecord &record);

    /** Advances the move. @param lastSlot newest slot for which all reports should be in. */
    std::vector<MoveAction> tick(const OutcomeTable &outcomes, std::uint64_t lastSlot,
                                 const MoveCapacity &capacity, bool stopped, WallTime now);

    void onRecordWritten(RecordWriteResult result, const MoveRecord &written);

private:
    std::optional<MoveRecord> nextRecord(const CanaryVerdict &verdict, const MoveCapacity &capacity,
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
 * Whether a chat uses the new version at a given share.
 *
 * The hash depends on the move and the chat only and shares only grow, so each chat moves once and
 * all routers agree without messages.
 */
bool chatUsesNewVersion(const MoveId &move, std::uint64_t chatHash, double share);

/** Error of a move whose loads cannot finish in time; see checkLoadPlan(). */
struct LoadPlan
{
    /** Time to load every engine at the rate of the weight store. */
    std::chrono::milliseconds loadTime{0};

    /** Set when the plan leaves less than half of the time for canary analysis and moving. */
    std::optional<std::string> warning;
};

/**
 * Plans the loads of a move against the weight store's rate.
 *
 * @param engines engines that must load the new version
 * @param bytesPerSecond rate of the weight store; 0 means unlimited
 * @returns the plan, or ConfigInvalid when the loads alone outlast the deadline
 */
Result<LoadPlan> checkLoadPlan(const MoveSpec &move, std::uint64_t weightBytes, int engines,
                               std::uint64_t bytesPerSecond, WallTime now);

} // namespace jy
