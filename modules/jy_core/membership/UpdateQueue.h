#pragma once

#include "jy_core/membership/MembershipMessages.h"

#include <cstddef>
#include <functional>
#include <map>
#include <vector>

namespace jy {

/**
 * Member changes that still have to be passed on.
 *
 * Each change is sent a number of times that grows with the logarithm of the fleet's size, so that
 * it reaches every router with high probability; the rest is repaired by synchronisation. Changes
 * of state go before changes of the applied revision, and less often sent ones first.
 */
class UpdateQueue
{
public:
    enum class Kind { State, Revision };

    /** How often each change is sent. */
    struct Copies
    {
        std::size_t state = 1;
        std::size_t revision = 1;
    };

    /** Queues a change, replacing an older one of the same member. */
    void add(const InstanceId &id, Kind kind, bool fullRecord);

    /**
     * Takes updates that fit into a number of bytes and counts them as sent.
     *
     * @param record returns the current record of a member, or nullptr if it is forgotten
     */
    std::vector<MemberInfo>
    take(std::size_t bytes, const Copies &copies,
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
