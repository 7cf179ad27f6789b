#include "Disturbances.h"

#include <algorithm>

namespace jy::soak {

std::size_t Disturbances::begin(std::string part, Origin origin, TimePoint now)
{
    spans_.push_back({std::move(part), origin, now, TimePoint::max()});
    return spans_.size() - 1;
}

void Disturbances::end(std::size_t number, TimePoint now)
{
    spans_.at(number).to = std::min(spans_.at(number).to, now);
}

void Disturbances::endAll(TimePoint now)
{
    for (auto &span : spans_)
        span.to = std::min(span.to, now);
}

bool Disturbances::undisturbed(std::string_view part, TimePoint from, TimePoint to) const
{
    return std::ranges::none_of(
        spans_, [&](const Span &span) { return span.part == part && span.overlaps(from, to); });
}

bool Disturbances::undisturbedEverywhere(TimePoint from, TimePoint to, bool allowPlannedWork) const
{
    return std::ranges::none_of(spans_, [&](const Span &span) {
        return span.overlaps(from, to) && !(allowPlannedWork && span.origin == Origin::PlannedWork);
    });
}

} // namespace jy::soak
