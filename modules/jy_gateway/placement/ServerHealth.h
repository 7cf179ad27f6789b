#pragma once

#include "jy_base/ids/Ids.h"
#include "jy_base/time/TimeTypes.h"

#include <map>
#include <set>

namespace jy {

/** How one request to a backend server ended, as far as it tells something about the server. */
enum class ServerOutcome {
    Answered, /**< a usable answer */
    Failed, /**< a failure status, or an answer that broke off */
    Unreachable, /**< no connection */
    Silent, /**< no answer in time */
};

/**
 * Passive health of the backend servers, from the requests of this instance.
 *
 * A server that cannot be reached or stays silent is left out for a time that doubles with each
 * further failure. A server that fails part of its requests gets a penalty that grows with the
 * difference between its failure rate and that of its peers, so that failures that all servers of a
 * service share do not count against one.
 */
class ServerHealth
{
public:
    /** First time for which an unreachable server is left out. */
    static constexpr std::chrono::milliseconds firstPause{400};
    static constexpr std::chrono::milliseconds longestPause{3000};

    void record(const ServerId &server, ServerOutcome outcome, TimePoint now);

    /** Whether the server is left out now. */
    bool paused(const ServerId &server, TimePoint now) const;

    /** Smoothed share of requests that failed. */
    double failureRate(const ServerId &server, TimePoint now) const;

    void forget(const ServerId &server) { servers_.erase(server); }

private:
    struct State
    {
        double failureRate = 0;
        TimePoint lastSample;
        TimePoint pausedUntil;
        int failuresInRow = 0;
    };

    std::map<ServerId, State> servers_;
};

} // namespace jy
