#pragma once

#include "jy_core/membership/MembershipMessages.h"

#include <cstddef>
#include <functional>
#include <map>
#include <vector>

namespace jy {

/**
 * Member changes that still have to be sent to peers.
 *
 * Each change is sent a number of times that is proportional to the logarithm of the fleet's size,
 * so that it reaches every router with high probability; synchronisation delivers the rest. Changes
 * of state are sent before changes of the applied revision, and those sent least often first.
 */
class UpdateQueue
{
public:
    enum class Kind { State, Revision };

    /** Number of times that a change of each kind is sent. */
    struct TransmitLimits
    {
        std::size_t state = 1;
        std::size_t revision = 1;
    };

    /**
     * Queues a change, replacing an older one of the same member.
     *
     * @param fullRecord send the record with its endpoints
     */
    void add(const InstanceId &id, Kind kind, bool fullRecord);

    /**
     * Returns the updates to send next that fit into a number of bytes, and counts them as sent.
     *
     * @param record returns the current record of a member, or nullptr if it has been removed
     */
    std::vector<MemberInfo>
    take(std::size_t bytes, const TransmitLimits &transmitLimits,
         const std::function<const MemberInfo *(const InstanceId &)> &record);

    bool empty() const { return entries_.empty(); }

private:
    struct Entry
    {
        Kind kind = Kind::State;
        bool fullRecord = false;
        std::size_t sent = 0;
    };

    std::map<InstanceId, Entry> entries_;
};

} // namespace jy
