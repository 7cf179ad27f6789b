#pragma once

#include "jy_http/jy_http.h"
#include "jy_router/caller/CallerApi.h"
#include "jy_router/shutdown/GracefulShutdown.h"
#include "jy_runtime/events/EventBuffer.h"
#include "jy_runtime/metrics/Metrics.h"
#include "jy_runtime/settings/RouterSettings.h"
#include "jy_runtime/supervision/Supervisor.h"

#include <memory>

namespace jy {

/** The parts of one router process and their order of start and stop. */
class RouterProcess
{
public:
    /** Starts all parts. @returns SettingsInvalid when an address cannot be bound */
    static Result<std::unique_ptr<RouterProcess>> create(EventLoop &loop, RouterSettings settings);

    /** Suspends until SIGTERM or SIGINT, then shuts down. @returns the exit code of the process */
    int run();

private:
    RouterProcess(EventLoop &loop, RouterSettings settings);

    Result<void> start();
    CallerDependencies callerDependencies();
    ShutdownDependencies shutdownDependencies();
    void record(std::string kind, std::vector<EventField> fields);
    void recordCall(const CallRecord &call);
    RequestId newRequestId();

    EventLoop &loop_;
    RouterSettings settings_;
    EventBuffer events_;
    Metrics metrics_;
    std::shared_ptr<HttpClient> client_;
    std::unique_ptr<EngineClient> engines_;
    std::unique_ptr<Supervisor> supervisor_;
    std::unique_ptr<CallerApi> callerApi_;
    std::unique_ptr<HttpServer> callerServer_;
    std::shared_ptr<const DesiredState> desiredState_ = std::make_shared<DesiredState>();
    bool leaving_ = false;
    bool failed_ = false;
    std::uint64_t nextRequest_ = 0;
    StopToken stop_;
};

} // namespace jy
