#include "jy_gateway/placement/LoadTable.h"

namespace jy {

void LoadTable::start(const ServerId &server)
{
    auto &use = own_[server];
    ++use.inFlight;
    ++use.waiting;
}

void LoadTable::responseStarted(const ServerId &server)
{
    --own_[server].waiting;
}

void LoadTable::finish(const ServerId &server, bool began)
{
    const auto found = own_.find(server);
    if (found == own_.end())
        return;
    if (!began)
        --found->second.waiting;
    if (--found->second.inFlight == 0)
        own_.erase(found);
}

void LoadTable::setPeerUse(const InstanceId &instance, UseByServer use, TimePoint now)
{
    replace(peers_[instance], std::move(use), now);
}

void LoadTable::setGroupUse(std::size_t group, UseByServer use, TimePoint now)
{
    replace(groups_[group], std::move(use), now);
}

void LoadTable::replace(PeerUse &report, UseByServer use, TimePoint now)
{
    takeFromSum(report.use);
    report = {std::move(use), now};
    addToSum(report.use);
}

UseByServer LoadTable::ownGroup() const
{
    auto sum = own_;
    for (const auto &[instance, report] : peers_) {
        for (const auto &[server, part] : report.use) {
            auto &use = sum[server];
            use.inFlight += part.inFlight;
            use.waiting += part.waiting;
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
    const auto isOld = [&](const auto &entry) {
        const bool old = now - entry.second.received > maxAge;
        if (old)
            takeFromSum(entry.second.use);
        return old;
    };
    std::erase_if(peers_, isOld);
    std::erase_if(groups_, isOld);
}

void LoadTable::addToSum(const UseByServer &use)
{
    for (const auto &[server, part] : use) {
        auto &sum = peerSum_[server];
        sum.inFlight += part.inFlight;
        sum.waiting += part.waiting;
    }
}

void LoadTable::takeFromSum(const UseByServer &use)
{
    for (const auto &[server, part] : use) {
        // Entries that only carry outcome counts have no use and may not be in the sum.
        const auto found = peerSum_.find(server);
        if (found == peerSum_.end())
            continue;
        found->second.inFlight -= part.inFlight;
        found->second.waiting -= part.waiting;
        if (found->second == ServerUse{})
            peerSum_.erase(found);
    }
}

ServerUse LoadTable::own(const ServerId &server) const
{
    const auto found = own_.find(server);
    return found == own_.end() ? ServerUse{} : found->second;
}

ServerUse LoadTable::total(const ServerId &server) const
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
