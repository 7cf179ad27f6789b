#pragma once

#include "jy_base/ids/Ids.h"
#include "jy_base/time/TimeTypes.h"

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <map>
#include <vector>

namespace jy {

/** Requests per second of callers, by serviceHash(). */
using DemandByService = std::map<std::uint32_t, double>;

/** Hash that identifies a service in heartbeats. */
std::uint32_t serviceHash(const ServiceId &service);

/**
 * Demand of callers at the other instances, as they report it in heartbeats.
 *
 * The report of an instance that is silent expires, so that the others take over its share of the
 * places. An instance that hears from nobody is itself disconnected and keeps the last reports: its
 * share must not grow while the others serve as before.
 */
class DemandTable
{
public:
    /** Age above which the report of an instance expires; several heartbeats may be lost. */
    static constexpr std::chrono::milliseconds instanceLifetime{2000};

    /** Age above which the report of a group expires, see PeerTable::reportLifetime. */
    static constexpr std::chrono::milliseconds groupLifetime{3500};

    /** Number of reports that this instance receives while all others are alive. */
    struct Expected
    {
        /** Other instances in the own group; all others in a fleet without groups. */
        std::size_t instances = 0;

        /** Groups other than the own one. */
        std::size_t groups = 0;
    };

    /** Replaces the report of another instance of the own group. */
    void setInstance(const InstanceId &instance, DemandByService demand, TimePoint now);

    /** Replaces the sum that another group reported. */
    void setGroup(std::size_t group, DemandByService demand, TimePoint now);

    /** Drops all reports; called when the groups of the fleet change. */
    void clear();

    /** Drops the reports that have expired. */
    void expire(TimePoint now);

    /**
     * Estimates the demand at all other instances. An instance or group without a report counts
     * with the mean of those that have one; if nobody has, like this instance.
     *
     * @param own demand at this instance
     */
    double others(const ServiceId &service, double own, const Expected &expected) const;

    /** Sum over the own group: @p own and the reports of its other instances. */
    DemandByService groupSum(DemandByService own) const;

private:
    struct Report
    {
        DemandByService demand;
        TimePoint received;
    };

    void noteReceived(TimePoint now);

    std::map<InstanceId, Report> instances_;
    std::map<std::size_t, Report> groups_;
    TimePoint lastReceived_;
};

} // namespace jy
