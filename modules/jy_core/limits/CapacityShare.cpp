#include "jy_core/limits/CapacityShare.h"

namespace jy {

void CapacityShare::requestArrived(TimePoint /*now*/) { }

void CapacityShare::update(const FleetUse & /*use*/, TimePoint /*now*/) { }

void CapacityShare::serverFull(TimePoint /*now*/) { }

bool CapacityShare::available(TimePoint /*now*/)
{
    return true;
}

void CapacityShare::requestStarted(TimePoint /*now*/)
{
    ++inFlight_;
}

void CapacityShare::requestFinished(Duration /*atServers*/, TimePoint /*now*/)
{
    --inFlight_;
}

std::optional<TimePoint> CapacityShare::nextAt(TimePoint /*now*/) const
{
    return std::nullopt;
}

bool CapacityShare::contended(TimePoint /*now*/) const
{
    return false;
}

double CapacityShare::share() const
{
    return 0;
}

double CapacityShare::demand(TimePoint /*now*/) const
{
    return 0;
}

Duration CapacityShare::serviceTime() const
{
    return {};
}

Duration CapacityShare::placeInterval() const
{
    return {};
}

} // namespace jy
