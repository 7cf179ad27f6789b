#pragma once

#include "jy_base/ids/Ids.h"
#include "jy_base/time/TimeTypes.h"

#include <chrono>
#include <map>
#include <optional>

namespace jy {

/**
 * Limits on requests per second that backend servers named in their responses.
 *
 * A limit is for all instances together and holds for as long as the responses name it.
 */
class ServerRateLimits
{
public:
    /** Shortest time after which a limit is forgotten if no response renews it. */
    static constexpr std::chrono::seconds minLifetime{10};

    /**
     * Records what a response of the server said.
     *
     * @param perSecond nothing if the response named no limit
     * @returns whether the limit changed
     */
    bool observe(const ServerId &server, std::optional<double> perSecond, TimePoint now);

    /** @returns the limit in force, or nothing */
    std::optional<double> limitOf(const ServerId &server, TimePoint now) const;

private:
    struct Limit
    {
        double perSecond = 0;
        TimePoint renewed;
    };

    std::map<ServerId, Limit> limits_;
};

} // namespace jy
