#pragma once

#include "jy_gateway/limits/ColdAllowance.h"
#include "jy_gateway/limits/ServerRateLimits.h"
#include "jy_gateway/placement/FirstEventEstimate.h"
#include "jy_gateway/placement/LoadTable.h"
#include "jy_gateway/placement/MovingAverage.h"
#include "jy_gateway/placement/PromptCacheIndex.h"
#include "jy_gateway/placement/PromptCopyLimit.h"
#include "jy_gateway/placement/ServerBackoff.h"
#include "jy_gateway/placement/ServerHealth.h"
#include "jy_gateway/placement/ServerReports.h"
#include "jy_gateway/placement/StallDetector.h"
#include "jy_gateway/registry/FleetView.h"

#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <set>
#include <string>

namespace jy {

/** Properties of a request that decide which backend server it gets. */
struct PlacementQuery
{
    ServiceId service;

    /** Hash of the shared prompt prefix, see promptAffinity(); 0 for requests without one. */
    std::uint64_t affinity = 0;

    /** Length of the shared prefix in tokens; a server without it in its cache must process them.
     */
    std::int64_t sharedTokens = 0;

    /** Length of the rest of the prompt in tokens, which no server has cached. */
    std::int64_t ownTokens = 0;

    /** Servers that are known to have the prefix cached. They are preferred to all others, except
     * that the home by rendezvous hashing comes first if it can copy the prefix. */
    std::vector<PromptCacheLocation> holders;

    /** Servers that earlier attempts of this request were sent to. */
    std::set<ServerId> tried;

    /** Leaves out servers that are silent, instead of choosing them if there are no others. */
    bool responsiveOnly = false;

    /** Versions that may get the request during a rollout. */
    VersionGroup versions = VersionGroup::Any;

    /** Maximum number of servers of these versions to choose from, the same ones on every instance;
     * 0 for no limit. */
    std::size_t mostServers = 0;
};

enum class PlacementReason {
    Home, /**< the first server in rank for the shared prefix */
    Spilled, /**< the servers that rank higher are too busy */
    LeastLoaded,
    NoServer, /**< no server of the service accepts requests */
    AllTried,
    AllCold, /**< the remaining servers are cold and their allowance is used up */
    AllFull,
    AllLimited, /**< this instance has used up its share of the limits that servers named */
    AllBackingOff, /**< all refused requests with a Retry-After time that has not passed */
};

struct Placement
{
    /** Empty when no server can take the request now. */
    ServerId server;

    PlacementReason reason = PlacementReason::NoServer;

    /** Server to copy the shared prefix from because the chosen one has probably not cached it;
     * empty when no server has it or a copy would take longer than processing the prefix. */
    ServerId copySource;

    /** Requests in flight at the chosen server before this one. */
    int load = 0;

    /** Time after which a request that gets no server may find one; 0 if not known. */
    std::chrono::milliseconds retryAfter{0};

    /** Number of servers that were eligible. */
    std::size_t candidates = 0;

    /** Expected time until the first event; 0 unless the service is contended. */
    std::chrono::milliseconds expected{0};

    /** Time that work takes at the chosen server, in percent of the usual time. */
    int pacePercent = 100;

    /** A copy of the shared prefix was possible but not made because the service is contended. */
    bool copyAvoided = false;
};

/**
 * Chooses the backend server of a request.
 *
 * Requests with a shared prompt prefix use consistent hashing with bounded loads: they go to the
 * home, the server that ranks first by rendezvous hashing of the prefix, or to the next one in rank
 * while the load there exceeds a bound relative to the mean of the service. A prefix in heavy
 * use thus spreads over the same few servers on every instance. Servers that are known to have the
 * prefix cached rank before the others; only the home stays first if it can copy the prefix. A
 * chosen server that lacks the prefix copies it from the nearest server that has it.
 *
 * While a service is contended, a prompt goes to the server below the load bound where its first
 * event is expected earliest. It leaves its home only if the wait there takes longer than obtaining
 * the prefix elsewhere, because each prefill elsewhere adds to the work of the service.
 *
 * Other requests are short. What other instances report about them is out of date when it arrives
 * and would make all instances choose the same server, so these requests go to the server with the
 * fewest requests of this instance in flight, weighted by the paces that servers report; ties are
 * broken at random.
 *
 * The rules handle a few very busy prefixes, many instances that share few servers, and servers
 * that fail part of their requests.
 */
class ServerChooser
{
public:
    /** Load relative to the mean of the service above which requests spill if the reports of other
     * instances are fresh. */
    static constexpr double spillFactor = 1.55;

