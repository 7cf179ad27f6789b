#include "jy_gateway/limits/DemandTable.h"

#include "jy_base/hashing/StableHash.h"

#include <algorithm>
#include <utility>

namespace jy {

namespace {

template <class Reports>
double sumOf(const Reports &reports, std::uint32_t service)
{
    double sum = 0;
    for (const auto &[sender, report] : reports) {
        const auto found = report.demand.find(service);
        sum += found == report.demand.end() ? 0 : found->second;
    }
    return sum;
}

/** Sum over the reports, in which missing ones count with the mean of the others. */
template <class Reports>
double estimate(const Reports &reports, std::uint32_t service, std::size_t expected,
                double ifUnknown)
{
    const double mean =
        reports.empty() ? ifUnknown : sumOf(reports, service) / static_cast<double>(reports.size());
    return mean * static_cast<double>(std::max(expected, reports.size()));
}

} // namespace

std::uint32_t serviceHash(const ServiceId &service)
{
    return static_cast<std::uint32_t>(stableHash(service.value()));
}

void DemandTable::noteReceived(TimePoint now)
{
    // After a silence of all, the age of the reports says nothing about their senders.
    if (now - lastReceived_ > instanceLifetime) {
        for (auto &[sender, report] : instances_)
            report.received = now;
        for (auto &[sender, report] : groups_)
            report.received = now;
    }
    lastReceived_ = now;
}

void DemandTable::setInstance(const InstanceId &instance, DemandByService demand, TimePoint now)
{
    noteReceived(now);
    instances_[instance] = {std::move(demand), now};
}

void DemandTable::setGroup(std::size_t group, DemandByService demand, TimePoint now)
{
    noteReceived(now);
    groups_[group] = {std::move(demand), now};
}

void DemandTable::clear()
{
    instances_.clear();
    groups_.clear();
}

void DemandTable::expire(TimePoint now)
{
    if (now - lastReceived_ > instanceLifetime)
        return;
    std::erase_if(instances_, [&](const auto &entry) {
        return now - entry.second.received > instanceLifetime;
    });
    std::erase_if(groups_,
                  [&](const auto &entry) { return now - entry.second.received > groupLifetime; });
}

double DemandTable::others(const ServiceId &service, double own, const Expected &expected) const
{
    const auto hash = serviceHash(service);
    const double inGroup = estimate(instances_, hash, expected.instances, own);
    return inGroup + estimate(groups_, hash, expected.groups, own + inGroup);
}

DemandByService DemandTable::groupSum(DemandByService own) const
{
    for (const auto &[sender, report] : instances_) {
        for (const auto &[service, perSecond] : report.demand)
            own[service] += perSecond;
    }
    return own;
}

} // namespace jy
