#include "jy_router/assembly/Router.h"

#include "jy_core/membership/RouterChoice.h"
#include "jy_router/assembly/PeerWiring.h"

#include <boost/uuid/random_generator.hpp>
#include <boost/uuid/uuid_io.hpp>

namespace jy {

namespace {

// A router that owns a record shard makes up to 20 writes and as many reads a second; the fleet
// has at most 4 shards per time bucket, so few routers reach this rate at once.
constexpr KvLimits kvLimits{.callsPerSecond = 60, .burst = 200};

// The instance list lags by itself; a leaving server must get no new work within 5 s.
constexpr std::chrono::milliseconds listInterval{1500};

constexpr std::chrono::milliseconds peerCallTimeout{1000};

MemberInfo selfInfo(const RouterSettings &settings, std::uint64_t incarnation)
{
    MemberInfo info;
    info.id = settings.instance.id;
    info.domain = settings.instance.domain;
    info.region = settings.instance.region;
    info.gossip = settings.listen.gossip;
    info.rpc = settings.listen.rpc;
    info.caller = settings.listen.caller;
    info.operations = settings.listen.operations;
    info.incarnation = incarnation;
    return info;
}

Result<std::uint64_t> swapKey(RouterContext &context, const std::string &key,
                              const std::string &value, std::uint64_t expectedIndex)
{
    const auto swapped = context.kv->compareAndSwap(key, value, expectedIndex);
    if (!swapped)
        return failure(swapped.error().kind, swapped.error().message, swapped.error().retryAfter);
    // The service answers only whether it swapped. Another writer may have replaced the value since
    // then; its index must not be taken for that of this value, so 0 makes the next swap fail.
    const auto stored = context.kv->get(key);
    if (!stored || !stored.value() || stored.value()->value != value)
        return std::uint64_t{0};
    return stored.value()->modifyIndex;
}

Result<std::optional<KvValue>> readKey(RouterContext &context, const std::string &key)
{
    const auto entry = context.kv->get(key);
    if (!entry)
        return failure(entry.error().kind, entry.error().message);
    if (!entry.value())
        return std::optional<KvValue>();
    return std::optional<KvValue>(KvValue{entry.value()->value, entry.value()->modifyIndex});
}

Result<std::optional<KvValue>> watchKey(RouterContext &context, const std::string &key,
                                        std::uint64_t afterIndex, std::chrono::milliseconds maxWait)
{
    const auto change = context.kv->watch(key, afterIndex, maxWait);
    if (!change)
        return failure(change.error().kind, change.error().message);
    if (!change.value().entry)
        return std::optional<KvValue>();
    const auto &entry = *change.value().entry;
    return std::optional<KvValue>(KvValue{entry.value, entry.modifyIndex});
}

/** Calls a peer by its id. */
template <class Reply, class Call>
Result<Reply> callPeer(RouterContext &context, const InstanceId &peer, Call call)
{
    const auto endpoint = context.rpcEndpoint(peer);
    if (!endpoint)
        return failure(endpoint.error().kind, endpoint.error().message);
    return call(endpoint.value());
}

std::vector<ConfigPeer> configPeers(const RouterContext &context)
{
    std::vector<ConfigPeer> peers;
    for (const auto &member : context.membership->membership().members()) {
        if (member.id == context.self() || member.state == MemberState::Dead
            || member.state == MemberState::Left)
            continue;
        peers.push_back({member.id, member.appliedRevision});
    }
    return peers;
}

Result<ProbeResult> probe(RouterContext &context, const BackendServer &server)
{
    if (server.kind == ServerKind::Engine) {
        const auto report = context.engines->load(server.endpoint);
        if (!report)
            return failure(report.error().kind, report.error().message);
        return ProbeResult{report.value().startIdentity, true};
    }
    const auto answer = context.http->request(server.endpoint, {.target = "/healthz"},
                                              context.settings.timings.rpcTimeout);
    if (!answer)
        return failure(answer.error().kind, answer.error().message);
    return ProbeResult{};
}

} // namespace

std::vector<AuthKey> peerKeys(const RouterSettings &settings)
{
    std::vector<AuthKey> keys;
    for (const auto &key : settings.peerKeys.keys)
        keys.push_back({key.id, key.secret});
    return keys;
}

Result<void> Router::buildClients()
{
    const auto &settings = context_.settings;
    BOOST_OUTCOME_TRY(context_.keys,
                      KeyRing::create(peerKeys(settings), settings.peerKeys.sealWith));
    HttpClientSettings http;
    http.connectTimeout = settings.timings.connectTimeout;
    context_.http = HttpClient::create(context_.loop, http);
    context_.engines = EngineClient::create(context_.http, {});
    context_.kv = KvClient::create(context_.http, settings.kv, kvLimits);
    context_.instances = InstanceList::create(context_.http, settings.instanceList);
    context_.peers.emplace(PeerClient::create(context_.loop, context_.keys, context_.self()));
    return success();
}

Result<void> Router::buildMembership()
{
    const auto &settings = context_.settings;
    MembershipDriverSettings driver;
    driver.listInterval = listInterval;
    driver.membership.probePeriod = settings.timings.probePeriod;
    driver.membership.probeTimeout = settings.timings.probeTimeout;
    driver.membership.suspicionTimeout = settings.timings.suspicionTimeout;
    driver.membership.indirectPeers = static_cast<std::size_t>(settings.limits.indirectProbes);
    driver.membership.seeds = settings.seeds;
    MembershipDriverDependencies hooks{.loop = context_.loop, .keys = context_.keys};
    hooks.fetchInstances = [this] { return context_.instances->fetch(); };
    hooks.hybridNow = [this] { return context_.events.now(); };
    hooks.hybridObserve = [this](HybridTime time) { context_.events.observe(time); };
    hooks.events = context_.events.sink();
    hooks.memberChanged = [this](const MemberChanged &change) { memberChanged(change); };
    hooks.instancesListed = [this](const InstanceSnapshot &snapshot) { instancesListed(snapshot); };
    hooks.headRevisionSeen = [this](std::uint64_t revision, const MemberInfo &) {
        context_.config->onRevisionHeard(revision);
    };
    hooks.stopMarksDiffer = [this](const MemberInfo &peer) {
        EventLoop::spawn([this, peer] { exchangeMoves(context_, peer); });
    };
    hooks.poolTotals = [this](const PoolTotals &totals) {
        context_.poolTotals[totals.sum.pool] = totals.sum;
        peer::PoolTotals message;
        message.set_pool(totals.sum.pool);
        message.set_in_flight(totals.sum.inFlight);
        message.set_servers(totals.sum.servers);
        message.set_limit(totals.sum.limit);
        message.set_queued(totals.sum.queued);
        context_.owner->onPoolTotals(message);
    };
    BOOST_OUTCOME_TRY(context_.membership,
                      MembershipDriver::create(std::move(hooks), driver,
                                               selfInfo(settings, context_.incarnation),
                                               context_.incarnation));
    return success();
}

void Router::buildConfig()
{
    ConfigDriverSettings settings;
    settings.self = context_.self();
    settings.watchWait = context_.settings.kv.watchWait;
    settings.seed = context_.incarnation;
    ConfigDriver::Dependencies hooks;
    hooks.readKey = [this](const std::string &key) { return readKey(context_, key); };
    hooks.watchKey = [this](const std::string &key, std::uint64_t afterIndex,
                            std::chrono::milliseconds maxWait) {
        return watchKey(context_, key, afterIndex, maxWait);
    };
    hooks.swapKey = [this](const std::string &key, const std::string &value, std::uint64_t index) {
        return swapKey(context_, key, value, index);
    };
    hooks.watchesHead = [this] { return context_.membership->watchesConfig(); };
    hooks.peers = [this] { return configPeers(context_); };
    hooks.fetchConfig = [this](const InstanceId &peer, const peer::FetchConfigRequest &request,
                               std::chrono::milliseconds timeout) {
        return callPeer<peer::FetchConfigReply>(context_, peer, [&](const Endpoint &to) {
            return context_.peers->fetchConfig(to, request, timeout);
        });
    };
    hooks.announce = [this](std::uint64_t revision) {
        context_.membership->setHeadRevision(revision);
        context_.membership->setAppliedRevision(revision);
    };
    hooks.events = context_.events.sink();
    context_.config = std::make_unique<ConfigDriver>(settings, std::move(hooks));
    context_.moves = createMoveDriver(context_);
    context_.orders = createOrderDriver(context_);
    context_.config->subscribe([this](const auto &state) { desiredStateChanged(state); });
}

void Router::buildOwnership()
{
    const auto &settings = context_.settings;
    OwnerServiceDependencies hooks{context_.directory, context_.ownership};
    hooks.now = std::chrono::steady_clock::now;
    hooks.wallNow = std::chrono::system_clock::now;
    hooks.sendHandOff = [this](const InstanceId &peer, const peer::HandOffRequest &request) {
        return callPeer<peer::HandOffReply>(context_, peer, [&](const Endpoint &to) {
            return context_.peers->handOff(to, request, peerCallTimeout);
        });
    };
    hooks.sendPoolReport = [this](const peer::PoolReport &report) {
        context_.membership->reportPool({.pool = report.pool(),
                                         .inFlight = report.in_flight(),
                                         .servers = report.servers(),
                                         .limit = report.limit(),
                                         .queued = report.queued()});
    };
    hooks.probe = [this](const BackendServer &server) { return probe(context_, server); };
    hooks.event = [this](std::string_view kind, const ServerId &server, std::string_view detail) {
        context_.record(std::string(kind),
                        {{"server", server.value()}, {"detail", std::string(detail)}});
    };
    LedgerSettings ledger;
    ledger.self = context_.self();
    ledger.incarnation = context_.incarnation;
    ledger.reportInterval = settings.timings.reportInterval;
    ledger.expiry = settings.timings.reservationExpiry;
    ledger.exceptionCapacity = static_cast<std::size_t>(settings.limits.maxExceptionsPerServer);
    context_.owner = std::make_unique<OwnerService>(ledger, std::move(hooks));

    ReservationClientDependencies client{*context_.owner, context_.directory, context_.ownership};
    client.now = std::chrono::steady_clock::now;
    client.reserve = [this](const InstanceId &peer, const peer::ReserveRequest &request,
                            std::chrono::milliseconds timeout) {
        return callPeer<peer::ReserveReply>(context_, peer, [&](const Endpoint &to) {
            return context_.peers->reserve(to, request, timeout);
        });
    };
    client.release = [this](const InstanceId &peer, const peer::ReleaseRequest &request) {
        return callPeer<peer::ReleaseReply>(context_, peer, [&](const Endpoint &to) {
            return context_.peers->release(to, request, peerCallTimeout);
        });
    };
    client.reportInFlight = [this](const InstanceId &peer, const peer::InFlightReport &report) {
        return callPeer<peer::InFlightReply>(context_, peer, [&](const Endpoint &to) {
            return context_.peers->reportInFlight(to, report, peerCallTimeout);
        });
    };
    context_.reservations = std::make_unique<ReservationClient>(
        context_.self(), context_.incarnation, std::move(client));
}

void Router::buildProtectedCalls()
{
    ProtectedCallSettings settings;
    settings.ledger.batchWindow = context_.settings.timings.claimBatchWindow;
    ProtectedCallDriver::Dependencies hooks;
    hooks.readKey = [this](const std::string &key) { return readKey(context_, key); };
    hooks.swapKey = [this](const std::string &key, const std::string &value, std::uint64_t index) {
        return swapKey(context_, key, value, index);
    };
    hooks.listKeys = [this](std::string_view prefix) -> Result<std::vector<std::string>> {
        const auto entries = context_.kv->list(std::string(prefix));
        if (!entries)
            return failure(entries.error().kind, entries.error().message);
        std::vector<std::string> keys;
        for (const auto &entry : entries.value())
            keys.push_back(entry.key);
        return keys;
    };
    hooks.removeKey = [this](const std::string &key) { return context_.kv->remove(key); };
    hooks.owner = [this](const std::string &shard) -> std::optional<InstanceId> {
        const auto owner = context_.chosenRouter(shard);
        if (owner == context_.self())
            return std::nullopt;
        return owner;
    };
    hooks.claim = [this](const InstanceId &peer, const peer::ClaimRequest &request,
                         std::chrono::milliseconds timeout) {
        return callPeer<peer::ClaimReply>(context_, peer, [&](const Endpoint &to) {
            return context_.peers->claim(to, request, timeout);
        });
    };
    hooks.recordOutcome = [this](const InstanceId &peer, const peer::RecordOutcomeRequest &request,
                                 std::chrono::milliseconds timeout) {
        return callPeer<peer::RecordOutcomeReply>(context_, peer, [&](const Endpoint &to) {
            return context_.peers->recordOutcome(to, request, timeout);
        });
    };
    hooks.newAttemptId = [generator = std::make_shared<boost::uuids::random_generator>()] {
        return boost::uuids::to_string((*generator)());
    };
    hooks.keyRetention = [this] {
        const auto state = context_.desiredState();
        return state ? state->global.keyRetention : GlobalSpec{}.keyRetention;
    };
    hooks.events = context_.events.sink();
    context_.protectedCalls = std::make_unique<ProtectedCallDriver>(settings, std::move(hooks));
}

void Router::instancesListed(const InstanceSnapshot &snapshot)
{
    context_.directory.applyInstanceList(snapshot.servers);
    updateOwnership();
}

void Router::memberChanged(const MemberChanged &change)
{
    if (change.wasLive != change.isLive || change.member.state == MemberState::Leaving)
        updateOwnership();
}

void Router::desiredStateChanged(const std::shared_ptr<const DesiredState> &state)
{
    context_.directory.applyDesiredState(state);
    context_.retryBudget.setShare(state->global.retryShare);
    updateOwnership();
}

void Router::updateOwnership()
{
    if (!context_.settled)
        return;
    std::vector<LiveRouter> routers;
    for (const auto &member : context_.membership->membership().members()) {
        const bool leaving = member.state == MemberState::Leaving
            || (member.id == context_.self() && context_.leaving);
        if (member.state == MemberState::Alive || member.state == MemberState::Suspect || leaving)
            routers.push_back(
                {member.id, member.domain, member.region, leaving, member.incarnation});
    }
    context_.ownership.setLiveRouters(std::move(routers));
    context_.owner->synchronise();
}

} // namespace jy
