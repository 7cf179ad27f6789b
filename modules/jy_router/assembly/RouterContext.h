#pragma once

#include "jy_core/limits/RetryBudget.h"
#include "jy_core/placement/OwnershipMap.h"
#include "jy_core/placement/ServerDirectory.h"
#include "jy_http/jy_http.h"
#include "jy_peer/auth/KeyRing.h"
#include "jy_peer/rpc/PeerClient.h"
#include "jy_platform/engine/EngineClient.h"
#include "jy_platform/instances/InstanceList.h"
#include "jy_platform/kv/KvClient.h"
#include "jy_router/config/ConfigDriver.h"
#include "jy_router/membership/MembershipDriver.h"
#include "jy_router/orders/OrderDriver.h"
#include "jy_router/ownership/OwnerService.h"
#include "jy_router/ownership/ReservationClient.h"
#include "jy_router/protected/ProtectedCallDriver.h"
#include "jy_router/versions/MoveDriver.h"
#include "jy_runtime/events/EventBuffer.h"
#include "jy_runtime/fibers/EventLoop.h"
#include "jy_runtime/metrics/Metrics.h"
#include "jy_runtime/settings/RouterSettings.h"

#include <map>
#include <memory>
#include <optional>
#include <string>

namespace jy {

/** Everything that a router process consists of; built by Router in the order of the members. */
struct RouterContext
{
    RouterContext(EventLoop &eventLoop, RouterSettings routerSettings);

    EventLoop &loop;
    RouterSettings settings;

    /** Start time of the process in milliseconds since the Unix epoch. */
    std::uint64_t incarnation;

    EventBuffer events;
    Metrics metrics;
    CallerMemoryShares callerMemory;

    std::shared_ptr<KeyRing> keys;
    std::shared_ptr<HttpClient> http;
    std::unique_ptr<EngineClient> engines;
    std::unique_ptr<KvClient> kv;
    std::unique_ptr<InstanceList> instances;
    std::optional<PeerClient> peers;

    ServerDirectory directory;
    OwnershipMap ownership;
    RetryBudget retryBudget;

    /** Load of each pool as its aggregator last reported it. */
    std::map<std::string, PoolReport> poolTotals;

    std::unique_ptr<MembershipDriver> membership;
    std::unique_ptr<ConfigDriver> config;
    std::unique_ptr<MoveDriver> moves;
    std::unique_ptr<OrderDriver> orders;
    std::unique_ptr<OwnerService> owner;
    std::unique_ptr<ReservationClient> reservations;
    std::unique_ptr<ProtectedCallDriver> protectedCalls;

    /** The lease under which orders are sent, while this router holds it. */
    std::optional<Lease> orderLease;

    /** The router withdraws: it answers running requests and callers with an old lookup. */
    bool leaving = false;

    /**
     * Membership has had time to find the other routers. Before, this router would consider itself
     * the owner of every server.
     */
    bool settled = false;

    /** Whether this router serves callers. */
    bool ready() const { return settled && config->ready() && !leaving; }

    const InstanceId &self() const { return settings.instance.id; }
    std::shared_ptr<const DesiredState> desiredState() const;

    /** The record of a live router, or nothing. */
    std::optional<MemberInfo> member(const InstanceId &id) const;

    /** Address of a live router for calls between routers. Error: PeerUnreachable. */
    Result<Endpoint> rpcEndpoint(const InstanceId &id) const;

    /** The live router of all regions with the highest rendezvous score for a key. */
    InstanceId chosenRouter(std::string_view key) const;

    /** Whether a router belongs to a failure domain that is out of service. */
    bool domainOut(const DomainId &domain) const;

    /** Records a timeline event and writes it to the log. */
    void record(std::string kind, std::vector<EventField> fields);
};

} // namespace jy
