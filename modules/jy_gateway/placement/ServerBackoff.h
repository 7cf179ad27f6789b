#pragma once

#include "jy_base/ids/Ids.h"
#include "jy_base/time/TimeTypes.h"

#include <map>
#include <optional>

namespace jy {

/**
 * Times until which this instance sends no requests to a backend server, because the server refused
 * one with Retry-After.
 *
 * Unlike a server that failed, such a server is not used as a last resort either: if its queue is
 * full, refusing further requests only adds to its load.
 */
class ServerBackoff
{
public:
    /** Upper limit of a back-off. A server that is full for longer leaves its service. */
    static constexpr std::chrono::milliseconds maxDuration{60'000};

    /** @param duration the server's time to return; ignored if it is not positive */
    void begin(const ServerId &server, std::chrono::milliseconds duration, TimePoint now);

    /** @returns the end of the back-off, or nothing if the server is not in one. */
    std::optional<TimePoint> until(const ServerId &server, TimePoint now) const;

    /** Drops the back-offs that have ended. */
    void expire(TimePoint now);

    std::size_t size() const { return until_.size(); }

private:
    std::map<ServerId, TimePoint> until_;
};

} // namespace jy
