#include "jy_gateway/placement/AddressSampler.h"

#include "jy_base/hashing/StableHash.h"

#include <algorithm>
#include <numeric>

namespace jy {

namespace {

// Budget of an instance for control: 1.3 % of a core, see docs/CAPACITY.md.
constexpr double controlMilliCores = 13;

// Even the smallest instance takes some callers.
constexpr double leastMilliCores = 10;

// By docs/CAPACITY.md a request takes 3.6 ms of a core; it moves about 10 KB, 12 of them a Mbit.
constexpr double milliCoresPerMbps = 40;

/** An instance and its place in the draw for one caller. */
struct Draw
{
    const RegisteredInstance *instance;

    /** Below 1 if the instance is drawn; smaller ones are added first. */
    double rank;
};

/** Probabilities in proportion to the weights: 1 for the largest, less in a large fleet. */
std::vector<double> probabilities(std::vector<double> weights)
{
    const double largest = *std::ranges::max_element(weights);
    const double expected = std::accumulate(weights.begin(), weights.end(), 0.0) / largest;
    const double scale = std::min(1.0, AddressSampler::usualAddresses / expected) / largest;
    for (auto &weight : weights)
        weight *= scale;
    return weights;
}

} // namespace

double AddressSampler::capacity(const RegisteredInstance &instance)
{
    const double processor = std::max(leastMilliCores, instance.milliCores - controlMilliCores);
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
