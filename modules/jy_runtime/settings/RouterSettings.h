#pragma once

#include "jy_base/ids/Ids.h"
#include "jy_base/net/Endpoint.h"
#include "jy_runtime/logging/Log.h"

#include <chrono>
#include <cstdint>
#include <string>
#include <vector>

namespace jy {

class SettingsVisitor;

/** Who and where this router is. */
struct InstanceSettings
{
    InstanceId id;
    DomainId domain;
    RegionId region;

    void describe(SettingsVisitor &visitor);
};

/** Addresses at which this router listens and that it announces to others. */
struct ListenSettings
{
    Endpoint caller;
    Endpoint rpc;
    Endpoint gossip;
    Endpoint operations;

    void describe(SettingsVisitor &visitor);
};

/** The KV service of the platform. */
struct KvSettings
{
    std::vector<Endpoint> endpoints;
    std::chrono::milliseconds requestTimeout{1000};
    std::chrono::milliseconds watchWait{30000};

    void describe(SettingsVisitor &visitor);
};

/** The instance list of the platform. */
struct InstanceListSettings
{
    std::vector<Endpoint> endpoints;

    /** Names under which the list knows routers, engines and ordinary services. */
    std::string routerService = "jyrouter";
    std::vector<std::string> backendServices{"engine", "service"};

    std::chrono::milliseconds requestTimeout{1000};
    std::chrono::milliseconds watchWait{30000};

    void describe(SettingsVisitor &visitor);
};

/** The weight store of the platform; without endpoints, its rate comes from the desired state. */
struct WeightStoreSettings
{
    std::vector<Endpoint> endpoints;
    std::chrono::milliseconds requestTimeout{2000};

    void describe(SettingsVisitor &visitor);
};

/** How engines treat commands. */
struct EngineSettings
{
    /** Engines reject a command with a stale fencing token. */
    bool checkFencing = true;

    /** Time before the end of the lease at which its holder stops sending commands. */
    std::chrono::milliseconds guardInterval{2000};

    /** Longest time between sending a command and its effect. */
    std::chrono::milliseconds commandFlight{5000};

    std::chrono::milliseconds commandLease{10000};

    void describe(SettingsVisitor &visitor);
};

/** One key that authenticates messages between routers. */
struct PeerKeySettings
{
    std::string id;
    std::string secret;

    void describe(SettingsVisitor &visitor);
};

struct PeerKeysSettings
{
    /** Id of the key that seals outgoing messages; all keys open incoming ones. */
    std::string sealWith;
    std::vector<PeerKeySettings> keys;

    void describe(SettingsVisitor &visitor);
};

/** One bearer key of the operator API. */
struct OperatorKeySettings
{
    /** Person or program that holds the key; appears in logs and as the author of changes. */
    std::string name;
    std::string secret;

    void describe(SettingsVisitor &visitor);
};

struct TimingSettings
{
    std::chrono::milliseconds probePeriod{1000};
    std::chrono::milliseconds probeTimeout{300};
    std::chrono::milliseconds suspicionTimeout{3000};
    std::chrono::milliseconds reportInterval{1000};
    std::chrono::milliseconds reservationExpiry{4000};
    std::chrono::milliseconds rpcTimeout{500};
    std::chrono::milliseconds connectTimeout{500};
    std::chrono::milliseconds requestTimeout{60000};
    std::chrono::milliseconds claimBatchWindow{50};
    std::chrono::milliseconds shutdownDeadline{120000};

    void describe(SettingsVisitor &visitor);
};

struct LimitSettings
{
    double memoryMb = 256;
    int maxConnections = 4096;
    std::int64_t maxHeaderBytes = 16 * 1024;
    std::int64_t maxBodyBytes = 4 * 1024 * 1024;
    int indirectProbes = 3;
    int eventBufferEvents = 8192;
    int maxExceptionsPerServer = 16384;
    double minRetriesPerSecond = 1;

    void describe(SettingsVisitor &visitor);
};

/** @param name one of "debug", "info", "warn" and "error" */
LogLevel logLevelFromName(const std::string &name);

/** All settings of a router process. */
struct RouterSettings
{
    InstanceSettings instance;
    ListenSettings listen;

    /** Gossip endpoints of a few routers, used until the instance list has answered. */
    std::vector<Endpoint> seeds;

    KvSettings kv;
    InstanceListSettings instanceList;
    WeightStoreSettings weightStore;
    EngineSettings engines;
    PeerKeysSettings peerKeys;
    std::vector<OperatorKeySettings> operatorKeys;
    TimingSettings timings;
    LimitSettings limits;
    std::string logLevel = "info";

    void describe(SettingsVisitor &visitor);

    LogLevel parsedLogLevel() const { return logLevelFromName(logLevel); }
};

/** The settings reference, docs/operations/settings.md. */
std::string routerSettingsPage();

} // namespace jy
