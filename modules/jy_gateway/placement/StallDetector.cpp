#include "jy_gateway/placement/StallDetector.h"

#include <algorithm>
#include <utility>

namespace jy {

StallDetector::StallDetector(IsFull isFull)
    : isFull_(std::move(isFull))
{ }

StallDetector::RequestKey StallDetector::begin(const ServerId &server,
                                               std::chrono::milliseconds silenceTimeout,
                                               TimePoint now, std::function<void()> onStall)
{
    servers_[server].requests[nextKey_] = {
        .silenceTimeout = silenceTimeout, .since = now, .onStall = std::move(onStall)};
    return nextKey_++;
}

void StallDetector::heard(const ServerId &server, RequestKey request,
                          std::chrono::milliseconds silenceTimeout, TimePoint now)
{
    auto &state = servers_.at(server);
    state.heard = now;
    state.requests.at(request) = {.silenceTimeout = silenceTimeout, .since = now, .begun = true};
}

void StallDetector::end(const ServerId &server, RequestKey request)
{
    const auto found = servers_.find(server);
    found->second.requests.erase(request);
    if (found->second.requests.empty())
        servers_.erase(found);
}

bool StallDetector::isStalled(const ServerId &id, const Server &server, TimePoint now) const
{
    return std::ranges::any_of(server.requests, [&](const auto &entry) {
        const auto &request = entry.second;
        const bool overdue = now - std::max(request.since, server.heard) > request.silenceTimeout;
        return overdue && (request.begun || !isFull_(id));
    });
}

bool StallDetector::peerStalled(const ServerId &server, TimePoint now) const
{
    const auto found = told_.find(server);
    if (found == told_.end())
        return false;
    const auto own = servers_.find(server);
    return std::ranges::any_of(found->second, [&](const auto &entry) {
        const auto told = entry.second;
        const bool refuted = own != servers_.end() && own->second.heard >= told;
        return now - told <= peerLifetime && !refuted;
    });
}

bool StallDetector::stalled(const ServerId &server, TimePoint now) const
{
    const auto own = servers_.find(server);
    return (own != servers_.end() && isStalled(server, own->second, now))
        || peerStalled(server, now);
}

std::vector<ServerId> StallDetector::ownStalled(TimePoint now) const
{
    std::vector<ServerId> result;
    for (const auto &[server, state] : servers_) {
        if (isStalled(server, state, now))
            result.push_back(server);
    }
    return result;
}

void StallDetector::setPeerStalled(const InstanceId &instance, const std::vector<ServerId> &servers,
                                   TimePoint now)
{
    for (auto &[server, instances] : told_)
        instances.erase(instance);
    for (const auto &server : servers)
        told_[server][instance] = now;
}

void StallDetector::check(TimePoint now)
{
    // Instances that are gone renew nothing and take nothing back.
    for (auto &[server, instances] : told_)
        std::erase_if(instances,
                      [&](const auto &entry) { return now - entry.second > peerLifetime; });
    std::erase_if(told_, [](const auto &entry) { return entry.second.empty(); });
    for (auto &[server, state] : servers_) {
        if (!stalled(server, now))
            continue;
        for (auto &[key, request] : state.requests) {
            if (const auto onStall = std::exchange(request.onStall, {}))
                onStall();
        }
    }
}

} // namespace jy
