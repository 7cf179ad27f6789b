#pragma once

#include "jy_base/errors/Error.h"
#include "jy_core/membership/MemberTable.h"
#include "jy_core/membership/MembershipMessages.h"
#include "jy_core/membership/SeedList.h"
#include "jy_core/membership/UpdateQueue.h"

#include <optional>
#include <random>
#include <set>
#include <variant>
#include <vector>

namespace jy {

/** Timing, retention times and fan-out of Membership. */
struct MembershipSettings
{
    std::chrono::milliseconds probePeriod{1000};

    /** After this time without a reply, the target is probed through other routers. */
    std::chrono::milliseconds probeTimeout{300};

    /** A suspect that does not refute the suspicion within this time is declared dead. */
    std::chrono::milliseconds suspicionTimeout{2000};

    /** A longer time between two calls is treated as a pause of this process. */
    std::chrono::milliseconds pauseThreshold{1000};

    /** Period of pings to one dead router, which heal partitions without the instance list. */
    std::chrono::milliseconds reconnectPeriod{2000};

    /** Longer than a typical loss of the connection between regions, which lasts about an hour. */
    std::chrono::minutes deadRetention{120};

    std::chrono::minutes leftRetention{5};

    std::size_t indirectPeers = 3;
    std::size_t announcePeers = 3;

    /** Largest number of seeds pinged per call of tick(). */
    std::size_t seedsPerTick = 3;

    /** Gossip endpoints from the settings. */
    std::vector<Endpoint> seeds;
};

/** One router of the instance list. */
struct ListedRouter
{
    InstanceId id;
    Endpoint gossip;
    bool leaving = false;
};

struct SendDatagram
{
    Endpoint to;
    Datagram datagram;
};

/** A router joined, changed its state or incarnation, or its leaving mark in the instance list. */
struct MemberChanged
{
    MemberInfo member;
    bool wasLive = false;
    bool isLive = false;
};

/** This process did not run for a while, so its member table may be out of date. */
struct SelfPaused
{
    Duration gap;
};

/**
 * The fleet suspected this router, declared it dead or knew a higher incarnation; this router
 * continues with the given incarnation.
 */
struct SelfRefuted
{
    std::uint64_t incarnation = 0;
};

/** A peer reported a higher head revision than the one known here. */
struct HeadRevisionSeen
{
    std::uint64_t revision = 0;
    MemberInfo from;
};

/** The stop marks of a peer differ from those of this router. */
struct StopMarksDiffer
{
    MemberInfo peer;
};

using MembershipAction = std::variant<SendDatagram, MemberChanged, SelfPaused, SelfRefuted,
                                      HeadRevisionSeen, StopMarksDiffer>;
using MembershipActions = std::vector<MembershipAction>;

/**
 * SWIM failure detector and member table of one router.
 *
 * Call tick() about ten times per probe period. All randomness comes from the seed, so a run can
 * be reproduced exactly.
 *
 * @see docs/decisions/membership.md
 * Source: Das, Gupta, Motivala, "SWIM", 2002.
 */
class Membership
{
public:
    /**
     * Creates the state machine of a router that has just started.
     *
     * @returns SettingsInvalid if the id or gossip endpoint is missing, the record is too long for
     *     a datagram, or the id, domain or region is not printable ASCII
     */
    static Result<Membership> create(MembershipSettings settings, MemberInfo self,
                                     std::uint64_t seed);

    MembershipActions tick(TimePoint now);

    /**
     * Handles a datagram whose authentication code is valid. The caller handles the bodies
     * PoolReport and PoolTotals.
     */
    MembershipActions receive(const Datagram &datagram, const Endpoint &from, TimePoint now);

    /** Updates the seeds and the leaving marks from the instance list. */
    MembershipActions applyInstanceList(const std::vector<ListedRouter> &routers, TimePoint now);

    /** Announces that this router takes no new work. It continues to reply to probes. */
    MembershipActions leave(TimePoint now);

    /** Announces that this router has left. Later calls have no effect. */
    MembershipActions finishLeave(TimePoint now);

    /** Records a head revision learned from the KV service. */
    void setHeadRevision(std::uint64_t revision);

    /** Records that a revision is in force here and announces it. */
    MembershipActions setAppliedRevision(std::uint64_t revision, TimePoint now);

    /** Records the digest of this router's stop marks and announces a change. */
    MembershipActions setStopMarks(const StopMarkDigest &digest, TimePoint now);

    /** @returns a datagram with the piggyback but without updates, for the caller to send. */
    Datagram compose(decltype(Datagram::body) body) const;

    const MemberInfo &self() const { return table_.find(selfId_)->info; }

