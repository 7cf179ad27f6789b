// The parts of Gateway that connect the duties of the deployment.

#include "jy_base/time/BootClock.h"
#include "jy_gateway/assembly/Gateway.h"
#include "jy_gateway/peers/HeartbeatCodec.h"
#include "jy_runtime/logging/Log.h"

#include <map>

namespace jy {

namespace {

using std::chrono::milliseconds;

milliseconds fromSeconds(double seconds)
{
    return std::chrono::round<milliseconds>(std::chrono::duration<double>(seconds));
}

} // namespace

DutySettings Gateway::dutySettings() const
{
    const auto &given = settings_.duties;
    DutySettings settings{.usageWindow = fromSeconds(given.usageWindowSeconds),
                          .usageLateness = fromSeconds(given.usageDueSeconds),
                          .callInterval = fromSeconds(1 / given.callsPerSecond)};
    settings.lease.lifetime = milliseconds(static_cast<std::int64_t>(given.leaseMs));
    settings.lease.fencingRequired = given.fencingRequired;
    for (const auto &name : given.names) {
        if (const auto duty = adapter_.dutyFromName(name))
            settings.duties.insert(*duty);
    }
    return settings;
}

void Gateway::startDuties()
{
    for (const auto &name : settings_.duties.names) {
        if (!adapter_.dutyFromName(name))
            logEvent(LogLevel::Warn, "duty-unknown", {{"name", name}});
    }
    if (!duties_.enabled())
        return;
    supervisor_->addChild("duty-lease", [this](StopToken &stop) { duties_.runLease(stop); });
    supervisor_->addChild("duty-calls", [this](StopToken &stop) { duties_.runCalls(stop); });
    supervisor_->addChild("usage-counts", [this](StopToken &stop) { duties_.runCounts(stop); });
}

WallTime Gateway::trueTime() const
{
    return fleetClock_.trueTime(std::chrono::system_clock::now(), bootTime());
}

void Gateway::sendUsage(const UsageMessage &usage, const RegisteredInstance &receiver)
{
    heartbeats_->send(
        encodeHeartbeat({.instance = self_, .incarnation = incarnation_, .usage = usage}),
        receiver.peer);
}

std::vector<ScalableService> Gateway::scalableServices() const
{
    std::vector<ScalableService> services;
    const auto &config = fleet_.config();
    if (!config)
        return services;
    for (const auto &[id, policy] : config->services()) {
        if (!policy.scaling)
            continue;
        ScalableService service{.service = id, .policy = *policy.scaling};
        std::map<DomainId, ScalableDomain> domains;
        for (const auto *server : fleet_.serversOf(id)) {
            auto &domain = domains[server->entry.domain];
            domain.domain = server->entry.domain;
            domain.evacuated = fleet_.evacuated().contains(domain.domain);
            service.inFlight += loads_.total(server->entry.id).inFlight;
            if (server->leaving)
                continue;
            ++domain.present;
            domain.slots += server->entry.slots;
        }
        for (const auto &[name, domain] : domains)
            service.domains.push_back(domain);
        services.push_back(std::move(service));
    }
    return services;
}

} // namespace jy
