#include "jy_gateway/peers/DutyMessages.h"

#include "jy_base/time/UnixTime.h"
#include "jy_gateway/peers/generated/beat.pb.h"

#include <algorithm>
#include <map>
#include <string>

namespace jy {

void addUsage(const UsageMessage &usage, wire::Beat &message)
{
    auto *encoded = message.mutable_usage();
    if (usage.countedUntil)
        encoded->set_counted_until_ms(toUnixMs(*usage.countedUntil));
    for (const auto &[number, counts] : usage.windows) {
        auto *window = encoded->add_windows();
        window->set_number(number);
        for (const auto &[workspace, count] : counts) {
            window->add_workspaces(workspace.value());
            window->add_counts(count);
        }
    }
}

UsageMessage readUsage(const wire::Beat &message, const InstanceId &instance)
{
    UsageMessage usage{.instance = instance, .incarnation = message.incarnation()};
    if (message.usage().counted_until_ms() != 0)
        usage.countedUntil = fromUnixMs(message.usage().counted_until_ms());
    for (const auto &window : message.usage().windows()) {
        auto &counts = usage.windows[window.number()];
        const auto size = std::min(window.workspaces_size(), window.counts_size());
        for (int i = 0; i < size; ++i)
            counts[WorkspaceId(window.workspaces(i))] = window.counts(i);
    }
    return usage;
}

void addRollout(const RolloutMessage &rollout, wire::Beat &message)
{
    auto *encoded = message.mutable_rollout();
    encoded->set_service(rollout.service.value());
    encoded->set_order(rollout.order);
    const auto addRoutes = [&](const std::map<std::string, RolloutCounts> &routes, bool target) {
        for (const auto &[name, counts] : routes) {
            auto *route = encoded->add_routes();
            route->set_name(name);
            route->set_target_version(target);
            route->set_requests(counts.requests);
            route->set_errors(counts.errors);
            route->set_timed(counts.timed);
            route->set_slow(counts.slow);
        }
    };
    addRoutes(rollout.outcomes.target, true);
    addRoutes(rollout.outcomes.current, false);
}

RolloutMessage readRollout(const wire::Beat &message)
{
    const auto &encoded = message.rollout();
    RolloutMessage rollout{.service = ServiceId(encoded.service()), .order = encoded.order()};
    for (const auto &route : encoded.routes()) {
        auto &routes = route.target_version() ? rollout.outcomes.target : rollout.outcomes.current;
        routes[route.name()] = {route.requests(), route.errors(), route.timed(), route.slow()};
    }
    return rollout;
}

} // namespace jy
