#include "jy_gateway/registry/FleetView.h"

#include <algorithm>

namespace jy {

void FleetView::apply(const FleetChange &change, TimePoint now)
{
    std::visit([&](const auto &typed) { on(typed, now); }, change);
}

std::vector<ServerId> FleetView::expire(TimePoint now)
{
    std::vector<ServerId> removed;
    std::erase_if(servers_, [&](const auto &entry) {
        const auto &state = entry.second;
        const bool due = state.removalDue && *state.removalDue <= now;
        if (due) {
            removed.push_back(entry.first);
            announced_.erase(entry.first);
        }
        return due;
    });
    return removed;
}

void FleetView::setServerCold(const ServerId &server, std::chrono::milliseconds left, TimePoint now)
{
    const auto found = servers_.find(server);
    if (found != servers_.end())
        found->second.coldUntil = std::max(found->second.coldUntil, now + left);
}

bool FleetView::markServerLeaving(const ServerId &server, std::int64_t startTimeMs)
{
    const auto found = servers_.find(server);
    if (found == servers_.end() || found->second.entry.startTimeMs != startTimeMs
        || found->second.leaving)
        return false;
    found->second.leaving = true;
    announced_[server] = startTimeMs;
    return true;
}

StartTimeByServer FleetView::announcedLeaving() const
{
    StartTimeByServer unconfirmed;
    for (const auto &[id, startTimeMs] : announced_) {
        if (!servers_.at(id).entry.leaving)
            unconfirmed[id] = startTimeMs;
    }
    return unconfirmed;
}

const ServerState *FleetView::findServer(const ServerId &server) const
{
    const auto found = servers_.find(server);
    return found == servers_.end() ? nullptr : &found->second;
}

bool FleetView::isEligible(const ServerState &server, TimePoint now) const
{
    const bool gone = server.leaving || (server.removalDue && *server.removalDue <= now);
    return !gone && !evacuated_.contains(server.entry.domain) && versionAllowed(server.entry);
}

std::vector<const ServerState *> FleetView::candidates(const ServiceId &service,
                                                       TimePoint now) const
{
    std::vector<const ServerState *> result;
    for (const auto &[id, state] : servers_) {
        if (state.entry.service == service && isEligible(state, now))
            result.push_back(&state);
    }
    return result;
}

std::vector<const ServerState *> FleetView::serversOf(const ServiceId &service) const
{
    std::vector<const ServerState *> result;
    for (const auto &[id, state] : servers_) {
        if (state.entry.service == service)
            result.push_back(&state);
    }
    return result;
}

std::vector<const ServerState *> FleetView::leaving(const ServiceId &service) const
{
    std::vector<const ServerState *> result;
    for (const auto &[id, state] : servers_) {
        if (state.leaving && !state.removalDue && state.entry.service == service
            && !evacuated_.contains(state.entry.domain))
            result.push_back(&state);
    }
    return result;
}

void FleetView::on(const ConfigWritten &change, TimePoint)
{
    if (!config_ || change.config->version > config_->version)
        config_ = change.config;
}

void FleetView::on(const ServerWritten &change, TimePoint now)
{
    const auto &registered = change.server;
    auto &state = servers_[registered.id];
    const bool known = !state.entry.id.empty();
    const bool restarted = known && state.entry.startTimeMs != registered.startTimeMs;
    if (restarted) {
        state = ServerState{};
        announced_.erase(registered.id);
    }
    if (!known || restarted)
        state.since = now;
    state.entry = registered;
    state.leaving = registered.leaving || announced_.contains(registered.id);
    state.removalDue.reset();
    if (registered.coldLeft.count() > 0)
        state.coldUntil = std::max(state.coldUntil, now + registered.coldLeft);
    else if (restarted)
        state.coldUntil = now + coldDuration(registered.service);
}

void FleetView::on(const ServerRemoved &change, TimePoint now)
{
    const auto found = servers_.find(change.id);
    if (found == servers_.end())
        return;
    if (now < entriesUncertainUntil_ && !found->second.leaving)
        found->second.removalDue = entriesUncertainUntil_;
    else {
        announced_.erase(change.id);
        servers_.erase(found);
    }
}

void FleetView::on(const EvacuationWritten &change, TimePoint)
{
    evacuated_.insert(change.domain);
}

void FleetView::on(const EvacuationRemoved &change, TimePoint now)
{
    if (evacuated_.erase(change.domain) == 0)
        return;
    // Servers become cold without requests, and other servers have cached their prefixes meanwhile.
    for (auto &[id, state] : servers_) {
        if (state.entry.domain != change.domain)
            continue;
        state.coldUntil = std::max(state.coldUntil, now + coldDuration(state.entry.service));
        state.since = now;
    }
}

void FleetView::on(const InstanceWritten &change, TimePoint)
{
    instances_[change.instance.id] = change.instance;
}

void FleetView::on(const InstanceRemoved &change, TimePoint)
{
    instances_.erase(change.id);
}

void FleetView::on(const RolloutWritten &change, TimePoint now)
{
    auto &rollout = rollouts_[change.order.service];
    rollout.order = change.order;
    rollout.seen = now;
    if (rollout.report && rollout.report->target != change.order.target)
        rollout.report.reset();
}

void FleetView::on(const RolloutRemoved &change, TimePoint)
{
    rollouts_.erase(change.service);
}

void FleetView::on(const RolloutReportWritten &change, TimePoint)
{
    const auto found = rollouts_.find(change.report.service);
    if (found != rollouts_.end() && found->second.order.target == change.report.target)
        found->second.report = change.report;
}

std::chrono::milliseconds FleetView::coldDuration(const ServiceId &service) const
{
    const auto *policy = config_ ? config_->findService(service) : nullptr;
    return policy ? policy->coldDuration : std::chrono::milliseconds(0);
}

bool FleetView::versionAllowed(const RegisteredServer &server) const
{
    const auto found = rollouts_.find(server.service);
    if (found == rollouts_.end())
        return true;
    const auto &rollout = found->second;
    const bool isTarget = server.version == rollout.order.target;
    if (rollout.report && rollout.report->state == RolloutState::Completed)
        return isTarget;
    return !isTarget;
}

} // namespace jy
