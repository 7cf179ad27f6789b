#pragma once

#include "jy_gateway/limits/ColdAllowance.h"
#include "jy_gateway/placement/LoadTable.h"
#include "jy_gateway/placement/PromptCacheIndex.h"
#include "jy_gateway/placement/ServerBackoff.h"
#include "jy_gateway/placement/ServerHealth.h"
#include "jy_gateway/placement/StallDetector.h"
#include "jy_gateway/registry/FleetView.h"

#include <cstdint>
#include <optional>
#include <set>
#include <string>

namespace jy {

/** What the choice of a backend server depends on. */
struct PlacementQuery
{
    ServiceId service;

    /** Hash of the shared part of the prompt; 0 for requests without one. */
    std::uint64_t affinity = 0;

    /** Tokens of the shared parts, which a server that has not cached them must read. */
    std::int64_t sharedTokens = 0;

    /** Servers that are known to have that part cached; they go before the others, but not
     * before the home by the hash if that can copy the part. */
    std::vector<PromptCacheLocation> holders;

    /** Servers that this request was already sent to. */
    std::set<ServerId> tried;
};

enum class PlacementReason {
    Home, /**< the first server that has the shared part of the prompt or should have it */
    Spilled, /**< the servers before it in rank are too busy */
    LeastLoaded,
    NoServer, /**< no server of the service may get requests */
    AllTried,
    AllCold, /**< what is left is cold and its allowance is spent */
    AllFull,
    AllBackingOff, /**< all refused lately with a time to return */
};

struct Placement
{
    /** Empty when no server can take the request now. */
    ServerId server;

    PlacementReason reason = PlacementReason::NoServer;

    /** Server whose cache has the shared parts of the prompt while the chosen one probably has
     * not; empty when there is none or a copy would take longer than reading them. */
    ServerId cachedAt;

    /** Requests in flight at the chosen server before this one. */
    int load = 0;

    /** Servers that could be chosen from. */
    std::size_t candidates = 0;
};

/**
 * Chooses the backend server of a request.
 *
 * Requests with a shared prompt prefix go to the server that ranks first by rendezvous hashing of
 * that prefix, or to the next one in rank while the load there exceeds a bound near the mean of the
 * service (consistent hashing with bounded loads), so that a prefix in heavy use spreads over the
 * same few servers on every instance. Behind the first one, servers that are known to have the
 * prefix go before the others, and one that has not copies it from the nearest that has. Other
 * requests are short, so what other instances reported is out of date when it arrives, and all
 * instances would choose the same server by it: these requests go to the server with the fewest own
 * requests in flight, by chance among equals. Answers the load of a few busy prefixes, of many
 * instances before few servers, and of servers that fail part of their requests.
 */
class ServerChooser
{
public:
    /** Load relative to the mean of the service above which requests spill, by fresh reports. */
    static constexpr double spillFactor = 1.55;

    /** Requests above the relative bound that are accepted, so that small loads do not spill. */
    static constexpr double spillSlack = 2.0;

    /**
     * Requests waiting for the start of their answer at which a prompt spills. An engine reads one
     * uncached prompt in 0.2 s, so the fourth one in a row misses targets of half a second.
     */
    static constexpr int waitingLimit = 4;

    /** Time after its start or the end of its evacuation in which a server may not have cached the
     * prefixes that it is the home of; most are in use more often. */
    static constexpr std::chrono::seconds youngTime{20};

    /** Shortest prefix that is copied; a shorter one is read in the time in which a copy begins. */
    static constexpr std::int64_t shortestCopy = 250;

    /** Speed at which engines read prompts; what the fleet's configuration does not tell. */
    static constexpr double tokensReadPerMs = 45;

    ServerChooser(const FleetView &fleet, const LoadTable &loads, const ServerHealth &health,
                  const ServerBackoff &backoff, const StallDetector &stalls, ColdAllowance &cold);

    /**
     * Sets how old the reports of other instances are. Prompts spill earlier by old reports,
     * because several instances may add to the same server before they hear of each other.
     */
    void setReportAge(std::chrono::milliseconds age) { reportAge_ = age; }

    /** @param draw random number for ties, in [0, 1) */
    Placement choose(const PlacementQuery &query, double draw, TimePoint now);

    /** @returns the end of the first back-off when all servers of the service are in one */
    std::optional<TimePoint> allBackingOffUntil(const ServiceId &service, TimePoint now) const;

private:
    struct Candidate
    {
        const ServerState *server = nullptr;
        int load = 0;
        int waiting = 0;
        double penalty = 0;
        std::uint64_t rank = 0;
        bool cold = false;

        /** Known to have the shared part of the prompt. */
        bool holds = false;
    };

    /** Over all servers of the service, with this request. Cold and evacuated ones count: the load
     * bound is relative to all. */
    double meanLoad(const ServiceId &service) const;

    /** Servers that may get a request now. @param why gets the reason when there are none */
    std::vector<Candidate> usable(const PlacementQuery &query, TimePoint now, Placement &why);
    /** In the order of @p servers. */
    std::vector<double> failureRates(const std::vector<const ServerState *> &servers,
                                     TimePoint now) const;
    Placement chooseHome(std::vector<Candidate> &candidates, const PlacementQuery &query) const;
    /** Sets Placement::cachedAt; adds servers that leave to @p candidates. */
    void findCachedCopy(std::vector<Candidate> &candidates, const PlacementQuery &query,
                        TimePoint now, Placement &placement) const;
    /** Known holder to copy from, in the same domain if there is one: copies between domains take
     * twice the time. Null when there is none. */
    static const Candidate *nearestHolder(const std::vector<Candidate> &candidates,
                                          const DomainId &domain);
    /**
     * Orders by how likely a server is to have cached the prefix.
     *
     * @param homeFirst the home by the hash goes before known holders. It can copy the prefix, and
     *        it is what remains known when all instances start again.
     */
    static void rank(std::vector<Candidate> &candidates, bool homeFirst);
    static bool holds(const ServerState &server, const PlacementQuery &query);
    bool copyPays(const PlacementQuery &query) const;
    /** Load above which a prefix leaves its home. */
    double spillBound(double meanLoad) const;
    static Placement chooseLeastLoaded(const std::vector<Candidate> &candidates, double draw);

    const FleetView &fleet_;
    const LoadTable &loads_;
    const ServerHealth &health_;
    const ServerBackoff &backoff_;
    const StallDetector &stalls_;
    ColdAllowance &cold_;
    std::chrono::milliseconds reportAge_{0};
};

std::string_view toString(PlacementReason reason);

} // namespace jy
