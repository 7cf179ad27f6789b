#include "jy_router/assembly/Router.h"

#include "jy_router/assembly/CallerWiring.h"
#include "jy_router/assembly/OperatorWiring.h"
#include "jy_router/assembly/PeerWiring.h"
#include "jy_router/operations/StatusMetrics.h"
#include "jy_router/shutdown/GracefulShutdown.h"
#include "jy_runtime/logging/Log.h"

#include <csignal>

namespace jy {

namespace {

// Time in which a caller that used its lookup at the last moment still connects.
constexpr std::chrono::milliseconds lookupGrace{500};

// Seeds answer within one round trip; the pages of a large member table follow within a second.
constexpr std::chrono::milliseconds settleTime{1000};

constexpr std::chrono::milliseconds peerGrace{1000};
constexpr std::chrono::milliseconds pollInterval{50};

// Outcomes of protected calls that are not recorded by then stay unknown to repetitions.
constexpr std::chrono::seconds recordTimeout{10};

std::string stopSignalName(int signal)
{
    switch (signal) {
    case SIGTERM:
        return "SIGTERM";
    case SIGINT:
        return "SIGINT";
    default:
        return "none";
    }
}

} // namespace

Router::Router(EventLoop &loop, ProcessSignals &signals, const RouterSettings &settings,
               std::string settingsFile)
    : context_(loop, settings)
    , settingsFile_(std::move(settingsFile))
    , operatorKeys_(settings.operatorKeys)
    , signals_(signals)
{ }

Result<std::unique_ptr<Router>> Router::create(EventLoop &loop, ProcessSignals &signals,
                                               const RouterSettings &settings,
                                               std::string settingsFile)
{
    std::unique_ptr<Router> router(new Router(loop, signals, settings, std::move(settingsFile)));
    BOOST_OUTCOME_TRY(router->buildClients());
    BOOST_OUTCOME_TRY(router->buildMembership());
    router->buildConfig();
    router->buildOwnership();
    router->buildProtectedCalls();
    BOOST_OUTCOME_TRY(router->buildServers());
    BOOST_OUTCOME_TRY(router->buildSupervisor());
    return router;
}

Result<void> Router::buildServers()
{
    const auto &settings = context_.settings;
    auto peers = PeerServer::create(context_.loop, settings.listen.rpc, context_.keys,
                                    peerHandlers(context_));
    if (!peers)
        return failure(peers.error().kind, peers.error().message);
    peerServer_ = std::move(peers.value());

    callerApi_ = std::make_unique<CallerApi>(
        callerDependencies(context_),
        CallerSettings{.defaultDeadline = settings.timings.requestTimeout});
    HttpServerSettings caller;
    caller.listen = settings.listen.caller;
    caller.maxHeadBytes = static_cast<std::size_t>(settings.limits.maxHeaderBytes);
    caller.maxBodyBytes = static_cast<std::size_t>(settings.limits.maxBodyBytes);
    caller.maxConnections = static_cast<std::size_t>(settings.limits.maxConnections);
    caller.maxConnectionsPerSource = caller.maxConnections;
    caller.bodyBudget = context_.callerMemory.bodies;
    caller.memory = context_.callerMemory.all;
    BOOST_OUTCOME_TRY(
        callerServer_,
        HttpServer::create(context_.loop, caller, [this](const auto &request, auto &responder) {
            callerApi_->handle(request, responder);
        }));

    HttpServerSettings operations;
    operations.listen = settings.listen.operations;
    operations.bodyBudget = context_.callerMemory.bodies;
    operations.memory = context_.callerMemory.all;
    auto operatorHooks = operatorDependencies(context_, operatorKeys_);
    collectStatusMetrics(context_.metrics, operatorHooks.status, context_.events);
    context_.metrics.addCollector([this] {
        const auto &gossip = context_.membership->counters();
        context_.metrics
            .gauge("jy_control_bytes_total", "Bytes of gossip and of calls to other routers.")
            .set(static_cast<double>(gossip.sentBytes + gossip.receivedBytes
                                     + context_.peers->counters().bytes));
    });
    BOOST_OUTCOME_TRY(operatorApi_,
                      OperatorApi::create(context_.loop, operations, std::move(operatorHooks)));
    return success();
}

Result<void> Router::buildSupervisor()
{
    BOOST_OUTCOME_TRY(supervisor_, Supervisor::create("router", {}, context_.events.sink()));
    supervisor_->onFailure([this](const std::string &reason) {
        failure_ = reason;
        signals_.requestStop();
    });
    keyReloader_ =
        std::make_unique<KeyReloader>(settingsFile_, context_.settings, context_.events.sink());
    keyReloader_->addHook([this](const RouterSettings &settings) -> Result<void> {
        operatorKeys_.replace(settings.operatorKeys);
        return context_.keys->reload(peerKeys(settings), settings.peerKeys.sealWith);
    });
    supervisor_->addChild("probes",
                          [this](StopToken &stop) { context_.membership->runProbes(stop); });
    supervisor_->addChild("instance-list",
                          [this](StopToken &stop) { context_.membership->runInstanceList(stop); });
    supervisor_->addChild("config-watch",
                          [this](StopToken &stop) { context_.config->watch(stop); });
    supervisor_->addChild("config-follow",
                          [this](StopToken &stop) { context_.config->follow(stop); });
    supervisor_->addChild("attempts",
                          [this](StopToken &stop) { context_.protectedCalls->run(stop); });
    supervisor_->addChild("attempt-cleanup",
                          [this](StopToken &stop) { context_.protectedCalls->cleanUp(stop); });
    supervisor_->addChild(
        "settle",
        [this](StopToken &stop) {
            if (!stop.sleepFor(settleTime))
                return;
            context_.settled = true;
            updateOwnership();
        },
        ChildKind::Transient);
    addPeriodicTask({"freed-memory", CallerMemory::returnPeriod,
                     [this] { context_.callerMemory.all->returnFreedMemory(); }});
    addPeriodicTask({"moves", MoveDriver::period, [this] { context_.moves->tick(); }});
    addPeriodicTask({"orders", OrderDriver::period, [this] { context_.orders->tick(); }});
    for (const auto &task : context_.owner->tasks())
        addPeriodicTask(task);
    for (const auto &task : context_.reservations->tasks())
        addPeriodicTask(task);
    return success();
}

void Router::addPeriodicTask(const PeriodicTask &task)
{
    supervisor_->addChild(task.name, [task](StopToken &stop) {
        while (stop.sleepFor(task.interval))
            task.run();
    });
}

Result<void> Router::run()
{
    const auto &settings = context_.settings;
    logEvent(LogLevel::Info, "router-started",
             {{"caller", toString(callerServer_->localEndpoint())},
              {"rpc", toString(peerServer_->localEndpoint())},
              {"operations", toString(operatorApi_->localEndpoint())},
              {"domain", settings.instance.domain},
              {"region", settings.instance.region}});
    while (signals_.next() == ProcessSignals::Request::Reload)
        keyReloader_->reloadAndReport();
    if (!failure_.empty()) {
        supervisor_->stop();
        return failure(ErrorKind::Internal, "supervisor failed: " + failure_);
    }
    context_.record("shutdown-started", {{"signal", stopSignalName(signals_.stopSignal())}});
    const auto interrupted = shutDown();
    logEvent(LogLevel::Info, "router-stopped", {{"interrupted", interrupted}});
    if (interrupted == 0)
        return success();
    return failure(ErrorKind::ShuttingDown,
                   std::to_string(interrupted) + " requests were still running at the deadline");
}

std::size_t Router::shutDown()
{
    ShutdownDependencies hooks;
    hooks.now = std::chrono::steady_clock::now;
    hooks.sleepFor = [](std::chrono::milliseconds time) { EventLoop::sleepFor(time); };
    hooks.withdraw = [this] {
        context_.leaving = true;
        context_.orders->stop();
        context_.membership->leave();
    };
    hooks.handOff = [this](std::chrono::milliseconds timeout) { return handOff(timeout); };
    hooks.announceClose = [this] { callerServer_->announceClose(); };
    hooks.lookupLifetime = [this] {
        const auto state = context_.desiredState();
        return (state ? state->global : GlobalSpec{}).lookupLifetime + lookupGrace;
    };
    hooks.drain = [this](std::chrono::milliseconds timeout) {
        return callerServer_->drain(timeout);
    };
    hooks.stop = [this] { stop(); };
    hooks.phaseStarted = [this](ShutdownPhase phase) {
        context_.record("shutdown-phase", {{"phase", std::string(toString(phase))}});
    };
    GracefulShutdown sequence(std::move(hooks),
                              {.deadline = context_.settings.timings.shutdownDeadline});
    const auto report = sequence.run();
    return report.interrupted;
}

bool Router::handOff(std::chrono::milliseconds timeout)
{
    updateOwnership();
    const auto end = std::chrono::steady_clock::now() + timeout;
    while (!context_.owner->ledger().owned().empty()) {
        if (std::chrono::steady_clock::now() >= end)
            return false;
        EventLoop::sleepFor(pollInterval);
    }
    return true;
}

void Router::stop()
{
    const auto end = std::chrono::steady_clock::now() + recordTimeout;
    while (context_.protectedCalls->pendingRecords() > 0 && std::chrono::steady_clock::now() < end)
        EventLoop::sleepFor(pollInterval);
    callerServer_->stop();
    operatorApi_->stop();
    supervisor_->stop();
    context_.membership->finishLeave();
    peerServer_->shutdown(peerGrace);
}

} // namespace jy
