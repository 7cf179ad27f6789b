#pragma once

#include "jy_base/time/TimeTypes.h"
#include "jy_gateway/duties/UsageMessage.h"
#include "jy_gateway/limits/DemandTable.h"
#include "jy_gateway/limits/PromptQuarantine.h"
#include "jy_gateway/limits/ServerRateLimits.h"
#include "jy_gateway/model/FleetChange.h"
#include "jy_gateway/placement/LoadTable.h"
#include "jy_gateway/placement/PromptCacheIndex.h"
#include "jy_gateway/placement/ServerHealth.h"
#include "jy_gateway/registry/FleetView.h"
#include "jy_gateway/rollouts/RolloutTraffic.h"

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <unordered_map>
#include <vector>

namespace jy {

/** Aggregated state of a group of instances, sent to the other groups. */
struct GroupReport
{
    /** Number of groups into which the sender divides the fleet. */
    std::size_t groups = 1;

    /** Index of the group that the report describes. */
    std::size_t group = 0;

    /** Members that accept requests of callers, by peerHash(). */
    std::vector<std::uint32_t> ready;

    /** Sums over all members. */
    RequestCountsByServer requests;
    OutcomeCountsByServer outcomes;
};

/** State that an instance periodically sends to others, or a report about its group. */
struct Heartbeat
{
    /** Contains no addresses, no failure domain and no outcome counts. */
    bool brief = false;

    RegisteredInstance instance;
    std::uint64_t incarnation = 0;
    std::uint64_t sequence = 0;
    bool ready = false;
    RequestCountsByServer requests;
    OutcomeCountsByServer outcomes;

    /** Servers that announced in responses that they leave, while their entries in the store do not
     * say so yet. */
    StartTimeByServer leaving;

    /** Prompt prefixes in the prompt caches of servers, see PromptCacheIndex. */
    std::vector<CachedPrompt> cached;

    /** Servers that do not respond, see StallDetector. */
    std::vector<ServerId> stalled;

    /** Prompt parts that may crash servers, see PromptQuarantine. */
    PartReport parts;

    /** Limits that servers named or ended, see ServerRateLimits. */
    std::vector<ServerLimitReport> serverLimits;

    /** Demand of callers at the sender, or in a report the sum over the group; nothing from a build
     * that does not state it. */
    std::optional<DemandByService> demand;

    /** Set in a report; the message then contains no state of the sender itself. */
    std::optional<GroupReport> group;

    /** Time of day of the sender; only in complete heartbeats. */
    std::optional<WallTime> wallTime;

    /** Usage counts of the sender; the message then contains nothing else. */
    std::optional<UsageMessage> usage;

    /** Outcomes of a rollout at the sender; the message then contains nothing else. */
    std::optional<RolloutMessage> rollout;
};

/** Hash that identifies an instance in brief heartbeats and reports, in place of its id. */
std::uint32_t peerHash(const InstanceId &id);

/**
 * Tracks which other instances are alive, by their heartbeats and their entries in the store.
 *
 * An instance that sends heartbeats is alive, even if its entry expires during an outage of the
 * store. An instance without heartbeats counts as dead only while others send some: an instance
 * that receives none at all is itself disconnected and relies on the entries.
 */
class PeerTable
{
public:
    /** Minimum time between two heartbeats of one instance. */
    static constexpr std::chrono::milliseconds minPeriod{100};

    /** Period per member of the group in a fleet with groups; 0.5 s in a group of 17. */
    static constexpr std::chrono::milliseconds periodPerMember{30};

    /** Number of heartbeats from one report to the other groups to the next. */
    static constexpr int heartbeatsPerReport = 2;

    /**
     * Time after which a report is outdated. Long enough for two lost reports, and for another
     * member of the group to take over from a sender that died.
     */
    static constexpr std::chrono::milliseconds reportLifetime{3500};

    /**
     * Period per instance in a fleet without groups. Above 16 instances the period grows with the
     * fleet, so that the processor time for heartbeats stays constant. Request counts are then up
     * to 0.5 s old at 90 instances and, were there no groups, up to 1.8 s at 295.
     */
    static constexpr std::chrono::milliseconds periodPerInstance{6};

