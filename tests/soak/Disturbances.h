#pragma once

#include "jy_base/time/TimeTypes.h"

#include <string>
#include <string_view>
#include <vector>

namespace jy::soak {

enum class Origin { Fault, PlannedWork };

/** Records which part of the fleet was disturbed and when. Checks with a time bound apply only to
 * undisturbed parts. */
class Disturbances
{
public:
    /** @returns the number to pass to end() */
    std::size_t begin(std::string part, Origin origin, TimePoint now);
    void end(std::size_t number, TimePoint now);

    /** Ends every active disturbance. */
    void endAll(TimePoint now);

    /** @returns whether no disturbance of @p part overlaps the given time */
    bool undisturbed(std::string_view part, TimePoint from, TimePoint to) const;

    /** @returns whether no disturbance of any part overlaps the given time; with
     * @p allowPlannedWork, only faults count */
    bool undisturbedEverywhere(TimePoint from, TimePoint to, bool allowPlannedWork = false) const;

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
