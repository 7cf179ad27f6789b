#include "jy_core/orders/OrderLease.h"

#include <algorithm>

namespace jy {

OrderLease::OrderLease(OrderLeaseSettings settings)
    : settings_(settings)
{ }

void OrderLease::onGranted(std::uint64_t fencingToken, TimePoint requestSent)
{
    const bool newTerm = fencingToken != fencingToken_;
    if (newTerm) {
        // The KV service grants the lease only after the previous one has expired or was released.
        // The previous holder may have started an order until the guard interval before that.
        unfencedOrdersFrom_ =
            requestSent + std::max(settings_.longestOrder, settings_.takeoverDelay);
        fencingToken_ = fencingToken;
    }
    validUntil_ = requestSent + settings_.timeToLive;
}

void OrderLease::onLost()
{
    validUntil_.reset();
}

bool OrderLease::held(TimePoint now) const
{
    return validUntil_ && now < *validUntil_ - settings_.guardInterval;
}

bool OrderLease::renewalDue(TimePoint now) const
{
    return !validUntil_ || now + settings_.timeToLive * 2 / 3 >= *validUntil_;
}

std::optional<std::uint64_t> OrderLease::tokenForOrder(bool engineChecksFencing,
                                                       TimePoint now) const
{
    if (!held(now))
        return std::nullopt;
    if (engineChecksFencing)
        return fencingToken_;
    if (now < unfencedOrdersFrom_)
        return std::nullopt;
    if (now + settings_.longestOrder > *validUntil_ - settings_.guardInterval)
        return std::nullopt;
    return fencingToken_;
}

} // namespace jy