    /** Minimum time without heartbeats after which an instance is removed from the directory. */
    static constexpr std::chrono::milliseconds minSilenceLimit{2000};

    explicit PeerTable(InstanceId self);

    /** Time between two heartbeats at the current size of the fleet. */
    std::chrono::milliseconds period() const;

    /** Largest age that request counts reach before the next ones arrive, without losses. */
    std::chrono::milliseconds reportAge() const;

    /** Maximum number of cached prompts in a heartbeat. Limits them to a fixed share of the budget
     * for control traffic at any size of the fleet. */
    std::size_t cachedPromptsPerHeartbeat() const;

    /** Maximum number of cached prompts in a report to the other groups. */
    std::size_t cachedPromptsPerReport() const;

    /** Time in which an instance hears the response of the others to what it reports. */
    std::chrono::milliseconds responseTime() const;

    /** Number of groups of the fleet, see PeerGroups; 1 if each instance sends heartbeats to every
     * other one. */
    std::size_t groupCount() const { return groups_; }

    /** Whether an instance belongs to the own group and so sends heartbeats to this one. The counts
     * of all others arrive in reports. */
    bool inOwnGroup(const InstanceId &id) const;

    /** @returns false if the heartbeat was ignored: an old or repeated one, one of this instance,
     * or a brief one of an unknown instance */
    bool receive(const Heartbeat &heartbeat, TimePoint now);

    /** Replaces the set of instances that have an entry in the store. */
    void setRegistered(const std::map<InstanceId, RegisteredInstance> &registered, TimePoint now);

    /** Restarts all timeouts after this process was suspended or disconnected: heartbeats missing
     * until then do not indicate dead peers. */
    void resetSilenceTimers(TimePoint now);

    /** @returns false if the report was ignored: the sender uses another number of groups, or the
     * report is about the own group */
    bool receiveReport(const GroupReport &report, TimePoint now);

    /** Addresses to which heartbeats are sent: those of the own group. */
    std::vector<Endpoint> destinations() const;

    /** Addresses of all other instances, for the first and the last heartbeat. */
    std::vector<Endpoint> allDestinations() const;

    /**
     * Addresses to which reports about the own group are sent. Empty without groups, and until
     * enough members of the own group have sent heartbeats to this instance.
     */
    std::vector<Endpoint> reportDestinations(TimePoint now) const;

    /** Other members of the own group that accept requests of callers, by peerHash(). */
    std::vector<std::uint32_t> readyInGroup(TimePoint now) const;

    /**
     * Other instances for the directory, to which callers may send requests. A registered instance
     * of the own group without any heartbeat is included only until most members have sent one: it
     * may have died before this instance started.
     */
    std::vector<RegisteredInstance> directoryPeers(TimePoint now) const;

    /** Finds an instance by its peerHash(). Returns null for an unknown hash. */
    const InstanceId *findByHash(std::uint32_t hash) const;

    /** Other instances that are alive. */
    std::vector<RegisteredInstance> alive(TimePoint now) const;

private:
    struct Peer
    {
        RegisteredInstance instance;
        std::uint64_t incarnation = 0;
        std::uint64_t sequence = 0;
        std::size_t group = 0;
        bool registered = false;
        bool ready = true;

        /** Start of the current silence: the last heartbeat, the first entry or a timer reset. */
        TimePoint silenceStart;
        bool heartbeatReceived = false;
    };

    /** The latest report of another group. */
    struct ReceivedReport
    {
        std::set<std::uint32_t> ready;
        TimePoint received;
    };

    void updateGroups();
    std::size_t groupSize() const;
    const ReceivedReport *freshReport(std::size_t group, TimePoint now) const;
    std::chrono::milliseconds silenceLimit() const;
    bool receivesHeartbeats(TimePoint now) const;

    /** Whether so many members of the own group have sent heartbeats that the others are probably
     * dead. */
    bool hasGroupQuorum() const;
    bool isAlive(const Peer &peer, TimePoint now) const;

    InstanceId self_;
    std::map<InstanceId, Peer> peers_;
    std::size_t groups_ = 1;
    std::size_t ownGroup_ = 0;
    std::map<std::size_t, ReceivedReport> reports_;
    std::unordered_map<std::uint32_t, InstanceId> byHash_;
};

} // namespace jy
