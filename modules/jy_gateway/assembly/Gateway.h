#pragma once

#include "jy_gateway/adapter/CallerProtocol.h"
#include "jy_gateway/adapter/DutyApi.h"
#include "jy_gateway/adapter/SharedStore.h"
#include "jy_gateway/duties/DutyRunner.h"
#include "jy_gateway/peers/EntryBudget.h"
#include "jy_gateway/peers/FleetClock.h"
#include "jy_gateway/peers/HeartbeatSchedule.h"
#include "jy_gateway/peers/HeartbeatSocket.h"
#include "jy_gateway/peers/PeerTable.h"
#include "jy_gateway/registry/PeerStoreReader.h"
#include "jy_gateway/registry/Registration.h"
#include "jy_gateway/registry/StoreEraTracker.h"
#include "jy_gateway/registry/StoreSync.h"
#include "jy_gateway/relay/RequestRelay.h"
#include "jy_gateway/relay/ShutdownAdmission.h"
#include "jy_gateway/rollouts/RolloutJudge.h"
#include "jy_gateway/rollouts/RolloutTraffic.h"
#include "jy_gateway/settings/GatewaySettings.h"
#include "jy_http/server/CallerMemoryShares.h"
#include "jy_http/server/HttpServer.h"
#include "jy_runtime/program/ProcessSignals.h"
#include "jy_runtime/supervision/Supervisor.h"

#include <boost/fiber/condition_variable.hpp>
#include <boost/fiber/mutex.hpp>

#include <map>
#include <memory>
#include <optional>

namespace jy {

/** Functions that translate between the gateway and the formats of a platform. */
struct PlatformAdapter
{
    CallerProtocol protocol;
    /** Opens the store at an address. The hook is called with the era of each response. */
    std::function<SharedStore(HttpClient &, const Endpoint &,
                              std::function<void(StoreEra)> eraSeen)>
        openStore;

    /** Decodes an item of the store. @returns nothing for items that do not concern the fleet. */
    std::function<std::optional<FleetChange>(const StoreItem &)> decode;

    std::function<StoreWrite(const RolloutReport &)> encodeRolloutReport;

    /** @returns nothing for a duty that the gateway does not know */
    std::function<std::optional<Duty>(std::string_view name)> dutyFromName;

    std::function<DutyApi(HttpClient &, const Endpoint &, std::chrono::milliseconds callTimeout)>
        openDutyApi;
};

/**
 * A gateway process: relays the requests of callers to backend servers, serves the address
 * directory, and synchronizes its state with the shared store and with its peers.
 */
class Gateway
{
public:
    /**
     * Binds all listen addresses.
     *
     * @param signals must outlive the gateway
     * @param settingsFile read again on SIGHUP
     * @returns SettingsInvalid if an address cannot be bound
     */
    static Result<std::unique_ptr<Gateway>> create(EventLoop &loop, ProcessSignals &signals,
                                                   GatewaySettings settings,
                                                   std::string settingsFile,
                                                   PlatformAdapter adapter);

    Gateway(const Gateway &) = delete;
    Gateway &operator=(const Gateway &) = delete;
    ~Gateway();

    /** Serves until SIGTERM or SIGINT, then shuts down gracefully. */
    Result<void> run();

private:
    Gateway(EventLoop &loop, ProcessSignals &signals, GatewaySettings settings,
            std::string settingsFile, PlatformAdapter adapter);

    Result<void> listen();
    Result<std::unique_ptr<HttpServer>> serve(const Endpoint &address, HttpHandler handler);
    void startChildren();

    void handleDirectory(const HttpRequest &request, HttpResponder &responder);
    void handleReadiness(HttpResponder &responder) const;
    void handleControl(const HttpRequest &request, HttpResponder &responder);
    void handleStoreChanges(const HttpRequest &request, HttpResponder &responder);
    bool isFull(const ServerId &server) const;
    void awaitConfig(std::chrono::milliseconds longest);
    StoreCopy makeStoreCopy(std::vector<StoreItem> items) const;

    /** Whether the store was restored and no list was read since. */
    bool copyIsOutdated() const;
    void handleStoreCopy(HttpResponder &responder);
    std::vector<Endpoint> storeReaderEndpoints() const;

    /** Instances that are alive, including this one. */
    std::vector<RegisteredInstance> liveInstances() const;

    DutySettings dutySettings() const;
    void startDuties();
    WallTime trueTime() const;
    std::vector<ScalableService> scalableServices() const;
    void sendUsage(const UsageMessage &usage, const RegisteredInstance &receiver);

    void runRollouts(StopToken &stop);

    /** Instances that judge the rollouts of a service, in the order in which they act. */
    std::vector<RegisteredInstance> judgesOf(const ServiceId &service) const;
    void receiveOutcomes(const InstanceId &from, std::uint64_t incarnation,
                         const RolloutMessage &message);
    void sendOutcomes(const RolloutView &rollout, const std::vector<RegisteredInstance> &judges);
    void judge(const RolloutView &rollout, std::size_t rank, TimePoint now);
    void advance(const RolloutView &rollout, const RolloutStep &step);
    RolloutSituation situationOf(const RolloutView &rollout, TimePoint now) const;

