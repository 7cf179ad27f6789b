#include "jy_core/membership/PoolAggregator.h"

namespace jy {

void PoolAggregator::report(const InstanceId &owner, const PoolReport &report, TimePoint now)
{
    pools_[report.pool][owner] = {report, now};
}

void PoolAggregator::removeOwner(const InstanceId &owner)
{
    for (auto &[name, reports] : pools_)
        reports.erase(owner);
    std::erase_if(pools_, [](const auto &pool) { return pool.second.empty(); });
}

std::optional<PoolTotals> PoolAggregator::totals(const std::string &pool, TimePoint now)
{
    const auto found = pools_.find(pool);
    if (found == pools_.end())
        return std::nullopt;
    auto &reports = found->second;
    std::erase_if(reports,
                  [now](const auto &item) { return now - item.second.received > reportLifetime; });
    if (reports.empty()) {
        pools_.erase(found);
        return std::nullopt;
    }
    PoolTotals totals;
    totals.sum.pool = pool;
    for (const auto &[owner, entry] : reports) {
        totals.sum.inFlight += entry.report.inFlight;
        totals.sum.servers += entry.report.servers;
        totals.sum.limit += entry.report.limit;
        totals.sum.queued += entry.report.queued;
    }
    return totals;
}

} // namespace jy
