#pragma once

#include "jy_base/time/TimeTypes.h"

#include <optional>

namespace jy {

/**
 * Decides which requests an instance still passes on to backend servers while it shuts down.
 *
 * At first all of them, because callers learn of the shutdown only when their addresses expire;
 * then those whose time ends before the process does, so that each can be answered.
 */
class ShutdownAdmission
{
public:
    /**
     * Begins the shutdown.
     *
     * @param admitAllUntil when callers have been able to learn of the shutdown
     * @param end when running requests are interrupted
     */
    void begin(TimePoint admitAllUntil, TimePoint end);

    /**
     * Whether a request may be passed on.
     *
     * @param now when the whole request had arrived
     * @param deadline latest end of the request by its caller's and its route's timeout
     */
    bool admits(TimePoint now, TimePoint deadline) const;

private:
    struct Shutdown
    {
        TimePoint admitAllUntil;
        TimePoint end;
    };

    std::optional<Shutdown> shutdown_;
};

} // namespace jy
