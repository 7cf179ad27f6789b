#pragma once

#include "jy_base/time/TimeTypes.h"
#include "jy_gateway/model/FleetChange.h"

#include <deque>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <utility>
#include <vector>

namespace jy {

/** State of a backend server as known to this instance. */
struct ServerState
{
    RegisteredServer entry;

    /** The server is leaving or has left and gets no new requests. */
    bool leaving = false;

    /** Set while the entry is missing: the server is removed at this time unless the entry returns.
     */
    std::optional<TimePoint> removalDue;

    /** The server tolerates only little load until this time. */
    TimePoint coldUntil;

    /** Until when an entry that a restored store shows as ready is not believed, because the same
     * start of the server was known to be leaving or gone. */
    TimePoint unconfirmedUntil;

    /** Time at which this instance first read the entry of this start of the server, or at which
     * the evacuation of its failure domain ended. */
    TimePoint since;
};

/** Start time of each server in Unix milliseconds, which distinguishes restarts under one id. */
using StartTimeByServer = std::map<ServerId, std::int64_t>;

/** A rollout of a new version to a service, with its latest report. */
struct RolloutView
{
    RolloutOrder order;
    TimePoint seen;
    std::optional<RolloutReport> report;

    /** Set once the new version may get requests. */
    std::optional<RolloutProgress> progress;

    /** When this instance first read the current phase of the progress. */
    TimePoint phaseSeen;

    /** Whether the old version gets no requests any more. */
    bool completed() const;

    /** Whether both versions may get requests. */
    bool underWay() const;
};

/** Servers of a service by their version in a rollout. */
enum class VersionGroup {
    Any,
    Current, /**< all but the version that the rollout introduces */
    Target, /**< the version that the rollout introduces */
};

struct FleetViewSettings
{
    /** Time between two heartbeats of a backend server in the store, which removes the entry of a
     * server after three missing ones. */
    std::chrono::milliseconds serverHeartbeat{1200};
};

/**
 * This instance's view of the configuration, backend servers, rollouts, evacuations and other
 * instances.
 *
 * Holds state only, without I/O or a clock: callers pass in changes and the time.
 */
class FleetView
{
public:
    /**
     * Time for which the entry of a live backend server may still be missing after this instance
     * noticed the end of an outage of the store. The platform specifies that entries are back
     * within about two seconds of the end of the outage, which is noticed a little later.
     */
    static constexpr std::chrono::milliseconds reregistrationTime{1800};

    explicit FleetView(FleetViewSettings settings = {})
        : settings_(settings)
    { }

    void apply(const FleetChange &change, TimePoint now);

    /** Called at the end of an outage of the store. Servers whose entries are missing are kept for
     * reregistrationTime. */
    void storeReturned(TimePoint now);

    /**
     * Called before the first changes from a store that was restored from an older copy.
     *
     * What was written since the copy is missing until operators and servers write it again, and
     * what was removed since is listed again. So missing servers, evacuations and rollouts are kept
     * for reregistrationTime, and servers that were leaving or gone get no requests until the store
     * has had the time to remove those that no longer send heartbeats.
     */
    void storeRestored(TimePoint now);

    /** Ends the evacuations and rollouts and removes the servers whose entries did not return in
     * time. @returns their ids */
    std::vector<ServerId> expire(TimePoint now);

    /** Records that a backend server stated to be cold for another @p left. */
    void setServerCold(const ServerId &server, std::chrono::milliseconds left, TimePoint now);

    /**
     * Records that a backend server announced that it leaves, ahead of its entry in the store.
     *
     * @param startTimeMs start time of the server process that announced it; the announcement does
     * not apply to any other start
     * @returns false if the server is unknown, has another start time or is already known to leave
     */
    bool markServerLeaving(const ServerId &server, std::int64_t startTimeMs);

    /** Servers that announced that they leave while their entries do not say so, with their start
     * times. */
    StartTimeByServer announcedLeaving() const;

    /** @returns null before the first configuration was read */
    const std::shared_ptr<const RoutingConfig> &config() const { return config_; }

