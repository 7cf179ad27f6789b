#include "jy_gateway/placement/StallDetector.h"

#include <algorithm>
#include <utility>

namespace jy {

StallDetector::StallDetector(IsFull isFull)
    : isFull_(std::move(isFull))
{ }

StallDetector::RequestKey StallDetector::requestSent(const ServerId &server,
                                                     std::chrono::milliseconds silenceTimeout,
                                                     TimePoint now, std::function<void()> onStall)
{
    servers_[server].requests[nextKey_] = {
        .silenceTimeout = silenceTimeout, .waitingSince = now, .onStall = std::move(onStall)};
    return nextKey_++;
}

void StallDetector::dataReceived(const ServerId &server, RequestKey request,
                                 std::chrono::milliseconds silenceTimeout, TimePoint now)
{
    auto &state = servers_.at(server);
    state.lastReceived = now;
    state.requests.at(request) = {
        .silenceTimeout = silenceTimeout, .waitingSince = now, .responseStarted = true};
}

void StallDetector::requestEnded(const ServerId &server, RequestKey request)
{
    const auto found = servers_.find(server);
    found->second.requests.erase(request);
    if (found->second.requests.empty())
        servers_.erase(found);
}

bool StallDetector::hasOverdueRequest(const ServerId &id, const Server &server, TimePoint now) const
{
    return std::ranges::any_of(server.requests, [&](const auto &entry) {
        const auto &request = entry.second;
        const bool overdue =
            now - std::max(request.waitingSince, server.lastReceived) > request.silenceTimeout;
        return overdue && (request.responseStarted || !isFull_(id));
    });
}

bool StallDetector::isReportedByPeer(const ServerId &server, TimePoint now) const
{
    const auto found = peerReports_.find(server);
    if (found == peerReports_.end())
        return false;
    const auto own = servers_.find(server);
    return std::ranges::any_of(found->second, [&](const auto &entry) {
        const auto reported = entry.second;
        const bool refuted = own != servers_.end() && own->second.lastReceived >= reported;
        return now - reported <= peerLifetime && !refuted;
    });
}

bool StallDetector::isStalled(const ServerId &server, TimePoint now) const
{
    const auto own = servers_.find(server);
    return (own != servers_.end() && hasOverdueRequest(server, own->second, now))
        || isReportedByPeer(server, now);
}

std::vector<ServerId> StallDetector::ownStalled(TimePoint now) const
{
    std::vector<ServerId> result;
    for (const auto &[server, state] : servers_) {
        if (hasOverdueRequest(server, state, now))
            result.push_back(server);
    }
    return result;
}

void StallDetector::setPeerStalled(const InstanceId &instance, const std::vector<ServerId> &servers,
                                   TimePoint now)
{
    for (auto &[server, instances] : peerReports_)
        instances.erase(instance);
    for (const auto &server : servers)
        peerReports_[server][instance] = now;
}

void StallDetector::check(TimePoint now)
{
    // Instances that are gone neither renew nor withdraw their reports.
    for (auto &[server, instances] : peerReports_)
        std::erase_if(instances,
                      [&](const auto &entry) { return now - entry.second > peerLifetime; });
    std::erase_if(peerReports_, [](const auto &entry) { return entry.second.empty(); });
    for (auto &[server, state] : servers_) {
        if (!isStalled(server, now))
            continue;
        for (auto &[key, request] : state.requests) {
            if (const auto onStall = std::exchange(request.onStall, {}))
                onStall();
        }
    }
}

} // namespace jy
