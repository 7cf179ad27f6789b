#include "jy_gateway/duties/ServerScaling.h"

#include <algorithm>
#include <cmath>

namespace jy {

namespace {

int present(const ScalableService &service)
{
    int sum = 0;
    for (const auto &domain : service.domains)
        sum += domain.present;
    return sum;
}

int slots(const ScalableService &service)
{
    int sum = 0;
    for (const auto &domain : service.domains)
        sum += domain.slots;
    return sum;
}

} // namespace

void ServerScaling::observe(const std::vector<ScalableService> &services, TimePoint now)
{
    for (const auto &service : services) {
        auto &state = services_[service.service];
        state.bootTime = service.policy.bootTime;
        auto &history = state.history;
        const int capacity = slots(service);
        const double load = capacity > 0 ? static_cast<double>(service.inFlight) / capacity : 1;
        history.push_back({now, load, service.inFlight, present(service)});
        while (history.front().at < now - lowTime)
            history.pop_front();
    }
}

int ServerScaling::neededServers(const ScalableService &service,
                                 const std::deque<Observation> &history, TimePoint now)
{
    const int current = present(service);
    if (history.empty() || current == 0)
        return current;
    const double slotsPerServer = static_cast<double>(slots(service)) / current;
    const auto needed = [&](int inFlight) {
        return static_cast<int>(std::ceil(inFlight / (targetLoad * slotsPerServer)));
    };
    const auto allSince = [&](TimePoint begin, auto condition) {
        return history.front().at <= begin
            && std::ranges::all_of(history, [&](const Observation &observation) {
                   return observation.at < begin || condition(observation);
               });
    };
    if (allSince(now - highTime, [](const auto &seen) { return seen.load > highLoad; }))
        return std::max(current, needed(history.back().inFlight));
    const bool disturbed = std::ranges::any_of(
        service.domains, [](const ScalableDomain &domain) { return domain.evacuated; });
    const bool isIdle = allSince(now - lowTime + std::chrono::seconds(1), [&](const auto &seen) {
        // Servers that ended may be back soon.
        return seen.load < lowLoad && seen.present <= current;
    });
    if (disturbed || !isIdle)
        return current;
    int peak = 0;
    for (const auto &seen : history)
        peak = std::max(peak, seen.inFlight);
    // The other domains must be able to take over the load of one that is lost.
    const auto domains = static_cast<int>(service.domains.size());
    const int spare = domains > 1 ? needed(peak) / (domains - 1) + 1 : 0;
    return std::min(current, needed(peak) + spare);
}

std::optional<ServerOrder> ServerScaling::next(const std::vector<ScalableService> &services,
                                               TimePoint now) const
{
    for (const auto &service : services) {
        const auto state = services_.find(service.service);
        if (state == services_.end())
            continue;
        const int current = present(service);
        const int wanted = neededServers(service, state->second.history, now);
        if (wanted == current)
            continue;
        for (const auto &domain : service.domains) {
            const double share = static_cast<double>(domain.present) / current;
            const int count = std::clamp(static_cast<int>(std::ceil(share * wanted)),
                                         service.policy.minimum, service.policy.maximum);
            // The bounds of the policy may not allow what the load asks for.
            const bool helps = wanted > current ? count > domain.present : count < domain.present;
            const auto &orders = state->second.orders;
            const auto earlier = orders.find(domain.domain);
            const bool isNew = earlier == orders.end()
                || (earlier->second.count != count && now >= earlier->second.effective);
            if (helps && isNew && !domain.evacuated)
                return ServerOrder{service.service, domain.domain, count};
        }
    }
    return std::nullopt;
}

void ServerScaling::accepted(const ServerOrder &order, TimePoint now)
{
    auto &state = services_[order.service];
    state.orders[order.domain] = {order.count, now + state.bootTime + highTime};
}

} // namespace jy