    /** Requests that are allowed in addition to the relative bound, so that small loads do not
     * spill. */
    static constexpr double spillSlack = 2.0;

    /**
     * Number of requests waiting for the start of their response at which prompts spill. An engine
     * processes one uncached prompt in 0.2 s, so the fourth one in a row misses a target of 0.5 s.
     */
    static constexpr int maxWaiting = 4;

    /** Time after its start or the end of its evacuation in which a server may not yet have cached
     * the prefixes that it is the home of. Most prefixes are used again within this time. */
    static constexpr std::chrono::seconds cacheWarmUpTime{20};

    /** Shortest prefix that is copied. A shorter one is processed in the time that it takes to
     * start a copy. */
    static constexpr std::int64_t minTokensToCopy = 250;

    /** Requests per slot that a server may queue in addition before it is regarded as full. */
    static constexpr double maxQueuedPerSlot = 2.0;

    /** Speed at which engines process prompts; the configuration does not state it. */
    static constexpr double prefillTokensPerMs = 45;

    ServerChooser(const FleetView &fleet, const LoadTable &loads, const ServerHealth &health,
                  const ServerBackoff &backoff, const StallDetector &stalls, ColdAllowance &cold,
                  ServerRateLimits &rateLimits, const ServerReports &reports);

    /** Whether the load of a service is close to what its servers can take. */
    using ContendedHook = std::function<bool(const ServiceId &service, TimePoint now)>;

    /** Sets the hook that is asked once for each prompt; without one no service is contended. */
    void setContended(ContendedHook contended) { contended_ = std::move(contended); }

    /**
     * Sets the age of the reports of other instances. The older they are, the earlier prompts
     * spill, because several instances may load the same server before they learn of each other's
     * requests.
     */
    void setReportAge(std::chrono::milliseconds age) { reportAge_ = age; }

    /** @param draw random number in [0, 1) that breaks ties */
    Placement choose(const PlacementQuery &query, double draw, TimePoint now);

    /** @returns the earliest end of a back-off if all servers of the service are backing off */
    std::optional<TimePoint> allBackingOffUntil(const ServiceId &service, TimePoint now) const;

private:
    struct Candidate
    {
        const ServerState *server = nullptr;
        int load = 0;
        int waiting = 0;
        double penalty = 0;
        std::uint64_t rank = 0;
        double pace = 1;
        bool cold = false;

        /** The server is known to have the shared prefix cached. */
        bool hasCachedPrefix = false;

        /** The server named a limit, of which this instance has a request left. */
        bool limited = false;
    };

    /** @returns the eligible servers of the versions that the query permits */
    std::vector<const ServerState *> permittedServers(const PlacementQuery &query,
                                                      TimePoint now) const;

    /** Mean over all servers of the service without a limit of their own, including the new
     * request. Cold and evacuated servers count too, because the load bound is relative to all
     * servers. */
    double meanLoad(const ServiceId &service, TimePoint now) const;

    /** Finds the servers that may get the request now. @param result gets the reason if there are
     * none */
    std::vector<Candidate> findCandidates(const PlacementQuery &query, TimePoint now,
                                          Placement &result);
    /** @returns the failure rates in the order of @p servers */
    std::vector<double> failureRates(const std::vector<const ServerState *> &servers,
                                     TimePoint now) const;
    Placement chooseByPrefix(std::vector<Candidate> &candidates, const PlacementQuery &query,
                             TimePoint now) const;

