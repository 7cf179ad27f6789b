#pragma once

#include "jy_base/time/TimeTypes.h"
#include "jy_gateway/model/FleetChange.h"

#include <map>
#include <memory>
#include <optional>
#include <set>
#include <vector>

namespace jy {

/** A backend server as this instance sees it. */
struct ServerState
{
    RegisteredServer entry;

    /** It has left or is leaving: no new requests. */
    bool leaving = false;

    /** Its entry is missing; it is removed at this time unless the entry returns. */
    std::optional<TimePoint> removalDue;

    /** It tolerates little load until then. */
    TimePoint coldUntil;

    /** When this instance first heard of this start of the server, or the evacuation of its domain
     * ended. */
    TimePoint since;
};

/** Start of each server in Unix milliseconds, which tells restarts under one id apart. */
using StartTimeByServer = std::map<ServerId, std::int64_t>;

struct RolloutView
{
    RolloutOrder order;
    TimePoint seen;
    std::optional<RolloutReport> report;
};

/**
 * What this instance knows of configuration, backend servers, evacuations and other instances.
 *
 * Pure state: changes and times go in, answers come out.
 */
class FleetView
{
public:
    /**
     * Time after an outage of the store was found to be over within which the entry of a live
     * backend server may still be missing. Source: the platform promises the entries back within
     * about two seconds of the end of the outage, which is noticed a little later.
     */
    static constexpr std::chrono::milliseconds reappearanceTime{1800};

    void apply(const FleetChange &change, TimePoint now);

    /** The store did not answer this instance until @p now: missing entries prove nothing yet. */
    void storeReturned(TimePoint now) { entriesUncertainUntil_ = now + reappearanceTime; }

    /** Removes the servers whose entries did not return in time. @returns their ids. */
    std::vector<ServerId> expire(TimePoint now);

    /** A backend server states how long it stays cold. */
    void serverCold(const ServerId &server, std::chrono::milliseconds left, TimePoint now);

    /**
     * A backend server announced that it leaves, ahead of its entry in the store.
     *
     * @param startTimeMs start of the server that said so; a later start is not meant
     * @returns false when this was known
     */
    bool serverLeaving(const ServerId &server, std::int64_t startTimeMs);

    /** Servers that announced their leaving while their entries do not say so, with their start. */
    StartTimeByServer announcedLeaving() const;

    /** @returns null before the first configuration. */
    const std::shared_ptr<const RoutingConfig> &config() const { return config_; }

    const std::map<ServerId, ServerState> &servers() const { return servers_; }
    const ServerState *findServer(const ServerId &server) const;

    /** Whether a server is neither leaving nor gone, in a domain in service, of a version that is
     * allowed now. */
    bool mayGetRequests(const ServerState &server, TimePoint now) const;

    /** Servers of a service that may get new requests. */
    std::vector<const ServerState *> candidates(const ServiceId &service, TimePoint now) const;

    /** Servers of a service, whether they may get requests or not. */
    std::vector<const ServerState *> allOf(const ServiceId &service) const;

    /** Servers of a service that leave, are still there and belong to no evacuated domain. */
    std::vector<const ServerState *> leaving(const ServiceId &service) const;

    const std::map<InstanceId, RegisteredInstance> &instances() const { return instances_; }
    const std::set<DomainId> &evacuated() const { return evacuated_; }
    const std::map<ServiceId, RolloutView> &rollouts() const { return rollouts_; }

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

    std::chrono::milliseconds coldDuration(const ServiceId &service) const;
    bool versionAllowed(const RegisteredServer &server) const;

    std::shared_ptr<const RoutingConfig> config_;
    std::map<ServerId, ServerState> servers_;
    /** Servers that announced their leaving in answers; kept until they start again or are gone. */
    StartTimeByServer announced_;

    std::map<InstanceId, RegisteredInstance> instances_;
    std::set<DomainId> evacuated_;
    std::map<ServiceId, RolloutView> rollouts_;
    TimePoint entriesUncertainUntil_;
};

} // namespace jy
