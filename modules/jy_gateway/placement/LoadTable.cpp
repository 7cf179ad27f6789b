#include "jy_gateway/placement/LoadTable.h"

namespace jy {

void LoadTable::requestStarted(const ServerId &server)
{
    auto &requests = own_[server];
    ++requests.inFlight;
    ++requests.waiting;
}

void LoadTable::responseStarted(const ServerId &server)
{
    --own_[server].waiting;
}

void LoadTable::requestFinished(const ServerId &server, bool hadResponse)
{
    const auto found = own_.find(server);
    if (found == own_.end())
        return;
    if (!hadResponse)
        --found->second.waiting;
    if (--found->second.inFlight == 0)
        own_.erase(found);
}

void LoadTable::setPeerRequests(const InstanceId &instance, RequestCountsByServer requests,
                                TimePoint now)
{
    replace(peers_[instance], std::move(requests), now);
}

void LoadTable::setGroupRequests(std::size_t group, RequestCountsByServer requests, TimePoint now)
{
    replace(groups_[group], std::move(requests), now);
}

void LoadTable::replace(PeerRequests &report, RequestCountsByServer requests, TimePoint now)
{
    subtractFromSum(report.requests);
    report = {std::move(requests), now};
    addToSum(report.requests);
}

RequestCountsByServer LoadTable::ownGroup() const
{
    auto sum = own_;
    for (const auto &[instance, report] : peers_) {
        for (const auto &[server, part] : report.requests) {
            auto &requests = sum[server];
            requests.inFlight += part.inFlight;
            requests.waiting += part.waiting;
        }
    }
    return sum;
}

void LoadTable::clearReports()
{
    peers_.clear();
    groups_.clear();
    peerSum_.clear();
}

void LoadTable::expire(TimePoint now)
{
    const auto isExpired = [&](const auto &entry) {
        const bool expired = now - entry.second.received > maxAge;
        if (expired)
            subtractFromSum(entry.second.requests);
        return expired;
    };
    std::erase_if(peers_, isExpired);
    std::erase_if(groups_, isExpired);
}

void LoadTable::addToSum(const RequestCountsByServer &requests)
{
    for (const auto &[server, part] : requests) {
        auto &sum = peerSum_[server];
        sum.inFlight += part.inFlight;
        sum.waiting += part.waiting;
    }
}

void LoadTable::subtractFromSum(const RequestCountsByServer &requests)
{
    for (const auto &[server, part] : requests) {
        // Reports also list servers with outcome counts but no requests, which the sum may lack.
        const auto found = peerSum_.find(server);
        if (found == peerSum_.end())
            continue;
        found->second.inFlight -= part.inFlight;
        found->second.waiting -= part.waiting;
        if (found->second == ServerRequestCounts{})
            peerSum_.erase(found);
    }
}

ServerRequestCounts LoadTable::own(const ServerId &server) const
{
    const auto found = own_.find(server);
    return found == own_.end() ? ServerRequestCounts{} : found->second;
}

ServerRequestCounts LoadTable::total(const ServerId &server) const
{
    auto sum = own(server);
    const auto peers = peerSum_.find(server);
    if (peers != peerSum_.end()) {
        sum.inFlight += peers->second.inFlight;
        sum.waiting += peers->second.waiting;
    }
    return sum;
}

} // namespace jy
