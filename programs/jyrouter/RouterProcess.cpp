#include "RouterProcess.h"

#include "jy_base/errors/ErrorTable.h"
#include "jy_runtime/fibers/FiberToken.h"
#include "jy_runtime/logging/Log.h"

#include <boost/asio/signal_set.hpp>

#include <csignal>

namespace jy {

using Clock = std::chrono::steady_clock;

namespace {

HttpServerSettings serverSettings(const RouterSettings &settings)
{
    return {.listen = settings.listen.caller,
            .maxHeadBytes = static_cast<std::size_t>(settings.limits.maxHeaderBytes),
            .maxBodyBytes = static_cast<std::size_t>(settings.limits.maxBodyBytes),
            .maxConnections = static_cast<std::size_t>(settings.limits.maxConnections)};
}

Error notReady()
{
    return {ErrorKind::NotReady, "the router has no configuration yet"};
}

} // namespace

RouterProcess::RouterProcess(EventLoop &loop, RouterSettings settings)
    : loop_(loop)
    , settings_(std::move(settings))
    , events_(settings_.instance.id.value(),
              static_cast<std::size_t>(settings_.limits.eventBufferEvents))
    , client_(HttpClient::create(loop, {.connectTimeout = settings_.timings.connectTimeout}))
    , engines_(EngineClient::create(
          client_, {.maxEventBytes = static_cast<std::size_t>(settings_.limits.streamBufferBytes)}))
{ }

Result<std::unique_ptr<RouterProcess>> RouterProcess::create(EventLoop &loop,
                                                             RouterSettings settings)
{
    std::unique_ptr<RouterProcess> process(new RouterProcess(loop, std::move(settings)));
    BOOST_OUTCOME_TRYV2(auto &&, process->start());
    return process;
}

Result<void> RouterProcess::start()
{
    BOOST_OUTCOME_TRY(supervisor_, Supervisor::create("router", {}, events_.sink()));
    supervisor_->onFailure([this](const std::string &reason) {
        logEvent(LogLevel::Error, "router-failed", {{"reason", reason}});
        failed_ = true;
        stop_.requestStop();
    });
    supervisor_->addChild("signals", [this](StopToken &token) {
        boost::asio::signal_set signals(loop_.io(), SIGTERM, SIGINT);
        const auto registration = token.onStop([&signals] { signals.cancel(); });
        boost::system::error_code error;
        const int signal = signals.async_wait(FiberToken{error});
        if (error)
            return;
        record("shutdown-requested", {{"signal", std::to_string(signal)}});
        stop_.requestStop();
        token.waitForStop();
    });
    callerApi_ = std::make_unique<CallerApi>(
        callerDependencies(), CallerSettings{.defaultDeadline = settings_.timings.requestTimeout});
    BOOST_OUTCOME_TRY(callerServer_,
                      HttpServer::create(loop_, serverSettings(settings_),
                                         [this](const auto &request, auto &responder) {
                                             callerApi_->handle(request, responder);
                                         }));
    record("router-started", {{"caller", toString(callerServer_->localEndpoint())}});
    return success();
}

int RouterProcess::run()
{
    stop_.waitForStop();
    GracefulShutdown shutdown(shutdownDependencies(),
                              {.deadline = settings_.timings.shutdownDeadline});
    const auto report = shutdown.run();
    record("router-stopped",
           {{"handed_off", report.handedOff ? "true" : "false"},
            {"interrupted", std::to_string(report.interrupted)},
            {"duration_ms", std::to_string(report.duration.count())}});
    return failed_ || report.interrupted > 0 ? 1 : 0;
}

// The hooks of placement, reservations and protected calls refuse until their drivers are
// connected, so the process never claims to be ready.
CallerDependencies RouterProcess::callerDependencies()
{
    CallerDependencies hooks;
    hooks.client = client_;
    hooks.engines = engines_.get();
    hooks.desiredState = [this] { return desiredState_; };
    hooks.ready = [this] { return desiredState_->revision > 0 && !leaving_; };
    hooks.refusal = [this] {
        return desiredState_->revision > 0 ? std::nullopt : std::optional(notReady());
    };
    hooks.ownDomainOut = [] { return false; };
    hooks.routerElsewhere = [](const CallContext &) { return std::optional<Endpoint>(); };
    hooks.lookup = [](const LookupQuery &) { return Result<LookupAnswer>(notReady()); };
    hooks.rankEngines = [](const CallContext &, const ModelId &) {
        return Result<std::vector<BackendServer>>(notReady());
    };
    hooks.rankServices = [](const CallContext &, const ServiceId &) {
        return Result<std::vector<BackendServer>>(notReady());
    };
    hooks.place = [](const PlaceCall &) { return Result<Reservation>(notReady()); };
    hooks.release = [](const Reservation &, const CallOutcome &) {};
    hooks.recordFirstAttempt = [] {};
    hooks.tryRetry = [] { return false; };
    hooks.protectedCall = [](const ProtectedCallInput &, const auto &) {
        return Result<HttpResponse>(notReady());
    };
    hooks.metricsText = [this] { return metrics_.prometheusText(); };
    hooks.newRequestId = [this] { return newRequestId(); };
    hooks.finished = [this](const CallRecord &call) { recordCall(call); };
    return hooks;
}

ShutdownDependencies RouterProcess::shutdownDependencies()
{
    ShutdownDependencies hooks;
    hooks.now = Clock::now;
    hooks.sleepFor = [](std::chrono::milliseconds duration) { EventLoop::sleepFor(duration); };
    hooks.withdraw = [this] { leaving_ = true; };
    hooks.handOff = [](std::chrono::milliseconds) { return true; };
    hooks.announceClose = [this] { callerServer_->announceClose(); };
    hooks.lookupLifetime = [this] { return desiredState_->global.lookupLifetime; };
    hooks.drain = [this](std::chrono::milliseconds timeout) {
        return callerServer_->drain(timeout);
    };
    hooks.stop = [this] {
        callerServer_->stop();
        supervisor_->stop();
    };
    hooks.phaseStarted = [this](ShutdownPhase phase) {
        record("shutdown-phase", {{"phase", std::string(toString(phase))}});
    };
    return hooks;
}

void RouterProcess::record(std::string kind, std::vector<EventField> fields)
{
    std::string text;
    for (const auto &field : fields)
        text += (text.empty() ? "" : " ") + field.name + '=' + field.value;
    logEvent(LogLevel::Info, kind, {{"detail", text}});
    events_.record({.kind = std::move(kind), .fields = std::move(fields)});
}

void RouterProcess::recordCall(const CallRecord &call)
{
    const auto kind =
        call.error ? std::string(answerFor(call.error->kind).name) : std::string("ok");
    metrics_
        .counter("jy_requests_total", "Finished requests.",
                 {{"route", call.route}, {"result", kind}})
        .add();
    metrics_
        .histogram("jy_request_duration_seconds", "Time from head to end of a request.",
                   {{"route", call.route}})
        .observe(call.duration);
    if (!call.error)
        return;
    logEvent(LogLevel::Warn, "request-failed",
             {{"request", call.context.requestId},
              {"route", call.route},
              {"workspace", call.context.workspace},
              {"kind", kind},
              {"attempts", call.attempts},
              {"duration_ms", call.duration},
              {"message", call.error->message}});
}

RequestId RouterProcess::newRequestId()
{
    // Unique within the fleet: instance, start time of the sequence, and sequence number.
    static const auto started = std::chrono::system_clock::now().time_since_epoch().count();
    return RequestId(settings_.instance.id.value() + '-' + std::to_string(started) + '-'
                     + std::to_string(++nextRequest_));
}

} // namespace jy
