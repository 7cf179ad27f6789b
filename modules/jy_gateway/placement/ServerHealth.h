#pragma once

#include "jy_base/ids/Ids.h"
#include "jy_base/time/TimeTypes.h"

#include <map>
#include <unordered_map>

namespace jy {

/** How one request to a backend server ended, as far as it tells something about the server. */
enum class ServerOutcome {
    Answered, /**< a usable answer */
    Failed, /**< a failure status, or an answer that broke off */
    Unreachable, /**< no connection */
    Silent, /**< no answer in time */
};

/** Requests that ended at one backend server, weighted by their age. */
struct ServerOutcomeCounts
{
    double answered = 0;
    double failed = 0;

    bool operator==(const ServerOutcomeCounts &) const = default;
};

using OutcomeCountsByServer = std::map<ServerId, ServerOutcomeCounts>;

/**
 * Passive health of the backend servers, from the requests of all instances.
 *
 * One instance of many sees a server too rarely to notice that it fails part of its requests, so
 * instances tell each other what they saw. Own requests count more, because a server may fail for
 * some callers only. A server that this instance cannot reach, or that stays silent, is besides
 * left out for a time that doubles with each further failure.
 *
 * All outcome counts decay at the same rate, so the sum over the other instances is kept as one
 * fading count a server and reading it costs the same at any size of the fleet.
 */
class ServerHealth
{
public:
    /** First time for which an unreachable server is left out. */
    static constexpr std::chrono::milliseconds firstPause{400};
    static constexpr std::chrono::milliseconds longestPause{3000};

    void record(const ServerId &server, ServerOutcome outcome, TimePoint now);

    /** What this instance saw, for the others; servers without recent requests are left out. */
    OutcomeCountsByServer outcomes(TimePoint now) const;

    /** Replaces what another instance saw. */
    void setPeerOutcomes(const InstanceId &instance, OutcomeCountsByServer outcomes, TimePoint now);

    /** Replaces what a group of other instances saw together. */
    void setGroupOutcomes(std::size_t group, OutcomeCountsByServer outcomes, TimePoint now);

    /**
     * What the own group saw: this instance and those that report singly.
     *
     * @returns servers of which somebody in the fleet saw a failure; the others have a failure rate
     *          of zero without it
     */
    OutcomeCountsByServer ownGroup(TimePoint now) const;

    /** Forgets all reports, because the groups of the fleet have changed. */
    void clearReports();

    /** Drops what instances saw that have been silent for too long. */
    void expire(TimePoint now);

    std::size_t reportingInstances() const { return peers_.size(); }

    /** Whether the server is left out now. */
    bool paused(const ServerId &server, TimePoint now) const;

    /** Share of the recent requests of all instances that failed. */
    double failureRate(const ServerId &server, TimePoint now) const;

    void forget(const ServerId &server) { servers_.erase(server); }

private:
    struct State
    {
        ServerOutcomeCounts outcomes;
        TimePoint updated;
        TimePoint pausedUntil;
        int failuresInRow = 0;
    };

    struct PeerOutcomes
    {
        OutcomeCountsByServer outcomes;
        TimePoint received;
    };

    /** Outcome counts of the other instances about one server, as of a time. */
    struct FadingSum
    {
        ServerOutcomeCounts outcomes;
        TimePoint updated;

        void fadeTo(TimePoint now);
    };

    void replace(PeerOutcomes &report, OutcomeCountsByServer outcomes, TimePoint now);
    bool anyFailure(const ServerId &server, TimePoint now) const;
    void addToSum(const PeerOutcomes &peer);
    void takeFromSum(const PeerOutcomes &peer, TimePoint now);

    std::map<ServerId, State> servers_;
    std::map<InstanceId, PeerOutcomes> peers_;
    std::map<std::size_t, PeerOutcomes> groups_;
    std::unordered_map<ServerId, FadingSum> peerSum_;
};

} // namespace jy
