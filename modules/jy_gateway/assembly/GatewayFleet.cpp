// The parts of Gateway that handle the store and the peers. Construction, listening and shutdown
// are in Gateway.cpp.

#include "jy_base/time/BootClock.h"
#include "jy_gateway/assembly/Gateway.h"
#include "jy_gateway/peers/HeartbeatCodec.h"
#include "jy_gateway/peers/PeerGroups.h"
#include "jy_gateway/registry/InstanceEntry.h"
#include "jy_gateway/rollouts/RolloutProgressEntry.h"
#include "jy_runtime/logging/Log.h"

#include <algorithm>
#include <limits>
#include <mutex>
#include <set>
#include <utility>

namespace jy {

namespace {

using Clock = std::chrono::steady_clock;
using std::chrono::milliseconds;

constexpr milliseconds housekeepingPeriod{250};

// Small compared with the shortest time after which a silent server counts as stalled.
constexpr milliseconds stallCheckPeriod{50};

// If a heartbeat is later than this, the process was suspended, and the silence of the peers in
// that time says nothing about them.
constexpr milliseconds suspensionThreshold{1500};

// Requests that a server can have at once, for each slot: an engine starts all requests of a batch
// together, any other server works on one while a second one waits.
constexpr int requestsPerEngineSlot = 1;
constexpr int requestsPerServerSlot = 2;

// Part of a server's connection limit that the instances use together; the rest is for differences
// in their views of the fleet.
constexpr double connectionLimitUse = 0.8;

// Period to which the setting retrySlack refers.
constexpr double retryWindowSeconds = 10;

/** Logs each change, because the changes determine how requests are routed. */
struct ChangeLogger
{
    std::uint64_t revision;
    StoreEra era;

