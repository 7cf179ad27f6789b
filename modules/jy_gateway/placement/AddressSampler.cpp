#include "jy_gateway/placement/AddressSampler.h"

#include "jy_base/hashing/StableHash.h"

#include <algorithm>
#include <numeric>

namespace jy {

namespace {

// Capacity that an instance needs for control traffic: 1.3 % of a core, see docs/CAPACITY.md.
constexpr double controlMilliCores = 13;

// Lower bound of the capacity, so that even the smallest instance gets some callers.
constexpr double minMilliCores = 10;

// A request takes 3.6 ms of a core, see docs/CAPACITY.md, and transfers about 10 KB, so one Mbit
// carries 12 requests.
constexpr double milliCoresPerMbps = 40;

/** An instance and its rank in the sample for one caller. */
struct Draw
{
    const RegisteredInstance *instance;

    /** The instance is in the sample if this is below 1; lower ranks are added first. */
    double rank;
};

/** Returns probabilities proportional to the weights: the largest gets 1, or less in a large
 * fleet, so that the expected number of addresses is limited. */
std::vector<double> probabilities(std::vector<double> weights)
{
    const double largest = *std::ranges::max_element(weights);
    const double expected = std::accumulate(weights.begin(), weights.end(), 0.0) / largest;
    const double scale = std::min(1.0, AddressSampler::expectedAddresses / expected) / largest;
    for (auto &weight : weights)
        weight *= scale;
    return weights;
}

} // namespace

double AddressSampler::capacity(const RegisteredInstance &instance)
{
    const double processor = std::max(minMilliCores, instance.milliCores - controlMilliCores);
    return instance.linkMbps > 0 ? std::min(processor, instance.linkMbps * milliCoresPerMbps)
                                 : processor;
}

std::vector<Endpoint> AddressSampler::choose(const std::vector<RegisteredInstance> &ready,
                                             std::uint64_t caller, const DomainId &domain)
{
    if (ready.empty())
        return {};
    std::vector<double> weights;
    weights.reserve(ready.size());
    for (const auto &instance : ready)
        weights.push_back(capacity(instance) * (instance.domain == domain ? localWeight : 1.0));
    const auto chances = probabilities(std::move(weights));
    std::vector<Draw> draws;
    draws.reserve(ready.size());
    for (std::size_t i = 0; i < ready.size(); ++i) {
        const double point = unitInterval(rendezvousScore(caller, ready[i].id.value()));
        draws.push_back({&ready[i], point / chances[i]});
    }
    std::ranges::sort(draws, {}, &Draw::rank);
    std::vector<Endpoint> addresses;
    for (const auto &draw : draws) {
        const bool drawn = draw.rank < 1 || addresses.size() < minAddresses;
        if (!drawn || addresses.size() == maxAddresses)
            break;
        addresses.push_back(draw.instance->caller);
    }
    return addresses;
}

} // namespace jy
