#pragma once

#include "jy_base/ids/Ids.h"
#include "jy_core/model/DesiredState.h"

#include <cstddef>
#include <cstdint>
#include <unordered_map>
#include <vector>

namespace jy {

/** A router that membership considers alive. */
struct LiveRouter
{
    InstanceId id;
    DomainId domain;
    RegionId region;

    /** The router is shutting down: it owns no server and no lookup response names it. */
    bool leaving = false;

    /** Changes when the router restarts, and when it refutes a suspicion. */
    std::uint64_t incarnation = 0;

    bool operator==(const LiveRouter &) const = default;
};

/**
 * Determines the owner of each server: the live router of the server's region with the highest
 * rendezvous score. Owners are cached until the set of routers changes.
 */
class OwnershipMap
{
public:
    /** Replaces the set of live routers. @returns whether an owner may have changed. */
    bool setLiveRouters(std::vector<LiveRouter> routers);

    const std::vector<LiveRouter> &liveRouters() const { return routers_; }

    /** @returns an empty id when the region has no live router. */
    const InstanceId &owner(const ServerId &server, const RegionId &region) const;

    /** The owner among all routers except @p without, for example before that router joined. */
    InstanceId ownerWithout(const ServerId &server, const RegionId &region,
                            const InstanceId &without) const;

    /**
     * Routers that callers should use for a server, best first.
     *
     * The owner comes first, followed by the routers that would own the server next. Routers that
     * are shutting down or whose failure domain is out are excluded. Routers of other regions
     * appear only when the server's region has none. If there is more than one eligible domain and
     * @p maxCount allows it, the result covers at least two, so that a cached result stays usable
     * when a domain fails.
     */
    std::vector<InstanceId> lookupOrder(const ServerId &server, const RegionId &region,
                                        const DesiredState &state, std::size_t maxCount) const;

private:
    std::vector<LiveRouter> routers_;
    mutable std::unordered_map<ServerId, InstanceId> cache_;
};

} // namespace jy