    void operator()(const ConfigWritten &change) const
    {
        logEvent(LogLevel::Info, "config-in-force",
                 {{"version", change.config->version},
                  {"routes", change.config->routeCount()},
                  {"keys", change.config->keyCount()},
                  {"revision", revision},
                  {"era", era}});
    }
    void operator()(const ServerWritten &change) const
    {
        logEvent(LogLevel::Info, "server-listed",
                 {{"server", change.server.id},
                  {"service", change.server.service},
                  {"version", change.server.version},
                  {"leaving", change.server.leaving},
                  {"cold_ms", change.server.coldLeft},
                  {"revision", revision}});
    }
    void operator()(const ServerRemoved &change) const
    {
        logEvent(LogLevel::Info, "server-removed", {{"server", change.id}, {"revision", revision}});
    }
    void operator()(const EvacuationWritten &change) const
    {
        logEvent(LogLevel::Info, "domain-evacuated",
                 {{"domain", change.domain}, {"revision", revision}});
    }
    void operator()(const EvacuationRemoved &change) const
    {
        logEvent(LogLevel::Info, "domain-returned",
                 {{"domain", change.domain}, {"revision", revision}});
    }
    void operator()(const InstanceWritten &change) const
    {
        logEvent(LogLevel::Info, "instance-listed",
                 {{"instance", change.instance.id}, {"revision", revision}});
    }
    void operator()(const InstanceRemoved &change) const
    {
        logEvent(LogLevel::Info, "instance-removed",
                 {{"instance", change.id}, {"revision", revision}});
    }
    void operator()(const RolloutWritten &change) const
    {
        logEvent(LogLevel::Info, "rollout-ordered",
                 {{"service", change.order.service},
                  {"target", change.order.target},
                  {"duration_ms", change.order.duration},
                  {"revision", revision}});
    }
    void operator()(const RolloutRemoved &change) const
    {
        logEvent(LogLevel::Info, "rollout-withdrawn",
                 {{"service", change.service}, {"revision", revision}});
    }
    void operator()(const RolloutProgressWritten &change) const
    {
        logEvent(LogLevel::Info, "rollout-progress",
                 {{"service", change.progress.service},
                  {"phase", toString(change.progress.phase)},
                  {"reason", change.progress.reason},
                  {"order", change.progress.order},
                  {"revision", revision}});
    }
    void operator()(const RolloutReportWritten &change) const
    {
        logEvent(LogLevel::Info, "rollout-reported",
                 {{"service", change.report.service},
                  {"target", change.report.target},
                  {"state", static_cast<int>(change.report.state)},
                  {"revision", revision}});
    }
};

void logLimit(const ServerLimitReport &limit, const InstanceId &reportedBy, bool changed)
{
    if (changed)
        logEvent(LogLevel::Info, limit.perSecond ? "server-limited" : "server-unlimited",
                 {{"server", limit.server},
                  {"reported_by", reportedBy},
                  {"per_second", limit.perSecond.value_or(0)}});
}

} // namespace

void Gateway::merge(const StoreItem &item)
{
    if (item.key == dutyHolderKey) {
        duties_.holderChanged(item);
        return;
    }
    auto change = decodeInstance(item);
    if (!change) {
        if (auto progress = decodeRolloutProgress(item))
            change = RolloutProgressWritten{std::move(*progress)};
    }
    if (!change)
        change = adapter_.decode(item);
    if (!change)
        return;
    std::visit(ChangeLogger{item.revision, mirror_.position().era}, *change);
    fleet_.apply(*change, Clock::now());
}

void Gateway::stateChanged()
{
    const auto groups = peers_.groupCount();
    peers_.setRegistered(fleet_.instances(), Clock::now());
    if (peers_.groupCount() != groups) {
        loads_.clearReports();
        health_.clearReports();
        demand_.clear();
        logEvent(LogLevel::Info, "groups-changed",
                 {{"groups", peers_.groupCount()}, {"instances", fleet_.instances().size()}});
    }
    serverByHash_.clear();
    serviceByAddress_.clear();
    for (const auto &[id, state] : fleet_.servers()) {
        serverByHash_[serverHash(id)] = id;
        serviceByAddress_[state.entry.endpoint] = state.entry.service;
    }
    applyLimits();
    notifyMirrorChanged();
}

std::vector<RegisteredInstance> Gateway::liveInstances() const
{
    auto live = peers_.alive(Clock::now());
    live.push_back(self_);
    return live;
}

void Gateway::awaitConfig(milliseconds longest)
{
    std::unique_lock lock(mirrorChangedMutex_);
    mirrorChanged_.wait_for(lock, longest, [this] { return fleet_.config() || sync_.lost(); });
}

void Gateway::notifyMirrorChanged()
{
    const std::lock_guard lock(mirrorChangedMutex_);
    mirrorChanged_.notify_all();
}

void Gateway::storeLost(const Error &error)
{
    notifyMirrorChanged();
    logEvent(LogLevel::Warn, "store-lost",
             {{"reason", error.message}, {"revision", mirror_.position().revision}});
}

void Gateway::storeReturned()
{
    logEvent(LogLevel::Info, "store-returned", {{"revision", mirror_.position().revision}});
    fleet_.storeReturned(Clock::now());
}

void Gateway::storeRestored(StoreEra before, StoreEra now)
{
    logEvent(LogLevel::Warn, "store-restored",
             {{"era_before", before}, {"era", now}, {"revision", mirror_.position().revision}});
    fleet_.storeRestored(Clock::now());
}

void Gateway::receiveHeartbeat(std::string_view bytes)
{
    const auto findServer = [this](std::uint32_t hash) {
        const auto found = serverByHash_.find(hash);
        return found == serverByHash_.end() ? nullptr : &found->second;
    };
    const auto heartbeat = decodeHeartbeat(
        bytes, findServer, [this](std::uint32_t hash) { return peers_.findByHash(hash); });
    // The sender is unknown until its next complete heartbeat.
    if (!heartbeat && heartbeat.error().kind == ErrorKind::UnknownTarget)
        return;
    if (!heartbeat) {
        logEvent(LogLevel::Warn, "beat-unreadable", {{"reason", heartbeat.error().message}});
        return;
    }
    const auto now = Clock::now();
    const auto &id = heartbeat.value().instance.id;
    if (heartbeat.value().usage) {
        duties_.receive(*heartbeat.value().usage);
        return;
    }
    if (heartbeat.value().rollout) {
        receiveOutcomes(id, heartbeat.value().incarnation, *heartbeat.value().rollout);
        return;
    }
    if (heartbeat.value().wallTime && id != self_.id)
        fleetClock_.addSample(id, *heartbeat.value().wallTime, bootTime());
    for (const auto &[server, startTimeMs] : heartbeat.value().leaving) {
        if (fleet_.markServerLeaving(server, startTimeMs))
            logEvent(LogLevel::Info, "server-leaving", {{"server", server}, {"reported_by", id}});
    }
    if (heartbeat.value().group) {
        receiveGroupReport(*heartbeat.value().group, now);
        for (const auto &pair : heartbeat.value().cached)
            prompts_.addFromGroup(pair, now);
        quarantine_.receiveFromGroup(heartbeat.value().parts, now);
        for (const auto &limit : heartbeat.value().serverLimits)
            logLimit(limit, id, rateLimits_.receiveFromGroup(limit, now));
        if (heartbeat.value().demand)
            demand_.setGroup(heartbeat.value().group->group, *heartbeat.value().demand, now);
        return;
    }
    if (!peers_.receive(heartbeat.value(), now) || !peers_.inOwnGroup(id))
        return;
    for (const auto &pair : heartbeat.value().cached)
        prompts_.addFromPeer(pair, now);
    loads_.setPeerRequests(id, heartbeat.value().requests, now);
    stalls_.setPeerStalled(id, heartbeat.value().stalled, now);
    if (heartbeat.value().demand)
        demand_.setInstance(id, *heartbeat.value().demand, now);
    quarantine_.receive(heartbeat.value().parts, now);
    for (const auto &limit : heartbeat.value().serverLimits)
        logLimit(limit, id, rateLimits_.receive(limit, now));
    if (!heartbeat.value().brief)
        health_.setPeerOutcomes(id, heartbeat.value().outcomes, now);
}

void Gateway::receiveGroupReport(const GroupReport &report, TimePoint now)
{
    if (!peers_.receiveReport(report, now))
        return;
    loads_.setGroupRequests(report.group, report.requests, now);
    health_.setGroupOutcomes(report.group, report.outcomes, now);
}

void Gateway::sendHeartbeat(HeartbeatScope scope)
{
    const auto now = Clock::now();
    auto outcomes = health_.outcomes(now);
    const bool brief = schedule_.nextIsBrief(outcomes) && scope == HeartbeatScope::OwnGroup;
    const bool everywhere = scope == HeartbeatScope::AllInstances;
    const auto destinations = everywhere ? peers_.allDestinations() : peers_.destinations();
    const auto entries = incidentEntries_.available(destinations.size(), now);
    auto parts = quarantine_.takeReport(entries, !brief, now);
    auto limits = rateLimits_.takeReports(entries - std::min(entries, parts.size()));
    incidentEntries_.spend(parts.size() + limits.size(), destinations.size());
    const Heartbeat heartbeat{.brief = brief,
                              .instance = self_,
                              .incarnation = incarnation_,
                              .sequence = ++heartbeatSequence_,
                              .ready = ready(),
                              .requests = loads_.own(),
                              .outcomes = std::move(outcomes),
                              .leaving = fleet_.announcedLeaving(),
                              .cached = prompts_.takeUpdates(peers_.cachedPromptsPerHeartbeat()),
                              .stalled = stalls_.ownStalled(now),
                              .parts = std::move(parts),
                              .serverLimits = std::move(limits),
                              .demand = ownDemand(now),
                              .wallTime = std::chrono::system_clock::now()};
    const auto bytes = encodeHeartbeat(heartbeat);
    for (const auto &to : destinations)
        heartbeats_->send(bytes, to);
}

void Gateway::sendGroupReport()
{
    const auto now = Clock::now();
    const auto destinations = peers_.reportDestinations(now);
    if (destinations.empty())
        return;
    GroupReport report{.groups = peers_.groupCount(),
                       .group = PeerGroups::groupOf(self_.id, peers_.groupCount()),
                       .ready = peers_.readyInGroup(now),
                       .requests = loads_.ownGroup(),
                       .outcomes = health_.ownGroup(now)};
    if (ready())
        report.ready.push_back(peerHash(self_.id));
    const auto entries = incidentEntries_.available(destinations.size(), now);
    auto parts = quarantine_.takeGroupReport(entries, now);
    auto limits = rateLimits_.takeGroupReports(entries - std::min(entries, parts.size()));
    incidentEntries_.spend(parts.size() + limits.size(), destinations.size());
    const auto bytes =
        encodeHeartbeat({.instance = self_,
                         .incarnation = incarnation_,
                         .sequence = ++heartbeatSequence_,
                         .ready = ready(),
                         .leaving = fleet_.announcedLeaving(),
                         .cached = prompts_.takeGroupUpdates(peers_.cachedPromptsPerReport()),
                         .parts = std::move(parts),
                         .serverLimits = std::move(limits),
                         .demand = groupDemand(now),
                         .group = std::move(report)});
    for (const auto &to : destinations)
        heartbeats_->send(bytes, to);
}

void Gateway::runHeartbeats(StopToken &stop)
{
    auto last = Clock::now();
    while (stop.sleepFor(peers_.period())) {
        const auto now = Clock::now();
        if (now - last > peers_.period() + suspensionThreshold) {
            logEvent(LogLevel::Warn, "standstill", {{"gap_ms", now - last}});
            peers_.resetSilenceTimers(now);
        }
        last = now;
        // Other groups would otherwise learn of a change of readiness only from the next report.
        const bool changed = std::exchange(lastSentReady_, ready()) != ready();
        sendHeartbeat(changed ? HeartbeatScope::AllInstances : HeartbeatScope::OwnGroup);
        if (++heartbeatsSinceReport_ >= PeerTable::heartbeatsPerReport) {
            heartbeatsSinceReport_ = 0;
            sendGroupReport();
        }
    }
}

void Gateway::runHousekeeping(StopToken &stop)
{
    while (stop.sleepFor(housekeepingPeriod)) {
        const auto now = Clock::now();
        for (const auto &server : fleet_.expire(now)) {
            health_.forget(server);
            reports_.forget(server);
            logEvent(LogLevel::Info, "server-gone",
                     {{"server", server}, {"reason", "entry did not return"}});
        }
        loads_.expire(now);
        demand_.expire(now);
        health_.expire(now);
        backoff_.expire(now);
        reports_.expire(now);
        fleetClock_.expire(bootTime());
        std::set<InstanceId> live{self_.id};
        for (const auto &peer : peers_.alive(now))
            live.insert(peer.id);
        liveCount_ = live.size();
        quarantine_.setInstances(live);
        quarantine_.setObjectionTime(peers_.responseTime());
        rateLimits_.setInstances(live);
        rolloutTraffic_.setInstances(live.size());
        rolloutTraffic_.setInContact(sync_.inContact());
        cold_.setInstances(std::move(live));
        chooser_.setReportAge(peers_.reportAge());
        std::set<ServerId> known;
        for (const auto &[id, state] : fleet_.servers())
            known.insert(id);
        cold_.retain(known);
        rateLimits_.retain(known);
        updateAdmission(now);
    }
}

std::optional<DemandByService> Gateway::ownDemand(TimePoint now) const
{
    if (!serviceAdmission_)
        return std::nullopt;
    return serviceAdmission_->demands(now);
}

std::optional<DemandByService> Gateway::groupDemand(TimePoint now) const
{
    if (!serviceAdmission_)
        return std::nullopt;
    return demand_.groupSum(serviceAdmission_->demands(now));
}

void Gateway::updateAdmission(TimePoint now)
{
    const auto &config = fleet_.config();
    if (!serviceAdmission_ || !config)
        return;
    DemandTable::Expected expected{.groups = peers_.groupCount() - 1};
    for (const auto &peer : peers_.alive(now))
        expected.instances += peers_.inOwnGroup(peer.id) ? 1 : 0;
    for (const auto &[service, policy] : config->services()) {
        const int requestsPerSlot =
            policy.cacheTokens > 0 ? requestsPerEngineSlot : requestsPerServerSlot;
        FleetUse use;
        for (const auto *server : fleet_.candidates(service, now)) {
            if (health_.isExcluded(server->entry.id, now))
                continue;
            use.places += server->entry.slots * requestsPerSlot;
            use.inFlight += loads_.total(server->entry.id).inFlight;
        }
        use.otherDemand =
            demand_.others(service, serviceAdmission_->demand(service, now), expected);
        serviceAdmission_->update(service, use, now);
    }
    serviceAdmission_->retain(
        [&](const ServiceId &service) { return config->findService(service); });
}

std::size_t Gateway::idleConnectionLimit(const Endpoint &server) const
{
    const auto service = serviceByAddress_.find(server);
    const auto &config = fleet_.config();
    const auto *policy = service == serviceByAddress_.end() || !config
        ? nullptr
        : config->findService(service->second);
    if (!policy || policy->maxConnections <= 0)
        return std::numeric_limits<std::size_t>::max();
    const double share =
        policy->maxConnections * connectionLimitUse / static_cast<double>(liveCount_);
    return std::max<std::size_t>(1, static_cast<std::size_t>(share));
}

bool Gateway::isFull(const ServerId &server) const
{
    const auto *state = fleet_.findServer(server);
    return state && loads_.total(server).inFlight > state->entry.slots;
}

void Gateway::updateQuarantine(TimePoint now)
{
    for (const auto &change : quarantine_.update(now)) {
        if (change.quarantined)
            logEvent(LogLevel::Warn, "prompt-part-quarantined",
                     {{"part", change.part}, {"servers", change.servers}});
        else
            logEvent(LogLevel::Info, "prompt-part-cleared", {{"part", change.part}});
    }
}

void Gateway::runStallChecks(StopToken &stop)
{
    std::set<ServerId> known;
    while (stop.sleepFor(stallCheckPeriod)) {
        const auto now = Clock::now();
        stalls_.check(now);
        updateQuarantine(now);
        const auto list = stalls_.ownStalled(now);
        std::set<ServerId> stalled(list.begin(), list.end());
        for (const auto &server : stalled) {
            if (!known.contains(server))
                logEvent(LogLevel::Info, "server-stalled", {{"server", server}});
        }
        for (const auto &server : known) {
            if (!stalled.contains(server))
                logEvent(LogLevel::Info, "server-heard", {{"server", server}});
        }
        known = std::move(stalled);
    }
}

double Gateway::minimumRetryRate() const
{
    const auto instances = static_cast<double>(liveCount_);
    // Half, because the instances' counts of live instances may differ for a short time.
    return settings_.bounds.retrySlack / retryWindowSeconds / instances / 2;
}

} // namespace jy
