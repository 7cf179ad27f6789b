#pragma once

#include "jy_base/errors/Error.h"
#include "jy_core/orders/OrderLease.h"
#include "jy_core/orders/OrderPlanner.h"

#include <functional>
#include <memory>
#include <string>
#include <vector>

namespace jy {

/** What OrderDriver needs of the rest of the router. Hooks may suspend the calling fiber. */
struct OrderDriverDependencies
{
    std::function<TimePoint()> now;
    std::function<std::shared_ptr<const DesiredState>()> desiredState;
    std::function<const MoveTable &()> moveTable;
    std::function<std::vector<BackendServer>()> servers;

    /** Whether this router should hold the lease: the first by rendezvous score. */
    std::function<bool()> preferred;

    /** Acquires or renews the lease `jy/orders/lease`. @returns its fencing token. */
    std::function<Result<std::uint64_t>(std::chrono::milliseconds timeToLive)> acquireOrRenew;
    std::function<void()> release;

    std::function<Result<void>(const PlannedOrder &order, std::uint64_t fencingToken)> send;

    /** Records a timeline event. */
    std::function<void(const std::string &kind, const ServerId &server, const std::string &detail)>
        event;
};

/**
 * Sends the orders of OrderPlanner while this router holds the lease.
 *
 * An order whose answer is lost is sent again: it names the state to reach, and an engine that has
 * reached it does nothing. An engine is done when the instance list shows its version.
 */
class OrderDriver
{
public:
    OrderDriver(OrderDriverDependencies dependencies, OrderLeaseSettings settings);

    /** Time between two calls of tick(). */
    static constexpr std::chrono::milliseconds period{1000};

    /** One round: lease, then at most one load within the rate of the weight store. */
    void tick();

    /** Gives up the lease, so that a successor need not wait for its expiry. */
    void stop();

private:
    bool keepLease();
    void sendNext(const DesiredState &state);
    TimePoint nextLoadTime(const DesiredState &state, const PlannedOrder &order) const;

    OrderDriverDependencies dependencies_;
    OrderLeaseSettings settings_;
    OrderLease lease_;

    /** The weight store cannot serve another load before this. */
    TimePoint nextLoad_;

    /** Position in the plan, so that one failing engine does not block the others. */
    std::size_t position_ = 0;
};

} // namespace jy