    void merge(const StoreItem &item);
    void stateChanged();
    void notifyMirrorChanged();
    void storeLost(const Error &error);
    void storeReturned();
    void storeRestored(StoreEra before, StoreEra now);
    enum class HeartbeatScope { OwnGroup, AllInstances };

    void receiveHeartbeat(std::string_view bytes);
    void receiveGroupReport(const GroupReport &report, TimePoint now);
    void sendHeartbeat(HeartbeatScope scope);

    /** Sends the totals of the own group to the other groups. */
    void sendGroupReport();
    void runHeartbeats(StopToken &stop);
    void runHousekeeping(StopToken &stop);
    void runPeerCopies(StopToken &stop);
    void runStallChecks(StopToken &stop);
    void updateQuarantine(TimePoint now);
    void fetchPeerCopy();
    void applyLimits();

    /** Tells the admission what the servers of each service can take and what is known of its use.
     */
    void updateAdmission(TimePoint now);

    /** Demand of callers at this instance and at its group; nothing without admission. */
    std::optional<DemandByService> ownDemand(TimePoint now) const;
    std::optional<DemandByService> groupDemand(TimePoint now) const;

    /** Limit of idle connections to a backend server. */
    std::size_t idleConnectionLimit(const Endpoint &server) const;
    void reload();
    void shutDown();

    bool ready() const { return fleet_.config() != nullptr && !stopping_; }
    double minimumRetryRate() const;

    EventLoop &loop_;
    ProcessSignals &signals_;
    GatewaySettings settings_;
    std::string settingsFile_;
    PlatformAdapter adapter_;
    RegisteredInstance self_;
    Metrics metrics_;
    CallerMemoryShares callerMemory_;

    std::unique_ptr<HttpClient> storeClient_;
    std::unique_ptr<HttpClient> dutyClient_;
    std::unique_ptr<HttpClient> serverClient_;
    StoreEraTracker era_;
    SharedStore store_;
    PeerStoreReader storeReader_;
    SharedStore readStore_;
    FleetView fleet_;
    StoreMirror mirror_;
    StoreSync sync_;
    Registration registration_;

    PeerTable peers_;
    FleetClock fleetClock_;
    std::unique_ptr<HeartbeatSocket> heartbeats_;
    std::uint64_t incarnation_;

    /** Number of live instances including this one, as of the last housekeeping. */
    std::size_t liveCount_ = 1;
    std::uint64_t heartbeatSequence_ = 0;
    HeartbeatSchedule schedule_;
    int heartbeatsSinceReport_ = 0;

    /** Shared by heartbeats and reports. */
    EntryBudget incidentEntries_;

    /** Readiness stated in the last heartbeat. */
    bool lastSentReady_ = false;
    std::map<std::uint32_t, ServerId> serverByHash_;

    /** Services of the backend servers by address. */
    std::map<Endpoint, ServiceId> serviceByAddress_;

    /** Null unless the settings enable it. */
    std::unique_ptr<ServiceAdmission> serviceAdmission_;
    DemandTable demand_;

    LoadTable loads_;
    ServerHealth health_;
    ServerBackoff backoff_;
    StallDetector stalls_;
    ColdAllowance cold_;
    PromptQuarantine quarantine_;
    ServerRateLimits rateLimits_;
    ServerReports reports_;
    ServerChooser chooser_;
    PromptCacheIndex prompts_;
    DutyRunner duties_;
    RolloutTraffic rolloutTraffic_;
    ShutdownAdmission admission_;

    /** Judgement of the rollout of a service. */
    struct JudgedRollout
    {
        std::uint64_t order = 0;
        RolloutJudge judge;

        /** Since when a step is due that the store does not show yet. */
        std::optional<TimePoint> dueSince;
    };
    JudgedRollout &judgedRollout(const RolloutView &rollout);

    std::map<ServiceId, JudgedRollout> judgedRollouts_;
    TimePoint outcomesDue_;
    RequestRelay relay_;

    std::unique_ptr<HttpServer> callerServer_;
    std::unique_ptr<HttpServer> directoryServer_;
    std::unique_ptr<HttpServer> readinessServer_;
    std::unique_ptr<HttpServer> controlServer_;
    std::unique_ptr<HttpServer> metricsServer_;
    std::unique_ptr<Supervisor> supervisor_;
    std::uint64_t appliedLimitsVersion_ = 0;

    /**
     * Notified after each change of mirror_ and when the store is lost. Wakes awaitConfig() and the
     * long polls of instances that read the store through this one.
     */
    boost::fibers::mutex mirrorChangedMutex_;
    boost::fibers::condition_variable mirrorChanged_;
    bool stopping_ = false;
};

} // namespace jy
