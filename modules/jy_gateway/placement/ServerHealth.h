#pragma once

#include "jy_base/ids/Ids.h"
#include "jy_base/time/TimeTypes.h"

#include <map>
#include <unordered_map>

namespace jy {

/** Result of a request to a backend server, as far as it indicates the health of the server. */
enum class ServerOutcome {
    Succeeded, /**< a usable response */
    Failed, /**< an error status, or a response that broke off */
    Unreachable, /**< the connection failed */
    TimedOut, /**< no response in time */
};

/** Requests that ended at one backend server; the counts decay with time. */
struct ServerOutcomeCounts
{
    double succeeded = 0;
    double failed = 0;

    bool operator==(const ServerOutcomeCounts &) const = default;
};

using OutcomeCountsByServer = std::map<ServerId, ServerOutcomeCounts>;

/**
 * Passive health checks of the backend servers, based on the requests of all instances.
 *
 * In a large fleet, a single instance sends a server too few requests to notice that it fails part
 * of them, so instances exchange their outcome counts. Requests of this instance have a higher
 * weight, because a server may fail for some callers only. In addition, a server that this instance
 * cannot reach, or that does not respond in time, is excluded for a time that doubles with each
 * further failure.
 *
 * All outcome counts decay at the same rate, so the sum over the other instances is kept as one
 * decaying count per server and the cost of reading it does not depend on the size of the fleet.
 */
class ServerHealth
{
public:
    /** Time for which a server is excluded after its first failure of this kind. */
    static constexpr std::chrono::milliseconds initialExclusion{400};
    static constexpr std::chrono::milliseconds maxExclusion{3000};

    void record(const ServerId &server, ServerOutcome outcome, TimePoint now);

    /** @returns the outcome counts of this instance for the other ones, without servers that had no
     * recent requests */
    OutcomeCountsByServer outcomes(TimePoint now) const;

    /** Replaces the outcome counts that another instance reported. */
    void setPeerOutcomes(const InstanceId &instance, OutcomeCountsByServer outcomes, TimePoint now);

    /** Replaces the sum of outcome counts that a group of other instances reported. */
    void setGroupOutcomes(std::size_t group, OutcomeCountsByServer outcomes, TimePoint now);

    /**
     * Sums the outcome counts of the group of this instance: its own ones and the reports of single
     * instances.
     *
     * @returns only servers with a failure anywhere in the fleet; others need no report, because
     *          their failure rate is zero
     */
    OutcomeCountsByServer ownGroup(TimePoint now) const;

    /** Drops all reports; called when the groups of the fleet change. */
    void clearReports();

    /** Drops the reports of instances and groups that have not been renewed in time. */
    void expire(TimePoint now);

    std::size_t reportingInstances() const { return peers_.size(); }

    /** Whether the server is excluded after connection failures or timeouts. */
    bool isExcluded(const ServerId &server, TimePoint now) const;

    /** Share of recent requests that failed, over all instances. */
    double failureRate(const ServerId &server, TimePoint now) const;

    void forget(const ServerId &server) { servers_.erase(server); }

private:
    struct State
    {
        ServerOutcomeCounts outcomes;
        TimePoint updated;
        TimePoint excludedUntil;
        int failuresInRow = 0;
    };

    struct PeerOutcomes
    {
        OutcomeCountsByServer outcomes;
        TimePoint received;
    };

    /** Outcome counts of the other instances for one server as of a point in time. */
    struct DecayingSum
    {
        ServerOutcomeCounts outcomes;
        TimePoint updated;

        void decayTo(TimePoint now);
    };

    void replace(PeerOutcomes &report, OutcomeCountsByServer outcomes, TimePoint now);
    bool anyFailure(const ServerId &server, TimePoint now) const;
    void addToSum(const PeerOutcomes &peer);
    void subtractFromSum(const PeerOutcomes &peer, TimePoint now);

    std::map<ServerId, State> servers_;
    std::map<InstanceId, PeerOutcomes> peers_;
    std::map<std::size_t, PeerOutcomes> groups_;
    std::unordered_map<ServerId, DecayingSum> peerSum_;
};

} // namespace jy
