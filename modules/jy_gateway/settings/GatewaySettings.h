#pragma once

#include "jy_runtime/settings/RouterSettings.h"

namespace jy {

/** Addresses at which a gateway listens. */
struct GatewayListenSettings
{
    Endpoint caller;
    Endpoint directory;
    Endpoint readiness;
    Endpoint control;
    Endpoint peer;
    Endpoint metrics;

    void describe(SettingsVisitor &visitor);
};

/** Operational bounds set by the deployment. */
struct GatewayBoundSettings
{
    /** Time from SIGTERM to the end of the process. */
    double graceSeconds = 8;

    /** Retries that the whole fleet may send in ten seconds regardless of the traffic. */
    double retrySlack = 50;

    /** Lifetime of a directory response; callers may cache its addresses for this time. */
    int directoryLifetimeSeconds = 2;

    /** Time between two heartbeats of a backend server in the store, which removes its entry after
     * three missing ones. */
    double serverHeartbeatMs = 1200;

    /** Fraction of a service's requests, and requests in addition, that a version may get before
     * it has passed its analysis. */
    double exposureShare = 0.1;
    double exposureSlack = 50;

    void describe(SettingsVisitor &visitor);
};

/** Resource limits of this instance. */
struct GatewayLimitSettings
{
    /** Share of each core that this instance may use. */
    double processorShare = 1;

    double cores = 1;

    /** The platform kills a process that uses more. */
    double memoryMb = 256;

    /** Bandwidth of the link, in Mbit/s. */
    double linkMbps = 1000;

    /** Parts of a prompt that count for placement and quarantine, the last ones of longer ones. */
    int maxPromptParts = 256;

    void describe(SettingsVisitor &visitor);
};

/** Duties that one instance at a time performs for the deployment. */
struct GatewayDutySettings
{
    /** Names of the duties, as the platform calls them; unknown ones are left alone. */
    std::vector<std::string> names;

    /** Address for the calls of the holder. */
    Endpoint address;

    /** Calls that the platform accepts from the whole fleet. */
    double callsPerSecond = 10;

    /** Whether the platform rejects calls with an outdated fencing token. */
    bool fencingRequired = false;

    /** Lifetime of the holder's lease, and minimum time between acts of different holders. */
    double leaseMs = 3000;

    /** Length of a usage window. */
    double usageWindowSeconds = 5;

    /** Time after the end of a window at which its report is due. */
    double usageDueSeconds = 10;

    void describe(SettingsVisitor &visitor);
};

/** Admission of requests to services whose servers have too little room. */
struct GatewayAdmissionSettings
{
    /** Whether instances share the places of a service and let requests wait for them. */
    bool enabled = false;

    /** Requests that may wait for a place at the servers of one service. */
    int maxWaiting = 512;

    void describe(SettingsVisitor &visitor);
};

/** All settings of a gateway process. */
struct GatewaySettings
{
    InstanceSettings instance;
    GatewayListenSettings listen;

    /** Address of the shared store. */
    Endpoint store;

    /**
     * Control addresses of other instances, which are asked for a copy of the store while this
     * instance has no configuration.
     */
    std::vector<Endpoint> seeds;

    GatewayBoundSettings bounds;
    GatewayLimitSettings limits;
    GatewayDutySettings duties;
    GatewayAdmissionSettings admission;

    /** Whether this instance carries out rollouts; without, a new version gets no requests. */
    bool rollouts = false;

    std::string logLevel = "info";

    void describe(SettingsVisitor &visitor);

    LogLevel parsedLogLevel() const { return logLevelFromName(logLevel); }
};

/** Generates the settings reference, docs/operations/gateway-settings.md. */
std::string gatewaySettingsPage();

} // namespace jy