    /** Chooses the server with the least expected time until the first event among those below the
     * load bound, or the one with the least load if there is none. */
    Placement chooseByExpectedTime(std::vector<Candidate> &candidates, const PlacementQuery &query,
                                   TimePoint now) const;
    static Placement leastLoaded(const std::vector<Candidate> &candidates);

    /** What the estimates of a prompt have in common. @param mayCopy an engine can be copied from
     */
    PromptWork promptWork(const PlacementQuery &query, bool mayCopy) const;

    /** What this instance and the others know of a server, without the server's own reports. */
    ServerWork serverWork(const Candidate &candidate, bool cached, const PromptWork &prompt) const;

    /** Adds the reports of the server. Its requests count only up to the number at which it is
     * full, so that false ones have little effect. */
    void addReports(const ServerState &server, const PromptWork &prompt, TimePoint now,
                    ServerWork &work) const;

    static int percentOf(double pace);

    /** Whether a prefix may be copied while its service is contended. */
    bool isCopyWorthwhile(const PlacementQuery &query, TimePoint now) const;
    bool isContended(const PlacementQuery &query, TimePoint now) const;

    /** Records the use of the prefix, its copy, and the prefill time of the prompt. */
    void recordPrompt(const PlacementQuery &query, const Placement &placement, TimePoint now);

    /** Whether the server joined so recently that it may lack prefixes that it is the home of. */
    static bool isWarmingUp(const ServerState &server, TimePoint now)
    {
        return now - server.since < cacheWarmUpTime;
    }

    /** Whether a server may be copied from; records in the placement if not. */
    using SourceFilter = std::function<bool(const ServerId &source)>;

    /** Sets Placement::copySource; adds the servers that are leaving, and those that have the
     * prefix but may get no request now because of their limit, to @p candidates. */
    void findCopySource(std::vector<Candidate> &candidates, const PlacementQuery &query,
                        TimePoint now, const SourceFilter &permitted, Placement &placement) const;
    /** Finds a server that is known to have the prefix, preferably in the same failure domain
     * because copies between domains take twice the time. Null if there is none. */
    static const Candidate *nearestHolder(const std::vector<Candidate> &candidates,
                                          const DomainId &domain, const SourceFilter &permitted);
    /**
     * Sorts by how likely a server is to have the prefix cached, the most likely first. Servers
     * with a limit come after others that have the prefix, and last if they lack it: what they may
     * get is for prefixes that no other server has.
     *
     * @param homeFirst the home comes before servers that are known to have the prefix: it can copy
     *        the prefix, and it is still known after all instances have restarted.
     */
    static void rank(std::vector<Candidate> &candidates, bool homeFirst);
    /** Whether the server is known to have the prefix cached. */
    static bool holdsPrefix(const ServerState &server, const PlacementQuery &query);
    bool isCopyFaster(const PlacementQuery &query) const;
    /** @returns the load above which requests spill to the next server in rank */
    double spillBound(double meanLoad) const;
    Placement chooseLeastLoaded(std::vector<Candidate> &candidates, double draw,
                                TimePoint now) const;

    const FleetView &fleet_;
    const LoadTable &loads_;
    const ServerHealth &health_;
    const ServerBackoff &backoff_;
    const StallDetector &stalls_;
    ColdAllowance &cold_;
    ServerRateLimits &rateLimits_;
    const ServerReports &reports_;
    std::chrono::milliseconds reportAge_{0};
    ContendedHook contended_;
    PromptCopyLimit copies_;

    /** Mean prefill time of the recent prompts of each service, in milliseconds. */
    std::map<ServiceId, MovingAverage> meanPrefill_;
};

std::string_view toString(PlacementReason reason);

} // namespace jy
