#include "jy_gateway/peers/FleetClock.h"

#include <algorithm>
#include <vector>

namespace jy {

namespace {

WallTime originOf(WallTime wall, TimePoint now)
{
    return wall - std::chrono::duration_cast<WallTime::duration>(now.time_since_epoch());
}

} // namespace

void FleetClock::addSample(const InstanceId &instance, WallTime stated, TimePoint now)
{
    samples_[instance] = {originOf(stated, now), now};
}

WallTime FleetClock::trueTime(WallTime ownWall, TimePoint now) const
{
    std::vector<WallTime> origins{originOf(ownWall, now)};
    for (const auto &[instance, sample] : samples_)
        origins.push_back(sample.origin);
    const auto middle = origins.begin() + static_cast<std::ptrdiff_t>(origins.size() / 2);
    std::ranges::nth_element(origins, middle);
    return *middle + std::chrono::duration_cast<WallTime::duration>(now.time_since_epoch());
}

void FleetClock::expire(TimePoint now)
{
    std::erase_if(samples_,
                  [&](const auto &entry) { return now - entry.second.received > sampleLifetime; });
}

} // namespace jy
