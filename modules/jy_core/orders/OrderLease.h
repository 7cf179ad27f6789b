#pragma once

#include "jy_base/time/TimeTypes.h"

#include <cstdint>
#include <optional>

namespace jy {

/** Times that keep two holders of the order lease apart. */
struct OrderLeaseSettings
{
    std::chrono::milliseconds timeToLive{15000};

    /** The holder stops this long before the lease expires. Covers clock rate differences. */
    std::chrono::milliseconds guardInterval{3000};

    /** Longest time an order may be in flight, from sending to taking effect. */
    std::chrono::milliseconds longestOrder{5000};
};

/**
 * Decides when this router may send orders to engines.
 *
 * Validity is counted on the monotonic clock from before the lease request was sent, so a holder
 * that was paused, or whose answer was late, finds its lease expired. For engines that ignore the
 * fencing token, an order may start only when it ends before the guard interval, and a successor
 * first waits until every order of its predecessor must have ended.
 */
class OrderLease
{
public:
    explicit OrderLease(OrderLeaseSettings settings);

    /** The lease was granted or renewed. @param requestSent time before the request was sent. */
    void onGranted(std::uint64_t fencingToken, TimePoint requestSent);

    /** The lease was refused, lost or released. */
    void onLost();

    bool held(TimePoint now) const;

    /** Whether the lease should be renewed now. */
    bool renewalDue(TimePoint now) const;

    /**
     * The token for an order that starts now.
     *
     * @param engineChecksFencing the engine rejects stale tokens itself
     * @returns nothing when the order must not be sent
     */
    std::optional<std::uint64_t> tokenForOrder(bool engineChecksFencing, TimePoint now) const;

private:
    OrderLeaseSettings settings_;
    std::uint64_t fencingToken_ = 0;
    std::optional<TimePoint> validUntil_;

    /** First time at which orders of an earlier holder can no longer take effect. */
    TimePoint unfencedFrom_;
};

} // namespace jy
