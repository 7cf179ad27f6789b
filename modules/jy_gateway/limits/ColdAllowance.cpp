#include "jy_gateway/limits/ColdAllowance.h"

#include "jy_base/hashing/StableHash.h"

#include <algorithm>

namespace jy {

ColdAllowance::ColdAllowance(InstanceId self)
    : self_(std::move(self))
    , live_{self_}
{ }

bool ColdAllowance::available(const ServerId &server, double ratePerSecond, TimePoint now)
{
    const auto wanted = static_cast<std::size_t>(std::max(1.0, ratePerSecond / 2));
    const std::size_t sharers = std::min({maxInstancesPerServer, live_.size(), wanted});
    if (ratePerSecond <= 0 || sharers == 0 || !hasShare(server, sharers))
        return false;
    const double rate = ratePerSecond * usableShare / static_cast<double>(sharers);
    auto [entry, created] = buckets_.try_emplace(server);
    auto &bucket = entry->second;
    if (!created) {
        const std::chrono::duration<double> passed = now - bucket.filled;
        bucket.tokens = std::min(1.0, bucket.tokens + passed.count() * rate);
    }
    bucket.filled = now;
    return bucket.tokens >= 1;
}

void ColdAllowance::spend(const ServerId &server, TimePoint now)
{
    auto &bucket = buckets_[server];
    bucket.tokens = std::max(0.0, bucket.tokens - 1);
    bucket.filled = std::max(bucket.filled, now);
}

void ColdAllowance::retain(const std::set<ServerId> &known)
{
    std::erase_if(buckets_, [&](const auto &entry) { return !known.contains(entry.first); });
}

bool ColdAllowance::hasShare(const ServerId &server, std::size_t sharers) const
{
    const auto key = stableHash(server.value());
    const auto own = rendezvousScore(key, self_.value());
    const auto better = std::ranges::count_if(live_, [&](const InstanceId &other) {
        return other != self_ && rendezvousScore(key, other.value()) > own;
    });
    return static_cast<std::size_t>(better) < sharers;
}

} // namespace jy
