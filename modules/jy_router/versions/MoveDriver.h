#pragma once

#include "jy_core/versions/MoveTable.h"
#include "jy_core/versions/OutcomeCounter.h"
#include "jy_core/versions/OutcomeTable.h"
#include "jy_core/versions/VersionMove.h"
#include "jy_core/versions/VersionSelector.h"

#include <functional>
#include <map>
#include <memory>
#include <string>

namespace jy {

/** A stored value and the index that a compare-and-swap must name. */
struct StoredRecord
{
    std::string value;
    std::uint64_t index = 0;
};

/** What MoveDriver needs of the rest of the router. Hooks may suspend the calling fiber. */
struct MoveDriverDependencies
{
    InstanceId self;
    std::function<std::shared_ptr<const DesiredState>()> desiredState;
    std::function<WallTime()> wallNow;

    /** The live router that coordinates a move. */
    std::function<InstanceId(const MoveId &)> coordinator;

    /** Reads a record; an empty value when there is none. */
    std::function<Result<StoredRecord>(const std::string &key)> read;

    /** Writes a record when the index still holds; index 0 creates it. */
    std::function<Result<void>(const std::string &key, const std::string &value,
                               std::uint64_t index)>
        compareAndSwap;

    /** Sends counts to a coordinator and returns its slow thresholds. */
    std::function<Result<std::map<MoveId, std::chrono::milliseconds>>(
        const InstanceId &coordinator, const std::vector<OutcomeCount> &)>
        sendCounts;

    /** Engines and load of a move's model. */
    std::function<MoveCapacity(const ModelSpec &, const MoveSpec &)> capacity;

    /** Called when the move table changed, to announce it to peers and to update placement. */
    std::function<void()> moveTableChanged;

    /** Records a timeline event. */
    std::function<void(const std::string &kind, const MoveId &move, const std::string &detail)>
        event;
};

/**
 * Drives the version moves of one router: reports outcomes to the coordinators, coordinates the
 * moves that fall to this router, and keeps the move table that selects versions.
 *
 * Hooks may suspend the fiber of tick(), so other fibers may call the remaining functions
 * meanwhile; only tick() removes coordinated moves.
 */
class MoveDriver
{
public:
    MoveDriver(MoveDriverDependencies dependencies, VersionMoveSettings settings);

    /** Time between two calls of tick(). */
    static constexpr std::chrono::milliseconds period = OutcomeCounter::slotLength;

    /** One round: reports, coordination, writes. Called by the router's supervised fiber. */
    void tick();

    /** Counts a finished request that a move covers; called where the request was admitted. */
    void recordOutcome(const MoveOutcome &outcome);

    /** Serves a report of another owner. @returns thresholds for the moves it names. */
    std::map<MoveId, std::chrono::milliseconds>
    receiveCounts(const InstanceId &owner, const std::vector<OutcomeCount> &counts);

    /** Merges what a peer knows. */
    void merge(const std::vector<StopMark> &marks, const std::vector<MoveRecord> &records);

    SelectedVersion select(const ModelSpec &model, const WorkspaceId &workspace,
                           std::uint64_t chatHash) const;

    const MoveTable &moveTable() const { return moveTable_; }

private:
    void applyDesiredState();
    void reportCounts(const MoveSpec &move);
    void coordinate(const ModelSpec &model, const MoveSpec &spec);
    void perform(VersionMove &move, const MoveAction &action);
    void write(VersionMove &move, const MoveRecord &record);
    void reread(VersionMove &move, const std::string &key);
    void adoptRecord(const MoveRecord &record);
    std::chrono::milliseconds slowThresholdOf(const MoveId &move) const;

    MoveDriverDependencies dependencies_;
    VersionMoveSettings settings_;
    MoveTable moveTable_;
    OutcomeTable outcomes_;
    OutcomeCounter counter_;
    std::map<MoveId, VersionMove> coordinated_;
    std::map<MoveId, VersionId> oldVersions_;
    std::uint64_t revision_ = 0;
};

} // namespace jy
