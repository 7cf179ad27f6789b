#pragma once

#include "jy_base/errors/Error.h"
#include "jy_base/ids/Ids.h"
#include "jy_base/time/TimeTypes.h"
#include "jy_core/model/BackendServer.h"
#include "jy_core/model/DesiredState.h"

#include <cstddef>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <unordered_map>
#include <vector>

namespace jy {

/** Health of a server, from its owner's probes or from a refusal by its owner. */
enum class ServerHealth {
    Unknown, /**< no valid probe result; may receive work */
    Up,
    Down, /**< receives no work until a probe succeeds or the state expires */
};

/** Selects the version for a chat. @returns an empty id for the version that the model serves. */
using VersionHook =
    std::function<VersionId(const WorkspaceId &, const ModelSpec &, std::uint64_t chatHash)>;

/** Selects the candidate servers of a chat. */
struct CandidateQuery
{
    WorkspaceId workspace;
    ModelId model;

    /** Set to skip the version hook. */
    std::optional<VersionId> version;

    std::uint64_t chatHash = 0;
    std::size_t maxCount = 3;
};

/**
 * Holds the servers of the instance list with their health, and ranks the servers for a chat.
 *
 * Servers of other regions are candidates only while the router's own region has none. A server
 * that is down, leaving or in a failure domain that is out is not a candidate, but it keeps its
 * rank, so that its chats return to it when it recovers.
 */
class ServerDirectory
{
public:
    ServerDirectory(RegionId region, VersionHook versionHook);

    /** Replaces the list of servers. Health is kept for servers that stay in the list. */
    void applyInstanceList(std::vector<BackendServer> servers);

    void applyDesiredState(std::shared_ptr<const DesiredState> state);

    /**
     * Sets the health of a server.
     *
     * @param validFor time after which Down expires; limited on a router that does not own the
     *     server, because it is not notified of the recovery
     */
    void setHealth(const ServerId &server, ServerHealth health, TimePoint now,
                   Duration validFor = Duration::max());

    ServerHealth health(const ServerId &server, TimePoint now) const;

    /**
     * The servers for a chat, best first.
     *
     * Errors: UnknownModel, UnknownWorkspace (also when the workspace may not use the model),
     * NoCapacity when no server may take the chat.
     */
    Result<std::vector<ServerId>> candidates(const CandidateQuery &query, TimePoint now,
                                             WallTime wallNow) const;

    /** The servers of an ordinary service, best first. Errors: UnknownService, NoCapacity. */
    Result<std::vector<ServerId>> serviceCandidates(const ServiceId &service, std::uint64_t keyHash,
                                                    std::size_t maxCount, TimePoint now,
                                                    WallTime wallNow) const;

    /** The reason why a server accepts no new work of a chat; nothing if it accepts it. */
    std::optional<ErrorKind> refusal(const ServerId &server, std::uint64_t chatHash, TimePoint now,
                                     WallTime wallNow) const;

    /** @returns null for a server that is not in the list. */
    const BackendServer *find(const ServerId &server) const;

    /** All servers of the list by id. */
    std::vector<const BackendServer *> servers() const;

    const std::shared_ptr<const DesiredState> &desiredState() const { return state_; }

private:
    struct Entry
    {
        BackendServer server;
        ServerHealth health = ServerHealth::Unknown;
        TimePoint downUntil;
    };
    using Pool = std::vector<const Entry *>;

    std::optional<ErrorKind> refusal(const Entry &entry, std::uint64_t chatHash, TimePoint now,
                                     WallTime wallNow) const;
    std::vector<ServerId> rank(const Pool &pool, std::uint64_t keyHash, std::size_t maxCount,
                               TimePoint now, WallTime wallNow) const;
    VersionId versionFor(const CandidateQuery &query, const ModelSpec &model) const;

    RegionId region_;
    VersionHook versionHook_;
    std::shared_ptr<const DesiredState> state_;
    std::unordered_map<ServerId, Entry> entries_;
    std::map<std::pair<ModelId, VersionId>, Pool> enginePools_;
    std::map<ServiceId, Pool> servicePools_;
};

/** Name of the pool whose load is bounded as a whole: "model@region". */
std::string poolName(const BackendServer &server);

} // namespace jy
