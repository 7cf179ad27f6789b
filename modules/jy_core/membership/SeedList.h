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
 * The list is only a hint: an endpoint becomes a member when a router there answers. Endpoints
 * without an answer are tried with a back-off, so that a wrong list costs little traffic.
 */
class SeedList
{
public:
    static constexpr std::chrono::seconds firstDelay{1};
    static constexpr std::chrono::seconds largestDelay{30};

    explicit SeedList(const std::vector<Endpoint> &fixed);

    /** Replaces the endpoints from the instance list; keeps the back-off of those that stay. */
    void setListed(const std::vector<Endpoint> &listed);

    /** Endpoints to ping now, at most @p count. Those that @p known accepts are skipped. */
    std::vector<Endpoint> due(TimePoint now, std::size_t count,
                              const std::function<bool(const Endpoint &)> &known);

private:
    struct Entry
    {
        bool fixed = false;
        bool listed = false;
        TimePoint nextTry;
        Duration delay = firstDelay;
    };

    std::map<Endpoint, Entry> entries_;
};

} // namespace jy
