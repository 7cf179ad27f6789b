#pragma once

#include "jy_gateway/adapter/CallerProtocol.h"
#include "jy_gateway/adapter/SharedStore.h"
#include "jy_gateway/peers/HeartbeatSchedule.h"
#include "jy_gateway/peers/HeartbeatSocket.h"
#include "jy_gateway/peers/PeerTable.h"
#include "jy_gateway/registry/PeerStoreReader.h"
#include "jy_gateway/registry/Registration.h"
#include "jy_gateway/registry/StoreSync.h"
#include "jy_gateway/relay/RequestRelay.h"
#include "jy_gateway/settings/GatewaySettings.h"
#include "jy_http/server/HttpServer.h"
#include "jy_runtime/supervision/Supervisor.h"

#include <boost/fiber/condition_variable.hpp>
#include <boost/fiber/mutex.hpp>

#include <map>
#include <memory>
#include <optional>

namespace jy {

/** The adapter of a platform, as the gateway uses it. */
struct PlatformAdapter
{
    CallerProtocol protocol;
    std::function<SharedStore(HttpClient &, const Endpoint &)> openStore;

    /** @returns nothing for items that say nothing about the fleet. */
    std::function<std::optional<FleetChange>(const StoreItem &)> decode;

    std::function<StoreWrite(const RolloutReport &)> encodeRolloutReport;
};

/** One gateway process: serves callers, tells them addresses, follows the store and its peers. */
class Gateway
{
public:
    /** Binds all addresses. @returns SettingsInvalid */
    static Result<std::unique_ptr<Gateway>> create(EventLoop &loop, GatewaySettings settings,
                                                   std::string settingsFile,
                                                   PlatformAdapter adapter);

    Gateway(const Gateway &) = delete;
    Gateway &operator=(const Gateway &) = delete;
    ~Gateway();

    /** Serves until SIGTERM or SIGINT, then shuts down gracefully. */
    Result<void> run();

private:
    Gateway(EventLoop &loop, GatewaySettings settings, std::string settingsFile,
            PlatformAdapter adapter);

    Result<void> listen();
    Result<std::unique_ptr<HttpServer>> serve(const Endpoint &address, HttpHandler handler);
    void startChildren();

    void answerDirectory(const HttpRequest &request, HttpResponder &responder);
    void answerReadiness(HttpResponder &responder) const;
    void answerControl(const HttpRequest &request, HttpResponder &responder);
    void answerStoreChanges(const HttpRequest &request, HttpResponder &responder);
    bool isFull(const ServerId &server) const;
    void awaitConfig(std::chrono::milliseconds longest);
    StoreCopy storeCopy(std::vector<StoreItem> items) const;
    std::vector<Endpoint> readers() const;

    void merge(const StoreItem &item);
    void stateChanged();
    void storeLost(const Error &error);
    void storeReturned();
    enum class HeartbeatReach { OwnGroup, Everywhere };

    void receiveHeartbeat(std::string_view bytes);
    void receiveReport(const GroupReport &report, TimePoint now);
    void sendHeartbeat(HeartbeatReach reach);

    /** Sends the sums of the own group to the other groups. */
    void sendReport();
    void runHeartbeats(StopToken &stop);
    void runHousekeeping(StopToken &stop);
    void runPeerCopies(StopToken &stop);
    void runStallChecks(StopToken &stop);
    void fetchPeerCopy();
    void applyLimits();
    void waitForSignals();
    void reload();
    void shutDown();

    bool ready() const { return fleet_.config() != nullptr && !stopping_; }
    double minimumRetryRate() const;

    EventLoop &loop_;
    GatewaySettings settings_;
    std::string settingsFile_;
    PlatformAdapter adapter_;
    RegisteredInstance self_;
    Metrics metrics_;
    std::shared_ptr<ByteBudget> bodyBudget_;

    std::unique_ptr<HttpClient> storeClient_;
    std::unique_ptr<HttpClient> serverClient_;
    SharedStore store_;
    PeerStoreReader storeReader_;
    SharedStore readStore_;
    FleetView fleet_;
    StoreMirror mirror_;
    StoreSync sync_;
    Registration registration_;

    PeerTable peers_;
    std::unique_ptr<HeartbeatSocket> heartbeats_;
    std::uint64_t incarnation_;

    /** Instances that are alive, with this one, as of the last housekeeping. */
    std::size_t liveInstances_ = 1;
    std::uint64_t heartbeatSequence_ = 0;
    HeartbeatSchedule schedule_;
    int heartbeatsSinceReport_ = 0;

    /** Readiness as of the last heartbeat. */
    bool lastSentReady_ = false;
    std::map<std::uint32_t, ServerId> serverByHash_;

    LoadTable loads_;
    ServerHealth health_;
    ServerBackoff backoff_;
    StallDetector stalls_;
    ColdAllowance cold_;
    ServerChooser chooser_;
    PromptCacheIndex prompts_;
    RequestRelay relay_;

    std::unique_ptr<HttpServer> callerServer_;
    std::unique_ptr<HttpServer> directoryServer_;
    std::unique_ptr<HttpServer> readinessServer_;
    std::unique_ptr<HttpServer> controlServer_;
    std::unique_ptr<HttpServer> metricsServer_;
    std::unique_ptr<Supervisor> supervisor_;
    std::uint64_t appliedLimitsVersion_ = 0;

    /** Notified after each change of mirror_, for the instances that read through this one. */
    boost::fibers::mutex mergedMutex_;
    boost::fibers::condition_variable merged_;
    bool stopping_ = false;
};

} // namespace jy
