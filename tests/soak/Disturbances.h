#pragma once

#include "jy_base/time/TimeTypes.h"

#include <string>
#include <string_view>
#include <vector>

namespace jy::soak {

enum class Origin { Fault, PlannedWork };

/** When which part of the fleet was disturbed. Checks with a time bound hold only where it was
 * not. */
class Disturbances
{
public:
    /** @returns the number that ends this disturbance */
    std::size_t begin(std::string part, Origin origin, TimePoint now);
    void end(std::size_t number, TimePoint now);

    /** Ends all that still go on. */
    void endAll(TimePoint now);

    /** Whether nothing disturbed @p part in the given time. */
    bool calm(std::string_view part, TimePoint from, TimePoint to) const;

    /** Whether nothing disturbed any part; optionally planned work is allowed. */
    bool calmEverywhere(TimePoint from, TimePoint to, bool allowPlannedWork = false) const;

private:
    struct Span
    {
        std::string part;
        Origin origin;
        TimePoint from;
        TimePoint to;

        bool overlaps(TimePoint begin, TimePoint finish) const
        {
            return from <= finish && begin <= to;
        }
    };

    std::vector<Span> spans_;
};

} // namespace jy::soak
