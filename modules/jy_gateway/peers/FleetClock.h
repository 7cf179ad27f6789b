#pragma once

#include "jy_base/ids/Ids.h"
#include "jy_base/time/TimeTypes.h"

#include <map>

namespace jy {

/**
 * Estimates the true time of day from the clocks of all instances.
 *
 * The time of day of a single instance may be wrong by seconds and may jump. The median over the
 * instances is right as long as most clocks are. All times of the monotonic clock are bootTime().
 */
class FleetClock
{
public:
    /** Records the time of day that another instance stated in a message just received. */
    void addSample(const InstanceId &instance, WallTime stated, TimePoint now);

    /** The estimated time of day. @param ownWall time of day of this instance */
    WallTime trueTime(WallTime ownWall, TimePoint now) const;

    /** Forgets instances that have not stated a time for sampleLifetime. */
    void expire(TimePoint now);

private:
    /** Instances state their time in complete heartbeats, which are about 5 s apart. */
    static constexpr std::chrono::seconds sampleLifetime{20};

    struct Sample
    {
        /** Time of day at the origin of the monotonic clock. */
        WallTime origin;
        TimePoint received;
    };

    std::map<InstanceId, Sample> samples_;
};

} // namespace jy
