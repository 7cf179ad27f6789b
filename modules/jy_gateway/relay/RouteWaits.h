#pragma once

#include <array>
#include <chrono>
#include <cstddef>
#include <string>
#include <unordered_map>

namespace jy {

/**
 * Records how long recent requests of each route waited until their response began or the attempt
 * timed out.
 *
 * Distinguishes a silent server from a route whose requests take longer than the operator's target:
 * the median of a few waits follows the route and is not affected by a single silent server.
 */
class RouteWaits
{
public:
    /** Number of waits kept for each route. */
    static constexpr std::size_t keptWaits = 5;

    /** Maximum number of routes; one configuration has some hundreds. */
    static constexpr std::size_t maxRoutes = 4096;

    void add(const std::string &route, std::chrono::milliseconds wait);

    /**
     * Wait after which a server is considered silent for a request of the route.
     *
     * @param target the route's latency target; lower bound of the result
     */
    std::chrono::milliseconds silenceTimeout(const std::string &route,
                                             std::chrono::milliseconds target) const;

    std::size_t size() const { return routes_.size(); }

private:
    struct Waits
    {
        std::array<std::chrono::milliseconds, keptWaits> last{};
        std::size_t next = 0;
    };

    std::unordered_map<std::string, Waits> routes_;
};

} // namespace jy
