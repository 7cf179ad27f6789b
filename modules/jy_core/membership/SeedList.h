#pragma once

#include "jy_base/time/TimeTypes.h"
#include "jy_core/model/Endpoint.h"

#include <functional>
#include <map>
#include <vector>

namespace jy {

/**
 * Gossip endpoints that may belong to routers, from the settings and the instance list.
 *
 * The list is only a hint: a router becomes a member when it replies at one of the endpoints.
 * Endpoints that do not reply are retried with exponential back-off, so that a wrong list causes
 * little traffic.
 */
class SeedList
{
public:
    static constexpr std::chrono::seconds initialDelay{1};
    static constexpr std::chrono::seconds maxDelay{30};

    explicit SeedList(const std::vector<Endpoint> &fixed);

    /** Replaces the endpoints from the instance list; keeps the back-off of those that stay. */
    void setListed(const std::vector<Endpoint> &listed);

    /** @returns up to @p count endpoints to ping now, except those for which @p known is true. */
    std::vector<Endpoint> due(TimePoint now, std::size_t count,
                              const std::function<bool(const Endpoint &)> &known);

private:
    struct Entry
    {
        bool fixed = false;
        bool listed = false;
        TimePoint nextAttempt;
        Duration delay = initialDelay;
    };

    std::map<Endpoint, Entry> entries_;
};

} // namespace jy
