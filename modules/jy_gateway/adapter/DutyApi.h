#pragma once

#include "jy_base/errors/Error.h"
#include "jy_base/ids/Ids.h"

#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <string>
#include <string_view>

namespace jy {

/** A task that one instance at a time performs for the whole deployment. */
enum class Duty {
    UsageReport, /**< reports the requests of each workspace */
    Autoscale, /**< orders backend servers */
};

/** Identifies the holder of a duty in its calls. */
struct DutyCredential
{
    InstanceId holder;

    /** Increases with each change of the holder. */
    std::uint64_t fencingToken = 0;

    /** Asked again right before the first byte of a call is sent. */
    std::function<bool()> stillValid;
};

/** Number of a usage window since the Unix epoch. */
using UsageWindow = std::int64_t;

/** Requests that backend servers began to run, by workspace. */
using WorkspaceCounts = std::map<WorkspaceId, std::uint64_t>;

/** The requests of one window. */
struct UsageReport
{
    UsageWindow window = 0;
    WorkspaceCounts counts;

    bool operator==(const UsageReport &) const = default;
};

/** Orders the number of backend servers of a service in one failure domain. */
struct ServerOrder
{
    ServiceId service;
    DomainId domain;
    int count = 0;

    bool operator==(const ServerOrder &) const = default;
};

/**
 * Calls of the platform that are reserved to the holder of a duty. All of them suspend the calling
 * fiber.
 *
 * Errors: Overloaded (not accepted, the rate limit is spent), KvUnavailable (not accepted),
 * KvOutcomeUnknown (may have been accepted), LeaseLost (the fencing token is outdated).
 */
struct DutyApi
{
    std::function<Result<void>(const DutyCredential &, const UsageReport &)> reportUsage;
    std::function<Result<void>(const DutyCredential &, const ServerOrder &)> orderServers;
};

} // namespace jy
