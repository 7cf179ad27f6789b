#include "jy_gateway/limits/SharedAllowance.h"

#include "jy_base/hashing/StableHash.h"

#include <algorithm>

namespace jy {

SharedAllowance::SharedAllowance(InstanceId self)
    : self_(std::move(self))
    , live_{self_}
{ }

void SharedAllowance::setInstances(std::set<InstanceId> live)
{
    if (live == live_)
        return;
    live_ = std::move(live);
    ++fleet_;
}

bool SharedAllowance::available(const ServerId &server, double ratePerSecond, std::size_t sharers,
                                TimePoint now)
{
    auto [entry, created] = shares_.try_emplace(server);
    auto &share = entry->second;
    if (share.fleet != fleet_) {
        share.rank = rankFor(server);
        share.fleet = fleet_;
    }
    if (!created) {
        const std::chrono::duration<double> passed = now - share.filled;
        share.tokens = std::min(1.0, share.tokens + passed.count() * share.rate);
    }
    share.filled = now;
    const bool hasShare = ratePerSecond > 0 && share.rank < sharers;
    share.rate = hasShare ? ratePerSecond / static_cast<double>(sharers) : 0;
    return hasShare && share.tokens >= 1;
}

std::optional<TimePoint> SharedAllowance::nextAt(const ServerId &server) const
{
    const auto found = shares_.find(server);
    if (found == shares_.end() || found->second.rate <= 0)
        return std::nullopt;
    const auto &share = found->second;
    const std::chrono::duration<double> missing((1 - share.tokens) / share.rate);
    return share.filled + std::chrono::duration_cast<Duration>(missing);
}

void SharedAllowance::spend(const ServerId &server, TimePoint now)
{
    auto &share = shares_[server];
    share.tokens = std::max(0.0, share.tokens - 1);
    share.filled = std::max(share.filled, now);
}

void SharedAllowance::retain(const std::set<ServerId> &known)
{
    std::erase_if(shares_, [&](const auto &entry) { return !known.contains(entry.first); });
}

std::size_t SharedAllowance::rankFor(const ServerId &server) const
{
    const auto key = stableHash(server.value());
    const auto own = rendezvousScore(key, self_.value());
    return static_cast<std::size_t>(std::ranges::count_if(live_, [&](const InstanceId &other) {
        return other != self_ && rendezvousScore(key, other.value()) > own;
    }));
}

} // namespace jy
