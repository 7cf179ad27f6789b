#pragma once

#include "jy_base/time/TimeTypes.h"
#include "jy_core/versions/EvidenceTable.h"

#include <chrono>
#include <map>
#include <tuple>
#include <vector>

namespace jy {

/** Times to first token above which a request counts as slow. */
struct SlowThresholds
{
    std::chrono::milliseconds cacheHit{1400};
    std::chrono::milliseconds cacheMiss{1400};
};

/**
 * Thresholds from what the old version needed: a multiple of its mean, separately for requests with
 * and without a cached prefix, since chats that have just moved start without one.
 *
 * @returns the service target of 1.4 s where too few requests of the old version are known
 */
SlowThresholds slowThresholds(const OutcomeSum &oldVersion);

/** One finished request of a move, as its owner saw it. */
struct MoveOutcome
{
    MoveId move;
    VersionId version;
    std::string route;
    bool ok = true;
    bool cacheHit = false;
    std::chrono::milliseconds firstToken{0};
};

/** Counts the outcomes that one owner saw, in time slots, for its reports to the coordinator. */
class OutcomeCounter
{
public:
    /** Length of a time slot; two slots a second keep the detection time below 3 s. */
    static constexpr std::chrono::milliseconds slotLength{500};

    /** Slots that are reported again, so that a lost report leaves no gap. */
    static constexpr std::uint64_t reportedSlots = 8;

    /** Number of the slot that contains a wall-clock time. */
    static std::uint64_t slotOf(WallTime wall);

    void record(const MoveOutcome &outcome, WallTime wall);
    void setThresholds(const MoveId &move, SlowThresholds thresholds);

    /** Cumulative counts of the recent slots of a move; drops older ones. */
    std::vector<OutcomeCount> report(const MoveId &move, WallTime wall);

private:
    std::map<MoveId, SlowThresholds> thresholds_;
    std::map<std::tuple<MoveId, std::uint64_t, VersionId, std::string>, OutcomeCount> counts_;
};

} // namespace jy
