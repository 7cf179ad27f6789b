#pragma once

#include "jy_peer/rpc/PeerServer.h"
#include "jy_router/assembly/RouterContext.h"
#include "jy_router/caller/CallerApi.h"
#include "jy_router/operations/KeyReloader.h"
#include "jy_router/operations/OperatorApi.h"
#include "jy_runtime/program/ProcessSignals.h"
#include "jy_runtime/supervision/Supervisor.h"

#include <memory>
#include <string>

namespace jy {

/** The keys of the settings as KeyRing takes them. */
std::vector<AuthKey> peerKeys(const RouterSettings &settings);

/** One router process: builds every part, runs them under a supervisor tree and shuts down. */
class Router
{
public:
    /**
     * Binds all listening addresses and builds the router; must run in a fiber of the loop.
     *
     * @param signals must outlive the router
     * @param settingsFile read again for its keys on SIGHUP
     * @returns SettingsInvalid when a setting is unusable or an address cannot be bound
     */
    static Result<std::unique_ptr<Router>> create(EventLoop &loop, ProcessSignals &signals,
                                                  const RouterSettings &settings,
                                                  std::string settingsFile);

    /**
     * Serves until SIGTERM or SIGINT, then shuts down gracefully.
     *
     * @returns success when no request was interrupted; Internal after a failed supervisor
     */
    Result<void> run();

private:
    Router(EventLoop &loop, ProcessSignals &signals, const RouterSettings &settings,
           std::string settingsFile);

    Result<void> buildClients();
    Result<void> buildMembership();
    void buildConfig();
    void buildOwnership();
    void buildProtectedCalls();
    Result<void> buildServers();
    Result<void> buildSupervisor();
    void addPeriodicTask(const PeriodicTask &task);

    void instancesListed(const InstanceSnapshot &snapshot);
    void memberChanged(const MemberChanged &change);
    void desiredStateChanged(const std::shared_ptr<const DesiredState> &state);
    void updateOwnership();

    std::size_t shutDown();
    bool handOff(std::chrono::milliseconds timeout);
    void stop();

    RouterContext context_;
    std::string settingsFile_;
    OperatorKeys operatorKeys_;
    std::unique_ptr<CallerApi> callerApi_;
    std::unique_ptr<HttpServer> callerServer_;
    std::unique_ptr<OperatorApi> operatorApi_;
    std::optional<PeerServer> peerServer_;
    std::unique_ptr<KeyReloader> keyReloader_;
    ProcessSignals &signals_;
    std::string failure_;

    // Last, so that its children end before what they use.
    std::unique_ptr<Supervisor> supervisor_;
};

} // namespace jy
