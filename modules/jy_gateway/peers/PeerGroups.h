#pragma once

#include "jy_base/ids/Ids.h"

#include <cstddef>
#include <vector>

namespace jy {

/**
 * Two-level dissemination: heartbeats to all members of a group, aggregated reports between groups.
 *
 * When each instance sends heartbeats to every other one, either their processor time or the age of
 * the counts grows linearly with the fleet. With groups both grow with its square root: an instance
 * sends heartbeats to its own group, and each member sends the aggregate of the group to about one
 * member of every other group. No instance has a special role. The group is derived from the hash
 * of the instance's id, so it does not change when others join or leave, and each group spans all
 * failure domains.
 */
class PeerGroups
{
public:
    /** Largest number of instances that form a single group. */
    static constexpr std::size_t maxUngroupedInstances = 128;

    /** Smallest expected size of a group; the number of groups is a power of two. */
    static constexpr std::size_t targetGroupSize = 16;

    /** @returns the number of groups for a fleet of this size; 1 for a fleet without groups */
    static std::size_t groupCountFor(std::size_t instances);

    /** @returns the index of the group of an instance, less than @p count */
    static std::size_t groupOf(const InstanceId &id, std::size_t count);

    /**
     * Members of another group to which an instance sends the reports about its own group.
     *
     * @param rank position of the instance among the live members of its group
     * @param size number of live members of its group
     * @param others members of the other group, in the same order on all instances
     */
    static std::vector<InstanceId> reportReceivers(std::size_t rank, std::size_t size,
                                                   const std::vector<InstanceId> &others);
};

} // namespace jy
