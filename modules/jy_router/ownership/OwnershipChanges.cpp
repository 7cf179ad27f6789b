// The part of OwnerService that follows membership, probes and the desired state.

#include "jy_router/ownership/OwnerService.h"

#include "jy_router/ownership/PeerConversion.h"

#include <algorithm>

namespace jy {

namespace {

// One lost probe is common under load; two in a row take a server out within 3 s.
constexpr int probesUntilDown = 2;

// The receiver may not know yet that it is the owner; gossip needs up to a few seconds.
constexpr int handOffAttempts = 8;
constexpr std::chrono::milliseconds handOffRetryInterval{500};

constexpr std::chrono::seconds downHold{3};

} // namespace

OwnedServerSpec OwnerService::specOf(const BackendServer &server) const
{
    OwnedServerSpec spec{.id = server.id, .pool = poolName(server)};
    const auto &state = *dependencies_.directory.desiredState();
    if (const auto model = state.models.find(server.model); model != state.models.end()) {
        spec.maxConcurrency = model->second.maxConcurrency;
        spec.loadMultiple = model->second.loadMultiple;
        spec.loadFloor = model->second.loadFloor;
    }
    if (const auto service = state.services.find(server.service); service != state.services.end())
        spec.maxConcurrency = service->second.maxConcurrency;
    return spec;
}

double OwnerService::weightOf(const WorkspaceId &workspace) const
{
    const auto &workspaces = dependencies_.directory.desiredState()->workspaces;
    const auto found = workspaces.find(workspace);
    return found == workspaces.end() ? 1.0 : found->second.weight;
}

void OwnerService::synchronise()
{
    noticeGoneRouters();
    std::set<ServerId> listed;
    for (const auto *server : dependencies_.directory.servers()) {
        listed.insert(server->id);
        const auto owner = dependencies_.ownership.owner(server->id, server->region);
        if (owner == settings_.self)
            acquire(*server);
        else if (ledger_.owns(server->id) || lastOwner_[server->id] != owner)
            handOff(*server, owner);
        lastOwner_[server->id] = owner;
    }
    for (const auto &server : ledger_.owned()) {
        if (!listed.contains(server)) {
            ledger_.remove(server, dependencies_.now());
            event("server_removed", server, "not in the instance list");
        }
    }
    std::erase_if(lastOwner_, [&](const auto &item) {
        if (listed.contains(item.first))
            return false;
        ledger_.forgetExceptionsTo(item.first);
        previousOwner_.erase(item.first);
        failedProbes_.erase(item.first);
        return true;
    });
    dispatchActions();
    for (auto &[to, states] : std::exchange(handOffs_, {})) {
        fibers_.spawn([this, to = to, states = std::move(states)]() mutable {
            sendHandOffs(to, std::move(states));
        });
    }
}

void OwnerService::noticeGoneRouters()
{
    std::map<InstanceId, std::uint64_t> live;
    for (const auto &router : dependencies_.ownership.liveRouters())
        live[router.id] = router.incarnation;
    const auto now = dependencies_.now();
    for (const auto &[router, incarnation] : liveRouters_) {
        const auto found = live.find(router);
        if (found != live.end() && found->second == incarnation)
            continue;
        // A restarted router has lost its streams and waits to hear that it is the owner. One that
        // only refuted a suspicion keeps its reservations by reporting them.
        ledger_.holderGone(router, now);
        std::erase_if(lastOwner_,
                      [&gone = router](const auto &item) { return item.second == gone; });
    }
    std::erase_if(previousOwner_, [&](const auto &item) {
        if (live.contains(item.second))
            return false;
        ledger_.previousOwnerGone(item.first, now);
        return true;
    });
    liveRouters_ = std::move(live);
}

void OwnerService::acquire(const BackendServer &server)
{
    if (!ledger_.owns(server.id)) {
        auto previous = lastOwner_[server.id];
        if (previous.empty() || previous == settings_.self) {
            previous =
                dependencies_.ownership.ownerWithout(server.id, server.region, settings_.self);
        }
        const auto &routers = dependencies_.ownership.liveRouters();
        const bool live = std::any_of(routers.begin(), routers.end(),
                                      [&](const auto &router) { return router.id == previous; });
        if (live)
            previousOwner_[server.id] = previous;
        ledger_.acquire(specOf(server), live, dependencies_.now());
        event("server_acquired", server.id, live ? previous.value() : "no previous owner");
        return;
    }
    ledger_.acquire(specOf(server), false, dependencies_.now());
}

void OwnerService::handOff(const BackendServer &server, const InstanceId &newOwner)
{
    previousOwner_.erase(server.id);
    failedProbes_.erase(server.id);
    const auto now = dependencies_.now();
    // Nobody tells a router that does not own the server when it recovers.
    if (dependencies_.directory.health(server.id, now) == ServerHealth::Down)
        dependencies_.directory.setHealth(server.id, ServerHealth::Down, now, downHold);
    auto state = ledger_.handOff(server.id, now);
    if (newOwner.empty())
        return;
    if (!state) {
        // The new owner waits for a confirmation by the router it takes for its predecessor.
        const bool expected = lastOwner_[server.id] == settings_.self
            || dependencies_.ownership.ownerWithout(server.id, server.region, newOwner)
                == settings_.self;
        if (!expected)
            return;
        state = HandOffState{.server = server.id};
    }
    handOffs_[newOwner].push_back(std::move(*state));
    event("server_handed_off", server.id, newOwner.value());
}

void OwnerService::sendHandOffs(const InstanceId &to, std::vector<HandOffState> states)
{
    for (int attempt = 0; attempt < handOffAttempts; ++attempt) {
        peer::HandOffRequest request;
        request.set_from(settings_.self.value());
        request.set_from_incarnation(settings_.incarnation);
        for (const auto &state : states) {
            const auto *server = dependencies_.directory.find(state.server);
            // A later change is handled by a later synchronise() with the state of that time.
            if (server != nullptr
                && dependencies_.ownership.owner(state.server, server->region) == to)
                *request.add_servers() = toProto(state);
        }
        if (request.servers_size() == 0)
            return;
        const auto reply = dependencies_.sendHandOff(to, request);
        if (reply && !reply.value().has_failure())
            return;
        if (!fibers_.sleepFor(handOffRetryInterval))
            return;
    }
    // The new owner stays in recovery until it is confirmed; the next synchronise() tries again.
    for (const auto &state : states)
        lastOwner_.erase(state.server);
    event("hand_off_failed", states.front().server, to.value());
}

void OwnerService::closeServers()
{
    const auto now = dependencies_.now();
    const auto &domains = dependencies_.directory.desiredState()->domains;
    for (const auto &id : ledger_.owned()) {
        const auto *server = dependencies_.directory.find(id);
        std::optional<Error> reason;
        if (server == nullptr) {
            reason = Error{ErrorKind::UnknownTarget, "no server " + id.value(), {}};
        } else if (server->leaving) {
            reason = Error{ErrorKind::ServerLeaving, "server " + id.value() + " is leaving", {}};
        } else if (const auto domain = domains.find(server->domain);
                   domain == domains.end() || domain->second.state == DomainState::Out) {
            reason = Error{ErrorKind::DomainOut,
                           "domain " + server->domain.value() + " is out of service",
                           {}};
        } else if (dependencies_.directory.health(id, now) == ServerHealth::Down) {
            reason = Error{ErrorKind::ConnectFailed, "server " + id.value() + " is down", {}};
        }
        ledger_.setClosed(id, std::move(reason), now);
    }
}

void OwnerService::probeAll()
{
    for (const auto &id : ledger_.owned()) {
        const auto *server = dependencies_.directory.find(id);
        // A probe that is still waiting for its timeout must not pile up.
        if (server == nullptr || !probing_.insert(id).second)
            continue;
        fibers_.spawn([this, copy = *server] {
            probeOne(copy);
            probing_.erase(copy.id);
        });
    }
}

void OwnerService::probeOne(const BackendServer &server)
{
    const auto result = dependencies_.probe(server);
    const auto now = dependencies_.now();
    if (!ledger_.owns(server.id))
        return;
    const auto before = dependencies_.directory.health(server.id, now);
    if (result && result.value().ready) {
        failedProbes_.erase(server.id);
        dependencies_.directory.setHealth(server.id, ServerHealth::Up, now);
        ledger_.setStartIdentity(server.id, result.value().startIdentity, now);
        if (before == ServerHealth::Down)
            event("server_up", server.id, result.value().startIdentity);
    } else if (++failedProbes_[server.id] >= probesUntilDown) {
        dependencies_.directory.setHealth(server.id, ServerHealth::Down, now);
        if (before != ServerHealth::Down)
            event("server_down", server.id, result ? "not ready" : result.error().message);
    }
}

void OwnerService::reportPools()
{
    for (const auto &[name, load] : ledger_.poolReports(dependencies_.now())) {
        peer::PoolReport report;
        report.set_pool(name);
        report.set_in_flight(static_cast<std::uint32_t>(load.inFlight));
        report.set_servers(static_cast<std::uint32_t>(load.servers));
        report.set_limit(static_cast<std::uint32_t>(load.limit));
        report.set_queued(static_cast<std::uint32_t>(load.queued));
        dependencies_.sendPoolReport(report);
    }
}

} // namespace jy
