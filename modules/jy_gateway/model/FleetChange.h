#pragma once

#include "jy_base/ids/Ids.h"
#include "jy_base/net/Endpoint.h"
#include "jy_gateway/model/RoutingConfig.h"

#include <chrono>
#include <cstdint>
#include <memory>
#include <string>
#include <variant>

namespace jy {

/** A backend server as it registered itself. */
struct RegisteredServer
{
    ServerId id;
    ServiceId service;
    Endpoint endpoint;
    DomainId domain;
    VersionId version;

    /** Requests that it processes at once. */
    int slots = 1;

    /** It is about to leave and takes no new requests. */
    bool leaving = false;

    /** Time for which it stays cold, as of the entry. */
    std::chrono::milliseconds coldLeft{0};

    /** Start time in Unix milliseconds; 0 when unknown. A change means a restart under one id. */
    std::int64_t startTimeMs = 0;

    bool operator==(const RegisteredServer &) const = default;
};

/** An instance of this system as it registered itself. */
struct RegisteredInstance
{
    InstanceId id;

    /** Where callers connect. */
    Endpoint caller;

    /** UDP address of its heartbeats. */
    Endpoint peer;

    /** Where other instances read its copy of the store. */
    Endpoint control;

    DomainId domain;

    /** Bandwidth of its link in Mbit/s. */
    int linkMbps = 0;

    /** Processor that it may use, in thousandths of a core of usual speed. */
    int milliCores = 0;

    bool operator==(const RegisteredInstance &) const = default;
};

/** An operator's order to move a service to another version. */
struct RolloutOrder
{
    ServiceId service;
    VersionId target;

    /** Time from the order to its deadline. */
    std::chrono::milliseconds duration{0};

    bool operator==(const RolloutOrder &) const = default;
};

enum class RolloutState {
    Running,
    Completed,
    Reverted,
};

/** What the fleet last reported about a rollout. */
struct RolloutReport
{
    ServiceId service;
    VersionId target;
    RolloutState state = RolloutState::Running;

    bool operator==(const RolloutReport &) const = default;
};

struct ConfigWritten
{
    std::shared_ptr<const RoutingConfig> config;
};
struct ServerWritten
{
    RegisteredServer server;
};
struct ServerRemoved
{
    ServerId id;
};
struct EvacuationWritten
{
    DomainId domain;
};
struct EvacuationRemoved
{
    DomainId domain;
};
struct InstanceWritten
{
    RegisteredInstance instance;
};
struct InstanceRemoved
{
    InstanceId id;
};
struct RolloutWritten
{
    RolloutOrder order;
};
struct RolloutRemoved
{
    ServiceId service;
};
struct RolloutReportWritten
{
    RolloutReport report;
};

/** One change of the facts in the shared store. */
using FleetChange = std::variant<ConfigWritten, ServerWritten, ServerRemoved, EvacuationWritten,
                                 EvacuationRemoved, InstanceWritten, InstanceRemoved,
                                 RolloutWritten, RolloutRemoved, RolloutReportWritten>;

} // namespace jy
