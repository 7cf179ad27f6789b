#pragma once

#include "jy_base/ids/Ids.h"

#include <cstdint>
#include <map>
#include <string>
#include <tuple>
#include <vector>

namespace jy {

/** Outcome counts of one version on one route in one time slot, from one owner. */
struct OutcomeCount
{
    MoveId move;
    VersionId version;
    std::string route;

    /** Wall-clock time divided by OutcomeCounter::slotLength, which is equal on all routers. */
    std::uint64_t slot = 0;

    std::uint32_t requests = 0;
    std::uint32_t errors = 0;

    /** Timed requests whose time to first token exceeded the slow threshold. */
    std::uint32_t slow = 0;

    /**
     * Timed requests: successful ones that reused a cached prefix at an engine past its cold-start
     * ramp. Chats that have just moved start without a cached prefix, so the time to first token of
     * other requests depends on the length of the prompt more than on the version.
     */
    std::uint32_t timed = 0;

    /** Sum of the times to first token of timed requests. */
    std::uint64_t firstTokenMs = 0;

    bool operator==(const OutcomeCount &) const = default;
};

/** Outcome counts added up over owners, and over routes or slots where stated. */
struct OutcomeSum
{
    std::uint64_t requests = 0;
    std::uint64_t errors = 0;
    std::uint64_t slow = 0;
    std::uint64_t timed = 0;
    std::uint64_t firstTokenMs = 0;

    OutcomeSum &operator+=(const OutcomeSum &other);
};

/**
 * Sums the outcome reports of all owners for the moves that this router analyses.
 *
 * Each owner reports cumulative counts per slot, so repeated, late and reordered reports do no
 * harm: the report with the most requests of a slot wins. Slots older than the retained window are
 * discarded.
 */
class OutcomeTable
{
public:
    /** Number of slots kept per move; reports of older slots are ignored. */
    static constexpr std::uint64_t retainedSlots = 240;

    void add(const InstanceId &owner, const OutcomeCount &count);

    /** @returns the routes with a report of either version of the move. */
    std::vector<std::string> routes(const MoveId &move) const;

    /** @returns the sum of one slot over all owners; an empty route sums all routes. */
    OutcomeSum sum(const MoveId &move, const VersionId &version, const std::string &route,
                   std::uint64_t slot) const;

    /** @returns the sum of all retained slots of a version over all routes. */
    OutcomeSum total(const MoveId &move, const VersionId &version) const;

    void forget(const MoveId &move);

private:
    using OwnerCounts = std::map<InstanceId, OutcomeSum>;
    using SeriesKey = std::tuple<VersionId, std::string, std::uint64_t>;

    struct MoveCounts
    {
        std::uint64_t newestSlot = 0;
        std::map<SeriesKey, OwnerCounts> counts;
    };

    std::map<MoveId, MoveCounts> moves_;
};

} // namespace jy