    const std::map<ServerId, ServerState> &servers() const { return servers_; }
    const ServerState *findServer(const ServerId &server) const;

    /** Whether a server may get new requests: it is neither leaving nor gone, its failure domain is
     * not evacuated, and rollouts allow its version. */
    bool isEligible(const ServerState &server, TimePoint now) const;

    /** Servers of a service that are eligible for new requests. */
    std::vector<const ServerState *> candidates(const ServiceId &service, TimePoint now,
                                                VersionGroup group = VersionGroup::Any) const;

    /** Whether a server has the version that a rollout of its service introduces. */
    bool isTarget(const RegisteredServer &server) const;

    /** Number of servers of the version that a rollout introduces which are neither leaving nor
     * gone nor in an evacuated failure domain, whether or not they may get requests already. */
    std::size_t readyTargets(const ServiceId &service, TimePoint now) const;

    /** All servers of a service, eligible or not. */
    std::vector<const ServerState *> serversOf(const ServiceId &service) const;

    /** Servers of a service that are leaving, still have an entry and are in no evacuated failure
     * domain. */
    std::vector<const ServerState *> leaving(const ServiceId &service) const;

    const std::map<InstanceId, RegisteredInstance> &instances() const { return instances_; }
    const std::set<DomainId> &evacuated() const { return evacuated_; }
    const std::map<ServiceId, RolloutView> &rollouts() const { return rollouts_; }

    /** Store revision of the stored progress of a service's rollouts; 0 if there is none. */
    std::uint64_t progressRevision(const ServiceId &service) const;

private:
    void on(const ConfigWritten &change, TimePoint now);
    void on(const ServerWritten &change, TimePoint now);
    void on(const ServerRemoved &change, TimePoint now);
    void on(const EvacuationWritten &change, TimePoint now);
    void on(const EvacuationRemoved &change, TimePoint now);
    void on(const InstanceWritten &change, TimePoint now);
    void on(const InstanceRemoved &change, TimePoint now);
    void on(const RolloutWritten &change, TimePoint now);
    void on(const RolloutRemoved &change, TimePoint now);
    void on(const RolloutReportWritten &change, TimePoint now);
    void on(const RolloutProgressWritten &change, TimePoint now);

    /** Whether the store may still lack what was written before it was restored. */
    bool isRestoring(TimePoint now) const { return now < restoringUntil_; }

    /** Whether this start of a server was known to be leaving or gone before the restore. */
    bool wasLeaving(const RegisteredServer &server) const;

    void noteDeparted(const RegisteredServer &server);
    void endEvacuation(const DomainId &domain, TimePoint now);

    std::chrono::milliseconds coldDuration(const ServiceId &service) const;
    bool versionAllowed(const RegisteredServer &server) const;
    bool isReady(const ServerState &server, TimePoint now) const;

    /** Servers that left recently; more than a deployment replaces while a copy of the store ages.
     */
    static constexpr std::size_t maxDeparted = 1024;

    FleetViewSettings settings_;
    std::shared_ptr<const RoutingConfig> config_;
    std::map<ServerId, ServerState> servers_;
    /** Servers that announced in responses that they leave, until they restart or are removed. */
    StartTimeByServer announced_;

    std::map<InstanceId, RegisteredInstance> instances_;
    std::set<DomainId> evacuated_;
    std::map<ServiceId, RolloutView> rollouts_;

    /** Latest revision of each progress, also of those that belong to earlier orders. */
    std::map<ServiceId, std::uint64_t> progressRevisions_;
    TimePoint entriesUncertainUntil_;

    /** A start of a server, by its start time. */
    using ServerStart = std::pair<ServerId, std::int64_t>;

    /** Starts that have ended, in the order in which that was noticed. */
    std::deque<ServerStart> departed_;

    /** Starts that were leaving or had ended when the store was restored. */
    std::set<ServerStart> leftBeforeRestore_;
    TimePoint restoringUntil_;
    TimePoint unconfirmedUntil_;

    /** Evacuations and rollouts that the restored store lacks, ended by expire(). */
    std::set<DomainId> missingEvacuations_;
    std::set<ServiceId> missingRollouts_;
};

} // namespace jy
