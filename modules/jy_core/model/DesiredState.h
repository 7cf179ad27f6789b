#pragma once

#include "jy_base/ids/Ids.h"
#include "jy_base/time/TimeTypes.h"

#include <chrono>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace jy {

/** Whether a failure domain may receive new work. */
enum class DomainState {
    InService,
    Out, /**< no new work */
    Returning, /**< the share of admitted chats grows from 0 to 1 over returnRamp */
};

struct DomainSpec
{
    DomainId id;
    RegionId region;
    DomainState state = DomainState::InService;

    /** Start of the ramp of a returning domain. */
    WallTime returnStart;

    bool operator==(const DomainSpec &) const = default;
};

/** A planned change of version; see section 7 of the design page. */
struct MoveSpec
{
    MoveId id;
    VersionId from;
    VersionId to;
    WallTime finishBy;

    /** Largest share of chats at the new version before it passes canary analysis, 0 to 1. */
    double canaryShare = 0.05;

    /** The only workspace that the move covers; empty for all workspaces of the model. */
    std::optional<WorkspaceId> workspace;

    bool operator==(const MoveSpec &) const = default;
};

struct ModelSpec
{
    ModelId id;

    /** Version that serves the chats that no move covers. */
    VersionId serve;

    /** All versions that may be loaded, including @ref serve. */
    std::vector<VersionId> versions;

    std::vector<MoveSpec> moves;

    /** Upper bound of the concurrency limit of one engine. */
    int maxConcurrency = 16;

    /** Largest load of one engine as a multiple of the mean load of the pool. */
    double loadMultiple = 1.25;

    /** Requests in flight that an engine may always have, regardless of the mean load. */
    int loadFloor = 4;

    /** Size of the weights, for scheduling loads within the rate of the weight store. */
    std::uint64_t weightBytes = 0;

    bool operator==(const ModelSpec &) const = default;
};

/** Selects calls of a service that must not be executed twice. */
struct ProtectedCall
{
    /** Upper-case HTTP method. */
    std::string method;

    /** Prefix of the path below /v1/services/NAME. */
    std::string pathPrefix;

    bool operator==(const ProtectedCall &) const = default;
};

struct ServiceSpec
{
    ServiceId id;
    std::vector<ProtectedCall> protectedCalls;
    int maxConcurrency = 32;

    bool operator==(const ServiceSpec &) const = default;
};

struct WorkspaceSpec
{
    WorkspaceId id;
    std::vector<ModelId> models;
    std::vector<ServiceId> services;

    /** Weight in the fair share when a pool is saturated. */
    double weight = 1.0;

    bool operator==(const WorkspaceSpec &) const = default;
};

/** Settings that apply to the whole fleet. */
struct GlobalSpec
{
    std::chrono::milliseconds lookupLifetime{5000};
    std::chrono::milliseconds returnRamp{30000};
    std::chrono::milliseconds queueTimeout{2000};
    int queueLength = 64;
    int coldStartLimit = 1;
    std::chrono::milliseconds coldRampInterval{2000};
    double retryShare = 0.1;
    std::chrono::milliseconds keyRetention{3600000};
    std::uint64_t weightBytesPerSecond = 0;

    bool operator==(const GlobalSpec &) const = default;
};

/** The complete desired state at one revision. Immutable once published. */
struct DesiredState
{
    std::uint64_t revision = 0;
    GlobalSpec global;
    std::map<DomainId, DomainSpec> domains;
    std::map<ModelId, ModelSpec> models;
    std::map<ServiceId, ServiceSpec> services;
    std::map<WorkspaceId, WorkspaceSpec> workspaces;

    bool operator==(const DesiredState &) const = default;
};

} // namespace jy
