#include "jy_gateway/placement/AddressSampler.h"

#include "jy_base/hashing/StableHash.h"

#include <gtest/gtest.h>

#include <algorithm>
#include <set>

namespace jy::test {

namespace {

constexpr int callers = 6000;

/** Instances of the sizes that deployments mix, spread evenly over domains. */
std::vector<RegisteredInstance> mixedFleet(int count, int domains)
{
    constexpr std::array sizes{120, 250, 500};
    std::vector<RegisteredInstance> fleet;
    fleet.reserve(static_cast<std::size_t>(count));
    for (int i = 0; i < count; ++i)
        fleet.push_back({.id = InstanceId("instance-" + std::to_string(i)),
                         .caller = {"10.0.0.1", static_cast<std::uint16_t>(1000 + i)},
                         .domain = DomainId("d" + std::to_string(i % domains)),
                         .linkMbps = 200,
                         .milliCores = sizes.at(static_cast<std::size_t>(i / domains) % 3)});
    return fleet;
}

/** Share of all connections by instance, with callers that pick an address at random. */
std::map<Endpoint, double> loadOf(const std::vector<RegisteredInstance> &fleet,
                                  const std::vector<DomainId> &domains)
{
    std::map<Endpoint, double> load;
    for (int caller = 0; caller < callers; ++caller) {
        const auto addresses =
            AddressSampler::choose(fleet, stableHash("caller-" + std::to_string(caller)),
                                   domains.at(static_cast<std::size_t>(caller) % domains.size()));
        for (const auto &address : addresses)
            load[address] += 1.0 / callers / static_cast<double>(addresses.size());
    }
    return load;
}

/** Load of the busiest instance relative to its share of the fleet's capacity. */
double worstOverload(const std::vector<RegisteredInstance> &fleet,
                     const std::map<Endpoint, double> &load)
{
    double capacity = 0;
    for (const auto &instance : fleet)
        capacity += AddressSampler::capacity(instance);
    double worst = 0;
    for (const auto &instance : fleet) {
        const auto found = load.find(instance.caller);
        const double share = AddressSampler::capacity(instance) / capacity;
        worst = std::max(worst, found == load.end() ? 0 : found->second / share);
    }
    return worst;
}

struct FleetCase
{
    const char *name;
    int instances;
    int domains;

    /** Domains that callers are in. */
    std::vector<DomainId> callers;

    /** Largest load relative to the fair one; half as much again when all callers are together. */
    double bound;
};

struct AddressLoadTest : testing::TestWithParam<FleetCase>
{ };

// Load played: callers of all domains, or of one, before fleets of mixed sizes. The first 64
// instances by name were told to all callers.
TEST_P(AddressLoadTest, FollowsWhatInstancesCanCarry)
{
    const auto &param = GetParam();
    const auto fleet = mixedFleet(param.instances, param.domains);
    const auto load = loadOf(fleet, param.callers);
    EXPECT_EQ(load.size(), fleet.size()) << "an instance got no callers";
    EXPECT_LE(worstOverload(fleet, load), param.bound);
}

const std::vector<DomainId> everywhere{DomainId("d0"), DomainId("d1"), DomainId("d2")};

INSTANTIATE_TEST_SUITE_P(
    Fleets, AddressLoadTest,
    testing::Values(FleetCase{"Three", 3, 3, everywhere, 2.0},
                    FleetCase{"Eight", 8, 3, everywhere, 2.0},
                    FleetCase{"Ninety", 90, 3, everywhere, 1.4},
                    FleetCase{"Large", 295, 3, everywhere, 1.4},
                    FleetCase{"Larger", 400, 3, everywhere, 1.4},
                    FleetCase{"CallersInOneDomain", 295, 3, {DomainId("d1")}, 1.9},
                    FleetCase{"CallersOfNoDomain", 295, 3, {DomainId("")}, 1.4},
                    FleetCase{"CallersOfALostDomain", 295, 3, {DomainId("d9")}, 1.4}),
    [](const auto &info) { return std::string(info.param.name); });

struct AnswerSizeTest : testing::TestWithParam<int>
{ };

TEST_P(AnswerSizeTest, HasEnoughAddressesAndNotTooMany)
{
    const auto fleet = mixedFleet(GetParam(), 3);
    for (std::uint64_t caller = 0; caller < 500; ++caller) {
        const auto addresses = AddressSampler::choose(fleet, caller * 0x9E3779B97F4A7C15, {});
        EXPECT_GE(addresses.size(), std::min(fleet.size(), AddressSampler::minAddresses));
        EXPECT_LE(addresses.size(), AddressSampler::maxAddresses);
        EXPECT_EQ(std::set(addresses.begin(), addresses.end()).size(), addresses.size());
    }
}

INSTANTIATE_TEST_SUITE_P(Fleets, AnswerSizeTest, testing::Values(1, 2, 6, 8, 64, 90, 295, 400));

TEST(AddressSamplerTest, InstancesOfEqualSizeAreAllNamedInASmallFleet)
{
    auto fleet = mixedFleet(12, 3);
    for (auto &instance : fleet)
        instance.milliCores = 250;
    EXPECT_EQ(AddressSampler::choose(fleet, 7, {}).size(), fleet.size());
}

TEST(AddressSamplerTest, CallerKeepsItsAddressesWhenOneInstanceLeaves)
{
    auto fleet = mixedFleet(295, 5);
    const auto before = AddressSampler::choose(fleet, 7, DomainId("d1"));
    const auto left = fleet.at(11).caller;
    fleet.erase(fleet.begin() + 11);
    const auto after = AddressSampler::choose(fleet, 7, DomainId("d1"));
    std::size_t kept = 0;
    for (const auto &address : before)
        kept += address != left && std::ranges::find(after, address) != after.end() ? 1 : 0;
    EXPECT_GE(kept + 2, before.size());
}

TEST(AddressSamplerTest, NobodyReadyGivesNoAddress)
{
    EXPECT_TRUE(AddressSampler::choose({}, 7, DomainId("d1")).empty());
}

} // namespace

} // namespace jy::test
