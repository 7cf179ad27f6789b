#pragma once

#include "jy_base/time/TimeTypes.h"
#include "jy_gateway/model/FleetChange.h"
#include "jy_gateway/placement/LoadTable.h"
#include "jy_gateway/placement/PromptCacheIndex.h"
#include "jy_gateway/placement/ServerHealth.h"
#include "jy_gateway/registry/FleetView.h"

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <unordered_map>
#include <vector>

namespace jy {

/** Aggregate of a group of instances for the other groups. */
struct GroupReport
{
    /** Number of groups that the sender divides the fleet into. */
    std::size_t groups = 1;

    /** Index of this group. */
    std::size_t group = 0;

    /** Members that take callers, by peerHash(). */
    std::vector<std::uint32_t> ready;

    /** Sums over the members. */
    RequestCountsByServer requests;
    OutcomeCountsByServer outcomes;
};

/** What an instance says of itself to the others. */
struct Heartbeat
{
    /** Carries no address, no domain and no outcome counts. */
    bool brief = false;

    RegisteredInstance instance;
    std::uint64_t incarnation = 0;
    std::uint64_t sequence = 0;
    bool ready = false;
    RequestCountsByServer requests;
    OutcomeCountsByServer outcomes;

    /** Servers that announced their leaving in answers, before their entries in the store say so.
     */
    StartTimeByServer leaving;

    /** Prompt prefixes that servers have read for this instance, see PromptCacheIndex. */
    std::vector<CachedPrompt> cached;

    /** Servers that have gone silent, see StallDetector. */
    std::vector<ServerId> stalled;

    /** Set in a report; the message then contains nothing about the sender itself. */
    std::optional<GroupReport> group;
};

/** What brief heartbeats carry instead of the id of their instance. */
std::uint32_t peerHash(const InstanceId &id);

/**
 * Which other instances live, from their heartbeats and their entries in the store.
 *
 * A heartbeat proves life, so an entry that lapses while the store is away removes nobody who is
 * heard. Silence proves death only while others are heard: an instance that hears nobody is cut off
 * itself and goes by the entries.
 */
class PeerTable
{
public:
    /** Shortest time between two heartbeats of one instance. */
    static constexpr std::chrono::milliseconds shortestPeriod{100};

    /** In a fleet with groups, for each member of the group; 0.5 s in a group of 17. */
    static constexpr std::chrono::milliseconds periodPerMember{30};

    /** Heartbeats from one report to the other groups to the next one. */
    static constexpr int heartbeatsPerReport = 2;

    /** A report counts for this long; two may be lost, and its sender may have to be replaced. */
    static constexpr std::chrono::milliseconds reportLifetime{3500};

    /**
     * Processor time for heartbeats stays constant above a fleet size of 16: the period grows
     * instead. At 90 instances counts of requests are then up to 0.5 s old, at 295 up to 1.8 s.
     */
    static constexpr std::chrono::milliseconds periodPerInstance{6};

    /** Silence after which an instance is left out of the directory. */
    static constexpr std::chrono::milliseconds shortestSilence{2000};

    explicit PeerTable(InstanceId self);

    /** Time between two heartbeats, for the number of known instances. */
    std::chrono::milliseconds period() const;

    /** Age that counts of requests may have when the next ones arrive. */
    std::chrono::milliseconds reportAge() const;

    /** Pairs of a prefix and a server that a heartbeat may carry, so that they take a fixed part of
     * the budget for control traffic at any size of the fleet. */
    std::size_t cachedPerHeartbeat() const;

    /** The same for a report to the other groups. */
    std::size_t cachedPerReport() const;

    /** Groups of the fleet, see PeerGroups; 1 when each instance sends heartbeats to every other
     * one. */
    std::size_t groupCount() const { return groups_; }

    /** Whether the instance sends its heartbeats to this one; otherwise reports include its counts.
     */
    bool inOwnGroup(const InstanceId &id) const;

    /** @returns false for an old or repeated heartbeat, and a brief one of an unknown instance;
     * these are ignored. */
    bool receive(const Heartbeat &heartbeat, TimePoint now);

    /** Takes the entries of the store. */
    void setRegistered(const std::map<InstanceId, RegisteredInstance> &registered, TimePoint now);

    /** The clock of this process stood still, or it was cut off: old silences prove nothing. */
    void resetSilences(TimePoint now);

    /** @returns false when the sender divides the fleet otherwise, or for the own group. */
    bool receiveReport(const GroupReport &report, TimePoint now);

    /** Addresses that heartbeats are sent to. */
    std::vector<Endpoint> destinations() const;

    /** Addresses of all instances, for the first and the last heartbeat. */
    std::vector<Endpoint> allDestinations() const;

    /**
     * Addresses that reports about the own group are sent to. Empty without groups, and while too
     * little of the own group was heard to speak for it.
     */
    std::vector<Endpoint> reportDestinations(TimePoint now) const;

    /** Members of the own group that take callers, without this instance, by peerHash(). */
    std::vector<std::uint32_t> readyInGroup(TimePoint now) const;

    /**
     * Other instances that callers may be sent to. One that is registered but was never heard is
     * named only until most others were heard: it may have died before this instance started.
     */
    std::vector<RegisteredInstance> callable(TimePoint now) const;

    /** Finds an instance by its peerHash(); null for an unknown one. */
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

        /** Time from which silence counts. */
        TimePoint heard;
        bool everHeard = false;
    };

    /** The last report of another group. */
    struct HeardReport
    {
        std::set<std::uint32_t> ready;
        TimePoint received;
    };

    void regroup();
    std::size_t groupSize() const;
    const HeardReport *freshReport(std::size_t group, TimePoint now) const;
    std::chrono::milliseconds silenceLimit() const;
    bool hearsAnyone(TimePoint now) const;

    /** Whether so many of the own group were heard that the others are probably gone. */
    bool hasHeardMost() const;
    bool isAlive(const Peer &peer, TimePoint now) const;

    InstanceId self_;
    std::map<InstanceId, Peer> peers_;
    std::size_t groups_ = 1;
    std::size_t ownGroup_ = 0;
    std::map<std::size_t, HeardReport> reports_;
    std::unordered_map<std::uint32_t, InstanceId> byHash_;
};

} // namespace jy
