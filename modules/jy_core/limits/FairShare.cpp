#include "jy_core/limits/FairShare.h"

#include <algorithm>
#include <numeric>

namespace jy {

namespace {

// Avoids a division by zero for a workspace with weight zero.
constexpr double smallestWeight = 1e-6;

double weightOf(const ShareDemand &demand)
{
    return std::max(smallestWeight, demand.weight);
}

} // namespace

std::vector<double> maxMinShares(const std::vector<ShareDemand> &demands, double capacity)
{
    std::vector<std::size_t> order(demands.size());
    std::iota(order.begin(), order.end(), 0);
    std::sort(order.begin(), order.end(), [&](std::size_t a, std::size_t b) {
        return demands[a].demand / weightOf(demands[a]) < demands[b].demand / weightOf(demands[b]);
    });
    double weight = 0;
    for (const auto &demand : demands)
        weight += weightOf(demand);
    std::vector<double> shares(demands.size());
    for (const auto index : order) {
        const auto &demand = demands[index];
        const double share = capacity * weightOf(demand) / weight;
        shares[index] = std::min(demand.demand, share);
        capacity -= shares[index];
        weight -= weightOf(demand);
    }
    return shares;
}

void FairShare::start(const WorkspaceId &workspace)
{
    ++inFlight_[workspace];
}

void FairShare::finish(const WorkspaceId &workspace)
{
    const auto found = inFlight_.find(workspace);
    if (found != inFlight_.end() && --found->second <= 0)
        inFlight_.erase(found);
}

int FairShare::inFlight(const WorkspaceId &workspace) const
{
    const auto found = inFlight_.find(workspace);
    return found == inFlight_.end() ? 0 : found->second;
}

double FairShare::usage(const WorkspaceId &workspace, double weight) const
{
    return inFlight(workspace) / std::max(smallestWeight, weight);
}

} // namespace jy
