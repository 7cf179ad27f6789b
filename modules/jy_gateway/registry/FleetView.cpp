#include "jy_gateway/registry/FleetView.h"

#include <algorithm>
#include <utility>

namespace jy {

namespace {

// Heartbeats after which an entry that a restored store still lists is that of a live server: the
// store removes it after three missing ones, and instances read of the removal a little later.
constexpr int confirmingHeartbeats = 4;

} // namespace

bool RolloutView::completed() const
{
    return (report && report->state == RolloutState::Completed)
        || (progress && progress->phase == RolloutPhase::Completed);
}

bool RolloutView::underWay() const
{
    return !completed() && progress
        && (progress->phase == RolloutPhase::Analyzing || progress->phase == RolloutPhase::Moving);
}

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
            noteDeparted(state.entry);
        }
        return due;
    });
    if (isRestoring(now))
        return removed;
    for (const auto &domain : std::exchange(missingEvacuations_, {}))
        endEvacuation(domain, now);
    for (const auto &service : std::exchange(missingRollouts_, {}))
        rollouts_.erase(service);
    if (now >= unconfirmedUntil_)
        leftBeforeRestore_.clear();
    return removed;
}

void FleetView::storeReturned(TimePoint now)
{
    entriesUncertainUntil_ = now + reregistrationTime;
    // Entries that were missing after an earlier outage may still return after this one.
    for (auto &[id, state] : servers_) {
        if (state.removalDue)
            state.removalDue = entriesUncertainUntil_;
    }
}

void FleetView::storeRestored(TimePoint now)
{
    storeReturned(now);
    restoringUntil_ = now + reregistrationTime;
    unconfirmedUntil_ = now + confirmingHeartbeats * settings_.serverHeartbeat;
    leftBeforeRestore_.insert(departed_.begin(), departed_.end());
    for (auto &[id, state] : servers_) {
        if (state.leaving)
            leftBeforeRestore_.emplace(id, state.entry.startTimeMs);
        // The store has to confirm the entry anew after each restore.
        if (now < state.unconfirmedUntil)
            state.unconfirmedUntil = unconfirmedUntil_;
    }
}

bool FleetView::wasLeaving(const RegisteredServer &server) const
{
    return leftBeforeRestore_.contains({server.id, server.startTimeMs});
}

void FleetView::noteDeparted(const RegisteredServer &server)
{
    departed_.emplace_back(server.id, server.startTimeMs);
    if (departed_.size() > maxDeparted)
        departed_.pop_front();
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

bool FleetView::isReady(const ServerState &server, TimePoint now) const
{
    const bool gone = server.leaving || now < server.unconfirmedUntil
        || (server.removalDue && *server.removalDue <= now);
    return !gone && !evacuated_.contains(server.entry.domain);
}

bool FleetView::isEligible(const ServerState &server, TimePoint now) const
{
    return isReady(server, now) && versionAllowed(server.entry);
}

std::size_t FleetView::readyTargets(const ServiceId &service, TimePoint now) const
{
    return static_cast<std::size_t>(std::ranges::count_if(servers_, [&](const auto &entry) {
        const auto &state = entry.second;
        return state.entry.service == service && isTarget(state.entry) && isReady(state, now);
    }));
}

std::vector<const ServerState *> FleetView::candidates(const ServiceId &service, TimePoint now,
                                                       VersionGroup group) const
{
    std::vector<const ServerState *> result;
    for (const auto &[id, state] : servers_) {
        if (state.entry.service != service || !isEligible(state, now))
            continue;
        if (group != VersionGroup::Any && isTarget(state.entry) != (group == VersionGroup::Target))
            continue;
        result.push_back(&state);
    }
    return result;
}

bool FleetView::isTarget(const RegisteredServer &server) const
{
    const auto found = rollouts_.find(server.service);
    return found != rollouts_.end() && server.version == found->second.order.target;
}

std::uint64_t FleetView::progressRevision(const ServiceId &service) const
{
    const auto found = progressRevisions_.find(service);
    return found == progressRevisions_.end() ? 0 : found->second;
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
    const bool restoring = now < unconfirmedUntil_;
    // A restored store may show the start before the known one.
    if (restarted && restoring && registered.startTimeMs < state.entry.startTimeMs)
        return;
    if (!known && !restoring)
        std::erase(departed_, ServerStart(registered.id, registered.startTimeMs));
    if (restarted) {
        noteDeparted(state.entry);
        state = ServerState{};
        announced_.erase(registered.id);
    }
    if (!known || restarted)
        state.since = now;
    state.entry = registered;
    if (restoring && wasLeaving(registered))
        state.unconfirmedUntil = unconfirmedUntil_;
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
        noteDeparted(found->second.entry);
        servers_.erase(found);
    }
}

void FleetView::on(const EvacuationWritten &change, TimePoint)
{
    missingEvacuations_.erase(change.domain);
    evacuated_.insert(change.domain);
}

void FleetView::on(const EvacuationRemoved &change, TimePoint now)
{
    if (isRestoring(now))
        missingEvacuations_.insert(change.domain);
    else
        endEvacuation(change.domain, now);
}

void FleetView::endEvacuation(const DomainId &domain, TimePoint now)
{
    if (evacuated_.erase(domain) == 0)
        return;
    // Servers become cold without requests, and other servers have cached their prefixes meanwhile.
    for (auto &[id, state] : servers_) {
        if (state.entry.domain != domain)
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
    missingRollouts_.erase(change.order.service);
    auto &rollout = rollouts_[change.order.service];
    // The same order again: the list of the store was read once more.
    if (rollout.order == change.order)
        return;
    // The operator writes the order again after a restore, with another revision.
    if (isRestoring(now) && rollout.order.target == change.order.target
        && rollout.order.duration == change.order.duration) {
        rollout.order.revision = change.order.revision;
        return;
    }
    rollout = {.order = change.order, .seen = now};
}

void FleetView::on(const RolloutRemoved &change, TimePoint now)
{
    if (isRestoring(now))
        missingRollouts_.insert(change.service);
    else
        rollouts_.erase(change.service);
}

void FleetView::on(const RolloutReportWritten &change, TimePoint)
{
    const auto found = rollouts_.find(change.report.service);
    if (found == rollouts_.end() || found->second.order.target != change.report.target)
        return;
    // An older report belongs to an earlier order for the same version.
    if (change.revision >= found->second.order.revision)
        found->second.report = change.report;
}

void FleetView::on(const RolloutProgressWritten &change, TimePoint now)
{
    const auto &progress = change.progress;
    progressRevisions_[progress.service] = progress.revision;
    const auto found = rollouts_.find(progress.service);
    if (found == rollouts_.end() || found->second.order.revision != progress.order)
        return;
    auto &rollout = found->second;
    if (!rollout.progress || rollout.progress->phase != progress.phase)
        rollout.phaseSeen = now;
    rollout.progress = progress;
}

std::chrono::milliseconds FleetView::coldDuration(const ServiceId &service) const
{
    const auto *policy = config_ ? config_->findService(service) : nullptr;
    return policy ? policy->coldDuration : std::chrono::milliseconds(0);
}

bool FleetView::versionAllowed(const RegisteredServer &server) const
{
    const auto found = rollouts_.find(server.service);
    if (found == rollouts_.end() || found->second.underWay())
        return true;
    return isTarget(server) == found->second.completed();
}

} // namespace jy
