#pragma once

#include "jy_base/ids/Ids.h"
#include "jy_core/model/DesiredState.h"
#include "jy_core/model/Endpoint.h"

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace jy {

/** A router as the answering router's member table shows it. */
struct RouterStatus
{
    InstanceId id;
    DomainId domain;
    RegionId region;

    /** "alive", "suspect", "dead", "leaving" or "left". */
    std::string state;

    /** Configuration revision that is in force on it. */
    std::uint64_t appliedRevision = 0;

    Endpoint operations;
};

/** A backend server that the answering router owns. */
struct OwnedServerStatus
{
    ServerId id;
    DomainId domain;

    /** Model or service name. */
    std::string target;

    VersionId version;

    /** "ready", "cold", "recovering", "leaving" or "unreachable". */
    std::string state;

    int inFlight = 0;
    double limit = 0;

    /** Largest in-flight count that the load bound of the pool allows. */
    int bound = 0;

    int queued = 0;
};

/** A failure domain. */
struct DomainStatus
{
    DomainId id;
    RegionId region;
    DomainState state = DomainState::InService;
    int liveRouters = 0;
    int servers = 0;

    /** Share of its chats that a returning domain serves, 0 to 1. */
    double admittedShare = 1;
};

/** A version move. */
struct MoveStatus
{
    MoveId id;
    ModelId model;
    VersionId from;
    VersionId to;

    /** "planned", "loading", "judging", "moving", "done" or "taken-back". */
    std::string state;

    /** Why it is in that state. */
    std::string reason;

    /** Share of chats at the new version, 0 to 1. */
    double share = 0;

    WallTime finishBy;
    InstanceId coordinator;
};

/** What one router knows about the fleet. */
struct FleetStatus
{
    InstanceId instance;
    bool ready = false;
    bool shuttingDown = false;

    /** Configuration revision in force on the answering router. */
    std::uint64_t revision = 0;

    /** Highest revision that it has heard of. */
    std::uint64_t headRevision = 0;

    bool kvReachable = false;
    std::vector<RouterStatus> routers;
    std::vector<OwnedServerStatus> ownedServers;
    std::vector<DomainStatus> domains;
    std::vector<MoveStatus> moves;

    /** Stop marks in force as text, for example "move m1 version v2 route /v1/chat". */
    std::vector<std::string> stopMarks;

    /** Conditions that need an operator, for example that capacity is insufficient. */
    std::vector<std::string> warnings;
};

} // namespace jy
