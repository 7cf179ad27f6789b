#include "jy_core/limits/CapacityShare.h"

#include <algorithm>
#include <cmath>

namespace jy {

namespace {

using Seconds = std::chrono::duration<double>;

// Weight of one request in the mean time at the servers: the last 20 requests, or those of the last
// second if they are fewer.
constexpr double serviceTimeWeight = 0.05;
constexpr std::chrono::milliseconds serviceTimeConstant{1000};

// Longest result of toDuration(). The share of an instance without callers is next to zero, which
// gives times beyond the range of the clock.
constexpr Seconds longestDuration{3600};

Duration toDuration(double seconds)
{
    return std::chrono::duration_cast<Duration>(std::min(Seconds(seconds), longestDuration));
}

} // namespace

void CapacityShare::requestArrived(TimePoint now)
{
    demand_ = demand(now) + 1 / Seconds(demandTimeConstant).count();
    demandAt_ = std::max(demandAt_, now);
    updateShare(now);
}

void CapacityShare::updateShare(TimePoint now)
{
    const double own = demand(now);
    const double fleet = own + use_.otherDemand;
    share_ = fleet > 0 ? use_.places * own / fleet : use_.places;
}

double CapacityShare::demand(TimePoint now) const
{
    const Seconds passed = std::max(Duration::zero(), now - demandAt_);
    return demand_ * std::exp(-passed / Seconds(demandTimeConstant));
}

void CapacityShare::update(const FleetUse &use, TimePoint now)
{
    use_ = use;
    updateShare(now);
    const Seconds passed = std::max(Duration::zero(), now - updatedAt_);
    const double weight = 1 - std::exp(-passed / Seconds(inFlightTimeConstant));
    fleetInFlight_ += weight * (use_.inFlight - fleetInFlight_);
    updatedAt_ = now;
    const bool isUsed = fleetInFlight_ >= contentionThreshold * use_.places;
    const bool willBeUsed = inDemand(now) && fleetInFlight_ >= minimumUse * use_.places;
    if (use_.places > 0 && (isUsed || willBeUsed))
        noteContention(now);
}

bool CapacityShare::inDemand(TimePoint now) const
{
    const double fleet = demand(now) + use_.otherDemand;
    return fleet * serviceSeconds_ >= contentionThreshold * use_.places;
}

void CapacityShare::serverFull(TimePoint now)
{
    noteContention(now);
}

void CapacityShare::noteContention(TimePoint now)
{
    if (!contended(now)) {
        savedStarts_ = phase_;
        savedAt_ = now;
    }
    contendedUntil_ = now + contentionHold;
}

bool CapacityShare::contended(TimePoint now) const
{
    return contendedUntil_ && now < *contendedUntil_;
}

bool CapacityShare::overloaded(TimePoint now) const
{
    return contended(now) && inDemand(now);
}

int CapacityShare::wholePlaces() const
{
    return static_cast<int>(std::floor(share_));
}

double CapacityShare::pacedRate() const
{
    const double fraction = share_ - wholePlaces();
    return serviceSeconds_ > 0 ? fraction / serviceSeconds_ : 0;
}

double CapacityShare::savedStarts(TimePoint now) const
{
    const Seconds passed = std::max(Duration::zero(), now - savedAt_);
    return std::min(1.0, savedStarts_ + passed.count() * pacedRate());
}

bool CapacityShare::available(TimePoint now)
{
    // Without servers the placement refuses the request.
    if (!contended(now) || use_.places <= 0 || inFlight_ < wholePlaces())
        return true;
    if (inFlight_ > wholePlaces())
        return false;
    // Without a known time at the servers nothing can be paced; one request has to go to learn it.
    return serviceSeconds_ <= 0 ? wholePlaces() == 0 : savedStarts(now) >= 1;
}

void CapacityShare::requestStarted(TimePoint now)
{
    if (contended(now) && inFlight_ >= wholePlaces()) {
        savedStarts_ = std::max(0.0, savedStarts(now) - 1);
        savedAt_ = now;
    }
    ++inFlight_;
}

void CapacityShare::requestFinished(Duration atServers, TimePoint now)
{
    --inFlight_;
    if (atServers <= Duration::zero())
        return;
    const Seconds sinceLast = std::max(Duration::zero(), now - lastFinish_);
    const double aged = 1 - std::exp(-sinceLast / Seconds(serviceTimeConstant));
    const double weight = serviceSeconds_ <= 0 ? 1 : std::max(serviceTimeWeight, aged);
    serviceSeconds_ += weight * (Seconds(atServers).count() - serviceSeconds_);
    lastFinish_ = now;
}

std::optional<TimePoint> CapacityShare::nextAt(TimePoint now) const
{
    const double rate = pacedRate();
    if (!contended(now) || inFlight_ != wholePlaces() || rate <= 0)
        return std::nullopt;
    return now + toDuration((1 - savedStarts(now)) / rate);
}

double CapacityShare::share() const
{
    return share_;
}

Duration CapacityShare::serviceTime() const
{
    return toDuration(serviceSeconds_);
}

Duration CapacityShare::placeInterval() const
{
    return share_ > 0 ? toDuration(serviceSeconds_ / share_) : Duration::zero();
}

} // namespace jy
