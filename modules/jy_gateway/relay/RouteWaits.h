#pragma once

#include <array>
#include <chrono>
#include <cstddef>
#include <string>
#include <unordered_map>

namespace jy {

/**
 * How long requests of each route lately waited for the begin of their answer, or until they were
 * given up.
 *
 * Tells a server that has gone silent from a route whose requests take longer than the operator's
 * target: the median of a few waits follows the route, and not the one server that is silent.
 */
class RouteWaits
{
public:
    /** Waits that are kept of a route. */
    static constexpr std::size_t keptWaits = 5;

    /** Routes that are remembered; those of one configuration are some hundreds. */
    static constexpr std::size_t maxRoutes = 4096;

    void add(const std::string &route, std::chrono::milliseconds wait);

    /**
     * Time after which a request of the route has waited unusually long.
     *
     * @param target what callers of the route expect, the lower bound
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