    /** All records, including this router's own and those of dead routers not yet removed. */
    std::vector<MemberInfo> members() const;

    /** Routers of a region that may own servers, ordered by id; includes this router. */
    std::vector<MemberInfo> liveRouters(const RegionId &region) const;

    /** Routers of all regions that may take new work, ordered by id; includes this router. */
    std::vector<MemberInfo> liveRouters() const;

    std::uint64_t headRevision() const { return headRevision_; }
    Convergence convergence(std::uint64_t revision) const;

    /** Increases with each change of liveRouters(), so that callers can cache derived data. */
    std::uint64_t generation() const { return generation_; }

private:
    struct Probe
    {
        InstanceId target;
        std::uint64_t sequence = 0;
        TimePoint started;
        std::set<InstanceId> relays;
        bool indirect = false;
    };

    struct Relay
    {
        Endpoint requester;
        std::uint64_t sequence = 0;
        InstanceId target;
        TimePoint expires;
    };

    struct Sync
    {
        InstanceId peer;
        Endpoint endpoint;
        InstanceId after;
        TimePoint requested;
        int attempts = 0;
    };

    Membership(MembershipSettings settings, const MemberInfo &self, std::uint64_t seed);

    void detectPause(TimePoint now);
    MembershipActions takeActions(TimePoint now);
    void send(const Endpoint &to, decltype(Datagram::body) body, const InstanceId &toId = {});
    UpdateQueue::TransmitLimits transmitLimits() const;
    std::vector<MemberInfo> pickPeers(std::size_t count, const InstanceId &except = {});

    void mergeRecord(const MemberInfo &update, TimePoint now);
    void refute(const MemberInfo &claim, TimePoint now);
    void changeState(const InstanceId &id, MemberState state, TimePoint now);
    void reportChange(const InstanceId &id, bool wasLive);
    void removeReplaced(const MemberInfo &replacement, TimePoint now);
    bool hasLeft() const { return self().state == MemberState::Left; }
    void updateSelf(const MemberInfo &self, TimePoint now);

    void startProbe(TimePoint now);
    void continueProbe(TimePoint now);
    void failProbe(TimePoint now);
    std::optional<MemberInfo> nextProbeTarget();
    void expireSuspicions(TimePoint now);
    void reconnect(TimePoint now);
    void pingSeeds(TimePoint now);

    void handle(const Announce &body, const MemberInfo &sender, const Endpoint &from,
                TimePoint now);
    void handle(const Ping &body, const MemberInfo &sender, const Endpoint &from, TimePoint now);
    void handle(const Ack &body, const MemberInfo &sender, const Endpoint &from, TimePoint now);
    void handle(const PingRequest &body, const MemberInfo &sender, const Endpoint &from,
                TimePoint now);
    void handle(const SyncRequest &body, const MemberInfo &sender, const Endpoint &from,
                TimePoint now);
    void handle(const SyncPage &body, const MemberInfo &sender, const Endpoint &from,
                TimePoint now);
    void handle(const PoolReport &, const MemberInfo &, const Endpoint &, TimePoint) { }
    void handle(const PoolTotals &, const MemberInfo &, const Endpoint &, TimePoint) { }

    void compareDigest(const Datagram &datagram, const Endpoint &from, TimePoint now);
    void requestPage(TimePoint now);
    void continueSync(TimePoint now);
    void sendCorrections(const Datagram &page, const Endpoint &to);
    void sendDueAnnouncement(TimePoint now);

    MembershipSettings settings_;
    InstanceId selfId_;
    std::mt19937_64 random_;
    MemberTable table_;
    UpdateQueue queue_;
    SeedList seeds_;
    MembershipActions actions_;

    std::optional<TimePoint> lastObserved_;
    std::uint64_t sequence_ = 0;
    std::uint64_t headRevision_ = 0;
    std::uint64_t generation_ = 0;
    StopMarkDigest stopMarks_;

    std::vector<InstanceId> probeOrder_;
    TimePoint nextProbe_;
    std::optional<Probe> probe_;
    std::map<std::uint64_t, Relay> relays_;
    std::map<InstanceId, TimePoint> suspicionDeadlines_;
    TimePoint nextReconnect_;
    TimePoint nextSeeds_;

    bool announcePending_ = false;
    TimePoint nextAnnounce_;
    TimePoint nextStopMarkReport_;

    /** Sender of the datagram being handled, if its record of itself is out of date. */
    InstanceId outdatedSender_;

    std::optional<Sync> sync_;
    TimePoint mismatchSince_;
    TimePoint lastMismatch_;
    TimePoint nextPage_;
    TimePoint nextSync_;
};

} // namespace jy
