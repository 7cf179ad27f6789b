#include "jy_router/orders/OrderDriver.h"

#include <absl/strings/str_cat.h>

#include <algorithm>

namespace jy {

OrderDriver::OrderDriver(OrderDriverDependencies dependencies, OrderLeaseSettings settings)
    : dependencies_(std::move(dependencies))
    , settings_(settings)
    , lease_(settings)
{ }

void OrderDriver::tick()
{
    const auto state = dependencies_.desiredState();
    if (!state)
        return;
    if (!dependencies_.preferred()) {
        stop();
        return;
    }
    if (keepLease())
        sendNext(*state);
}

bool OrderDriver::keepLease()
{
    const auto before = dependencies_.now();
    if (!lease_.renewalDue(before))
        return lease_.held(before);
    const auto token = dependencies_.acquireOrRenew(settings_.timeToLive);
    if (token)
        lease_.onGranted(token.value(), before);
    else if (token.error().kind == ErrorKind::LeaseLost)
        lease_.onLost();
    // A failed renewal leaves the lease valid until its time is over.
    return lease_.held(dependencies_.now());
}

void OrderDriver::sendNext(const DesiredState &state)
{
    if (dependencies_.now() < nextLoad_)
        return;
    const auto plan = planOrders(state, dependencies_.moveTable(), dependencies_.servers());
    if (plan.empty())
        return;
    const auto &order = plan[position_++ % plan.size()];
    const auto token = lease_.tokenForOrder(order.checksFencing, dependencies_.now());
    if (!token)
        return;
    nextLoad_ = nextLoadTime(state, order);
    const auto sent = dependencies_.send(order, *token);
    dependencies_.event(
        sent ? "order.sent" : "order.failed", order.server,
        sent ? absl::StrCat("load version ", order.version.value(), " token ", *token)
             : sent.error().message);
}

TimePoint OrderDriver::nextLoadTime(const DesiredState &state, const PlannedOrder &order) const
{
    const auto rate = state.global.weightBytesPerSecond;
    if (rate == 0)
        return dependencies_.now();
    const auto seconds = static_cast<double>(order.weightBytes) / static_cast<double>(rate);
    return dependencies_.now()
        + std::chrono::duration_cast<Duration>(std::chrono::duration<double>(seconds));
}

void OrderDriver::stop()
{
    if (!lease_.held(dependencies_.now()))
        return;
    lease_.onLost();
    dependencies_.release();
}

} // namespace jy
