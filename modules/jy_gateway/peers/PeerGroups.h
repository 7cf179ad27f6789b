#pragma once

#include "jy_base/ids/Ids.h"

#include <cstddef>
#include <vector>

namespace jy {

/**
 * Two-level dissemination: full exchange within a group, aggregates between groups.
 *
 * With heartbeats from each instance to every other one, either their processor time or the age of
 * counts grows with the fleet. With groups both grow with its square root: an instance sends
 * heartbeats to its group, and each member sends the aggregate of the group to one member of every
 * other group. No instance has a special role. The group follows from the hash of the id, so it
 * does not change when others join or leave, and each group spans all failure domains.
 */
class PeerGroups
{
public:
    /** Largest fleet without groups. */
    static constexpr std::size_t largestFlatFleet = 128;

    /** Expected members of a group; the number of groups is a power of two. */
    static constexpr std::size_t usualMembers = 16;

    /** @returns 1 for a fleet without groups. */
    static std::size_t countFor(std::size_t instances);

    /** @returns a number below @p count. */
    static std::size_t groupOf(const InstanceId &id, std::size_t count);

    /**
     * Members of another group that an instance sends the aggregate of its own group to.
     *
     * @param rank of the instance among the live members of its group, which has @p size of them
     * @param others members of the other group, in the same order everywhere
     */
    static std::vector<InstanceId> partners(std::size_t rank, std::size_t size,
                                            const std::vector<InstanceId> &others);
};

} // namespace jy
