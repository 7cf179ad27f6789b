#pragma once

#include "jy_base/time/TimeTypes.h"

#include <cstdint>
#include <optional>

namespace jy {

/** Times that prevent overlapping orders of two lease holders. */
struct OrderLeaseSettings
{
    std::chrono::milliseconds timeToLive{15000};

    /** The holder stops sending orders this long before the lease expires, to allow for clocks that
     *  run at different rates. */
    std::chrono::milliseconds guardInterval{3000};

    /** Longest time an order may be in flight, from sending to taking effect. */
    std::chrono::milliseconds longestOrder{5000};

    /**
     * Time from the acquisition until the first order to a receiver that ignores fencing tokens, if
     * longer than longestOrder. At least timeToLive makes orders of two holders safe even if the
     * previous lease ended early.
     */
    std::chrono::milliseconds takeoverDelay{0};
};

/**
 * Decides when this router may send orders to engines.
 *
 * The lease is valid from the time before its request was sent, on the monotonic clock. A holder
 * that was paused, or that received a late response, therefore finds its lease expired. For engines
 * that ignore the fencing token, an order may start only if it ends before the guard interval, and
 * a new holder first waits until all orders of the previous one must have ended.
 */
class OrderLease
{
public:
    explicit OrderLease(OrderLeaseSettings settings);

    /** The lease was granted or renewed. @param requestSent time before the request was sent */
    void onGranted(std::uint64_t fencingToken, TimePoint requestSent);

    /** The lease was refused, lost or released. */
    void onLost();

    bool held(TimePoint now) const;

    /** Whether the lease should be renewed now. */
    bool renewalDue(TimePoint now) const;

    /**
     * Returns the fencing token for an order that starts now.
     *
     * @param engineChecksFencing whether the engine itself rejects stale tokens
     * @returns nothing when the order must not be sent
     */
    std::optional<std::uint64_t> tokenForOrder(bool engineChecksFencing, TimePoint now) const;

private:
    OrderLeaseSettings settings_;
    std::uint64_t fencingToken_ = 0;
    std::optional<TimePoint> validUntil_;

    /** Time from which orders of the previous holder can no longer take effect, so that orders to
     *  engines without fencing are safe. */
    TimePoint unfencedOrdersFrom_;
};

} // namespace jy
