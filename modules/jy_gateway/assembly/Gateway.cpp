#include "jy_gateway/assembly/Gateway.h"

#include "jy_base/hashing/StableHash.h"
#include "jy_gateway/placement/AddressSampler.h"
#include "jy_gateway/registry/InstanceEntry.h"
#include "jy_gateway/registry/StoreCopy.h"
#include "jy_runtime/logging/Log.h"
#include "jy_runtime/settings/Settings.h"

#include <random>

namespace jy {

namespace {

using Clock = std::chrono::steady_clock;
using std::chrono::milliseconds;

// Time from SIGTERM until connections are no longer accepted. Callers may use an address from the
// directory until its lifetime (directoryLifetimeSeconds, 2 s by default) ends.
constexpr milliseconds drainDelay{2500};

// Part of the grace period reserved for the exit of the process after the last request.
constexpr milliseconds exitMargin{600};

// Part of the exit margin in which interrupted requests get their final responses.
constexpr milliseconds finalResponseTime{250};

// Idle timeout of connections to backend servers that do not announce their own.
constexpr milliseconds serverIdleTimeout{10000};

// Path on the control and metrics addresses. The readiness address accepts every path, because the
// platform chooses the path of its check.
constexpr std::string_view metricsPath = "/metrics";

constexpr std::size_t maxConnections = 3000;

// Retry-After of requests refused for lack of a configuration. A starting instance reads it within
// half a second; outages of the store last for seconds.
constexpr milliseconds startupRetryAfter{500};
constexpr milliseconds storeOutageRetryAfter{2000};

std::uint64_t randomSeed()
{
    std::random_device device;
    return (static_cast<std::uint64_t>(device()) << 32) | device();
}

std::uint64_t unixMilliseconds()
{
    const auto now = std::chrono::system_clock::now().time_since_epoch();
    return static_cast<std::uint64_t>(std::chrono::duration_cast<milliseconds>(now).count());
}

// Limits of the servers whose requests have no bodies and few fields: all but that of callers.
constexpr std::size_t operatorHeadBytes = 8 * 1024;
constexpr std::size_t operatorBodyBytes = 64 * 1024;

RegisteredInstance describeSelf(const GatewaySettings &settings)
{
    constexpr double thousandths = 1000;
    const auto &limits = settings.limits;
    return {.id = settings.instance.id,
            .caller = settings.listen.caller,
            .peer = settings.listen.peer,
            .control = settings.listen.control,
            .domain = settings.instance.domain,
            .linkMbps = static_cast<int>(limits.linkMbps),
            .milliCores = static_cast<int>(limits.processorShare * limits.cores * thousandths)};
}

std::unique_ptr<ServiceAdmission> createAdmission(EventLoop &loop, Metrics &metrics,
                                                  const GatewaySettings &settings,
                                                  const ByteBudget &bodies)
{
    // Bodies of waiting requests may take a quarter of the memory for bodies.
    constexpr std::size_t waitingBytesDivisor = 4;
    if (!settings.admission.enabled)
        return nullptr;
    return std::make_unique<ServiceAdmission>(
        loop, metrics,
        AdmissionQueue::Limits{.maxWaiting =
                                   static_cast<std::size_t>(settings.admission.maxWaiting),
                               .maxWaitingBytes = bodies.limit() / waitingBytesDivisor},
        randomSeed());
}

void logSupervision(const Event &event)
{
    logEvent(LogLevel::Warn, "supervision", {{"kind", event.kind}});
}

} // namespace

Gateway::Gateway(EventLoop &loop, ProcessSignals &signals, GatewaySettings settings,
                 std::string settingsFile, PlatformAdapter adapter)
    : loop_(loop)
    , signals_(signals)
    , settings_(std::move(settings))
    , settingsFile_(std::move(settingsFile))
    , adapter_(std::move(adapter))
    , self_(describeSelf(settings_))
    , callerMemory_(CallerMemoryShares::create(settings_.limits.memoryMb, metrics_))
    , storeClient_(HttpClient::create(loop, {.connectTimeout = milliseconds(400)}))
    , dutyClient_(HttpClient::create(loop, {.connectTimeout = milliseconds(400)}))
    , serverClient_(HttpClient::create(
          loop,
          {.connectTimeout = RelaySettings{}.connectTimeout, .idleTimeout = serverIdleTimeout}))
    , era_([this](StoreEra before, StoreEra now) { storeRestored(before, now); })
    , store_(adapter_.openStore(*storeClient_, settings_.store,
                                [this](StoreEra era) { era_.observe(era); }))
    , storeReader_(store_, *storeClient_, era_, [this] { return storeReaderEndpoints(); }, {})
    , readStore_(storeReader_.store())
    , fleet_({.serverHeartbeat =
                  milliseconds(static_cast<milliseconds::rep>(settings_.bounds.serverHeartbeatMs))})
    , mirror_([this](const StoreItem &item) { merge(item); },
              [](std::string_view key) { return !key.starts_with(dutyStateKeys); })
    , sync_(readStore_, mirror_, {},
            {.lost = [this](const Error &error) { storeLost(error); },
             .returned = [this] { storeReturned(); },
             // The list may come later than the first response of the new era.
             .restored = [this] { fleet_.storeRestored(Clock::now()); },
             .merged = [this] { stateChanged(); },
             .readsStore = [this] { return storeReader_.readsDirectly(); },
             .latestEra = [this] { return era_.current(); }})
    , registration_(store_, instanceKey(self_.id), encodeInstance(self_), {},
                    [this] { return era_.current(); })
    , peers_(self_.id)
    , incarnation_(unixMilliseconds())
    , serviceAdmission_(createAdmission(loop_, metrics_, settings_, *callerMemory_.bodies))
    , stalls_([this](const ServerId &server) { return isFull(server); })
    , cold_(self_.id)
    , quarantine_(self_.id)
    , rateLimits_(self_.id)
    , chooser_(fleet_, loads_, health_, backoff_, stalls_, cold_, rateLimits_, reports_)
    , duties_({.store = store_,
               .storeEra = [this] { return era_.current(); },
               .api = adapter_.openDutyApi(*dutyClient_, settings_.duties.address,
                                           dutySettings().lease.callTimeout()),
               .metrics = metrics_,
               .liveInstances = [this] { return liveInstances(); },
               .storeInContact = [this] { return sync_.inContact(); },
               .trueTime = [this] { return trueTime(); },
               .sendUsage = [this](const UsageMessage &usage,
                                   const RegisteredInstance &to) { sendUsage(usage, to); },
               .scalableServices = [this] { return scalableServices(); }},
              self_, incarnation_, dutySettings())
    , rolloutTraffic_(fleet_, {settings_.bounds.exposureShare, settings_.bounds.exposureSlack})
    , relay_({.loop = loop_,
              .client = *serverClient_,
              .fleet = fleet_,
              .loads = loads_,
              .health = health_,
              .backoff = backoff_,
              .chooser = chooser_,
              .prompts = prompts_,
              .stalls = stalls_,
              .quarantine = quarantine_,
              .rateLimits = rateLimits_,
              .reports = reports_,
              .rollouts = rolloutTraffic_,
              .protocol = adapter_.protocol,
              .metrics = metrics_,
              .admission = serviceAdmission_.get(),
              .bodyBudget = callerMemory_.bodies,
              .awaitConfig = [this](milliseconds longest) { awaitConfig(longest); },
              .readyAfter =
                  [this] { return sync_.lost() ? storeOutageRetryAfter : startupRetryAfter; },
              .minimumRetryRate = [this] { return minimumRetryRate(); },
              .admits = [this](TimePoint now,
                               TimePoint deadline) { return admission_.admits(now, deadline); },
              .attemptBegan = [this](const WorkspaceId &workspace,
                                     TimePoint began) { duties_.attemptBegan(workspace, began); }},
             {.maxPromptParts = static_cast<std::size_t>(settings_.limits.maxPromptParts)},
             randomSeed())
{
    if (!serviceAdmission_)
        return;
    serverClient_->setIdleLimit(
        [this](const Endpoint &server) { return idleConnectionLimit(server); });
    chooser_.setContended([this](const ServiceId &service, TimePoint now) {
        return serviceAdmission_->contended(service, now);
    });
}

Gateway::~Gateway() = default;

Result<std::unique_ptr<Gateway>> Gateway::create(EventLoop &loop, ProcessSignals &signals,
                                                 GatewaySettings settings, std::string settingsFile,
                                                 PlatformAdapter adapter)
{
    std::unique_ptr<Gateway> gateway(new Gateway(loop, signals, std::move(settings),
                                                 std::move(settingsFile), std::move(adapter)));
    BOOST_OUTCOME_TRYV2(auto &&, gateway->listen());
    return gateway;
}

Result<void> Gateway::listen()
{
    const auto &listen = settings_.listen;
    BOOST_OUTCOME_TRY(heartbeats_,
                      HeartbeatSocket::create(loop_, listen.peer, [this](std::string_view bytes) {
                          receiveHeartbeat(bytes);
                      }));
    BOOST_OUTCOME_TRY(callerServer_,
                      serve(listen.caller, [this](const HttpRequest &request, HttpResponder &out) {
                          relay_.handle(request, out);
                      }));
    BOOST_OUTCOME_TRY(
        directoryServer_,
        serve(listen.directory, [this](const HttpRequest &request, HttpResponder &out) {
            handleDirectory(request, out);
        }));
    BOOST_OUTCOME_TRY(readinessServer_,
                      serve(listen.readiness, [this](const HttpRequest &, HttpResponder &out) {
                          handleReadiness(out);
                      }));
    const auto control = [this](const HttpRequest &request, HttpResponder &out) {
        handleControl(request, out);
    };
    BOOST_OUTCOME_TRY(controlServer_, serve(listen.control, control));
    BOOST_OUTCOME_TRY(metricsServer_, serve(listen.metrics, control));
    return success();
}

Result<std::unique_ptr<HttpServer>> Gateway::serve(const Endpoint &address, HttpHandler handler)
{
    const CallerLimits callerLimits;
    const bool forCallers = address == settings_.listen.caller;
    const auto maxHeadBytes = forCallers ? callerLimits.maxHeadBytes : operatorHeadBytes;
    const auto maxBodyBytes = forCallers ? callerLimits.maxBodyBytes : operatorBodyBytes;
    return HttpServer::create(loop_,
                              {.listen = address,
                               .maxHeadBytes = maxHeadBytes,
                               .maxBodyBytes = maxBodyBytes,
                               .maxConnections = maxConnections,
                               .maxConnectionsPerSource = maxConnections,
                               .bodyBudget = callerMemory_.bodies,
                               .memory = callerMemory_.all},
                              std::move(handler));
}

Result<void> Gateway::run()
{
    logEvent(LogLevel::Info, "started",
             {{"version", JY_VERSION},
              {"domain", self_.domain},
              {"caller", toString(self_.caller)},
              {"store", toString(settings_.store)}});
    BOOST_OUTCOME_TRY(supervisor_, Supervisor::create("gateway", {}, logSupervision));
    startChildren();
    while (signals_.next() == ProcessSignals::Request::Reload)
        reload();
    logEvent(LogLevel::Info, "stopping", {{"signal", signals_.stopSignal()}});
    shutDown();
    return success();
}

void Gateway::startChildren()
{
    supervisor_->addChild("store-sync", [this](StopToken &stop) { sync_.run(stop); });
    supervisor_->addChild(
        "registration", [this](StopToken &stop) { registration_.run(stop); }, ChildKind::Transient);
    supervisor_->addChild("beats", [this](StopToken &stop) { runHeartbeats(stop); });
    supervisor_->addChild("housekeeping", [this](StopToken &stop) { runHousekeeping(stop); });
    supervisor_->addChild("stall-checks", [this](StopToken &stop) { runStallChecks(stop); });
    supervisor_->addChild("peer-copies", [this](StopToken &stop) { runPeerCopies(stop); });
    supervisor_->addChild("freed-memory", [this](StopToken &stop) {
        while (stop.sleepFor(CallerMemory::returnPeriod))
            callerMemory_.all->returnFreedMemory();
    });
    if (settings_.rollouts)
        supervisor_->addChild("rollouts", [this](StopToken &stop) { runRollouts(stop); });
    startDuties();
}

void Gateway::handleDirectory(const HttpRequest &request, HttpResponder &responder)
{
    const auto query = adapter_.protocol.readDirectoryQuery(request);
    if (!query) {
        responder.send(errorResponse({ErrorKind::UnknownTarget, "no such call"}));
        return;
    }
    auto members = peers_.directoryPeers(Clock::now());
    if (ready())
        members.push_back(self_);
    const auto addresses =
        AddressSampler::choose(members, stableHash(request.source.address), query->domain);
    if (addresses.empty()) {
        responder.send(errorResponse({ErrorKind::NotReady, "no instance is ready"}));
        return;
    }
    responder.send(adapter_.protocol.directoryResponse(
        addresses, std::chrono::seconds(settings_.bounds.directoryLifetimeSeconds)));
}

void Gateway::handleReadiness(HttpResponder &responder) const
{
    responder.send(ready() ? 200 : 503, {}, "");
}

void Gateway::handleControl(const HttpRequest &request, HttpResponder &responder)
{
    if (request.path() == metricsPath)
        responder.send(200, {{"Content-Type", "text/plain; version=0.0.4"}},
                       metrics_.prometheusText());
    else if (request.path() == storeCopyPath && fleet_.config())
        handleStoreCopy(responder);
    else if (request.path() == storeChangesPath)
        handleStoreChanges(request, responder);
    else
        responder.send(errorResponse({ErrorKind::UnknownTarget, "no such call"}));
}

void Gateway::applyLimits()
{
    const auto &config = fleet_.config();
    if (!config || config->version == appliedLimitsVersion_)
        return;
    appliedLimitsVersion_ = config->version;
    const auto &limits = config->limits;
    callerServer_->updateLimits({.maxHeadBytes = limits.maxHeadBytes,
                                 .maxBodyBytes = limits.maxBodyBytes,
                                 .maxConnections = maxConnections,
                                 .maxConnectionsPerSource = maxConnections,
                                 .idleTimeout = limits.idleTimeout,
                                 .requestTimeout = limits.requestTimeout});
}

void Gateway::reload()
{
    const auto settings = loadSettings<GatewaySettings>(settingsFile_);
    if (!settings) {
        logEvent(LogLevel::Error, "reload-failed", {{"reason", settings.error().message}});
        return;
    }
    settings_.seeds = settings.value().seeds;
    settings_.bounds = settings.value().bounds;
    rolloutTraffic_.setSettings({settings_.bounds.exposureShare, settings_.bounds.exposureSlack});
    settings_.logLevel = settings.value().logLevel;
    setUpLogging(self_.id.value(), settings_.parsedLogLevel(), LogStream::StandardOutput);
    logEvent(LogLevel::Info, "reloaded", {{"log_level", settings_.logLevel}});
}

void Gateway::shutDown()
{
    const auto begin = Clock::now();
    const auto end = begin
        + std::chrono::duration_cast<milliseconds>(
                         std::chrono::duration<double>(settings_.bounds.graceSeconds))
        - exitMargin;
    stopping_ = true;
    admission_.begin(begin + drainDelay, end);
    sendHeartbeat(HeartbeatScope::AllInstances);
    callerServer_->announceClose();
    EventLoop::spawn([this] { registration_.withdraw(); });
    EventLoop::spawn([this] { duties_.release(); });
    EventLoop::sleepFor(drainDelay);
    const auto left = std::chrono::duration_cast<milliseconds>(end - Clock::now());
    const auto interrupted = callerServer_->drain(std::max(milliseconds(1), left));
    callerServer_->interrupt(finalResponseTime);
    logEvent(LogLevel::Info, "stopped", {{"interrupted", interrupted}});
}

} // namespace jy
