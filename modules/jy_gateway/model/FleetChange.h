#pragma once

#include "jy_base/ids/Ids.h"
#include "jy_base/net/Endpoint.h"
#include "jy_base/time/TimeTypes.h"
#include "jy_gateway/model/RoutingConfig.h"

#include <chrono>
#include <cstdint>
#include <memory>
#include <string>
#include <variant>

namespace jy {

/** Registration of a backend server. */
struct RegisteredServer
{
    ServerId id;
    ServiceId service;
    Endpoint endpoint;
    DomainId domain;
    VersionId version;

    /** Number of requests that it processes concurrently. */
    int slots = 1;

    /** The server is about to leave and accepts no new requests. */
    bool leaving = false;

    /** Remaining time for which it is cold, as of its registration. */
    std::chrono::milliseconds coldLeft{0};

    /** Start time in Unix milliseconds; 0 if unknown. A change means that the server restarted
     * under the same id. */
    std::int64_t startTimeMs = 0;

    bool operator==(const RegisteredServer &) const = default;
};

/** Registration of an instance of this system. */
struct RegisteredInstance
{
    InstanceId id;

    /** Address for callers. */
    Endpoint caller;

    /** UDP address for heartbeats. */
    Endpoint peer;

    /** Address at which other instances read its copy of the store. */
    Endpoint control;

    DomainId domain;

    /** Bandwidth of its link in Mbit/s. */
    int linkMbps = 0;

    /** Its CPU quota in thousandths of a core of the reference speed. */
    int milliCores = 0;

    bool operator==(const RegisteredInstance &) const = default;
};

/** An operator's request to move a service to another version. */
struct RolloutOrder
{
    ServiceId service;
    VersionId target;

    /** Time from the request to its deadline. */
    std::chrono::milliseconds duration{0};

    /** Store revision of the request, which tells it from an earlier one for the same version. */
    std::uint64_t revision = 0;

    bool operator==(const RolloutOrder &) const = default;
};

enum class RolloutState {
    Running,
    Completed,
    Reverted,
};

/** Latest reported state of a rollout. */
struct RolloutReport
{
    ServiceId service;
    VersionId target;
    RolloutState state = RolloutState::Running;

    bool operator==(const RolloutReport &) const = default;
};

/** Step of a rollout; only the analysis and the move send requests to both versions. */
enum class RolloutPhase {
    Analyzing, /**< a small share of the requests goes to the new version */
    Moving, /**< requests move to the new version step by step */
    Completed,
    Reverted,
};

/** Progress of a rollout, which all instances follow. */
struct RolloutProgress
{
    ServiceId service;

    /** Revision of the order that it belongs to. */
    std::uint64_t order = 0;

    RolloutPhase phase = RolloutPhase::Analyzing;

    /** True time of the order. */
    WallTime orderedAt;

    /** Why the rollout is in this phase. */
    std::string reason;

    /** Store revision of the progress itself; not part of its encoding. */
    std::uint64_t revision = 0;

    bool operator==(const RolloutProgress &) const = default;
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

    /** Store revision of the report. */
    std::uint64_t revision = 0;
};
struct RolloutProgressWritten
{
    RolloutProgress progress;
};

/** A decoded change in the shared store. */
using FleetChange =
    std::variant<ConfigWritten, ServerWritten, ServerRemoved, EvacuationWritten, EvacuationRemoved,
                 InstanceWritten, InstanceRemoved, RolloutWritten, RolloutRemoved,
                 RolloutReportWritten, RolloutProgressWritten>;

} // namespace jy
