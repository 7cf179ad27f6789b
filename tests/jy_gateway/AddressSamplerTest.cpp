#include "jy_gateway/placement/AddressSampler.h"

#include "jy_base/hashing/StableHash.h"

#include <gtest/gtest.h>

#include <algorithm>
#include <set>

namespace jy::test {

namespace {

constexpr int callers = 6000;

/** Creates instances of three sizes as in real deployments, spread evenly over domains. */
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

/** Returns the share of all connections per instance if callers pick addresses at random. */
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

/** Returns the highest load of an instance relative to its share of the fleet's capacity. */
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

    /** Failure domains of the callers. */
    std::vector<DomainId> callers;

    /** Highest accepted load relative to the fair one; up to half more if all callers are in one
     * domain. */
    double bound;
};

struct AddressLoadTest : testing::TestWithParam<FleetCase>
{ };

// Guards against uneven load in fleets of mixed sizes, with callers in all domains or in one. It
// arose when all callers got the addresses of the first 64 instances by name.
TEST_P(AddressLoadTest, LoadIsProportionalToCapacity)
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
                    FleetCase{"CallersWithoutDomain", 295, 3, {DomainId("")}, 1.4},
                    FleetCase{"CallersInUnknownDomain", 295, 3, {DomainId("d9")}, 1.4}),
    [](const auto &info) { return std::string(info.param.name); });

struct SampleSizeTest : testing::TestWithParam<int>
{ };

TEST_P(SampleSizeTest, IsWithinBounds)
{
    const auto fleet = mixedFleet(GetParam(), 3);
    for (std::uint64_t caller = 0; caller < 500; ++caller) {
        const auto addresses = AddressSampler::choose(fleet, caller * 0x9E3779B97F4A7C15, {});
        EXPECT_GE(addresses.size(), std::min(fleet.size(), AddressSampler::minAddresses));
        EXPECT_LE(addresses.size(), AddressSampler::maxAddresses);
        EXPECT_EQ(std::set(addresses.begin(), addresses.end()).size(), addresses.size());
    }
}

INSTANTIATE_TEST_SUITE_P(Fleets, SampleSizeTest, testing::Values(1, 2, 6, 8, 64, 90, 295, 400));

TEST(AddressSamplerTest, SmallFleetOfEqualInstancesIsReturnedWhole)
{
    auto fleet = mixedFleet(12, 3);
    for (auto &instance : fleet)
        instance.milliCores = 250;
    EXPECT_EQ(AddressSampler::choose(fleet, 7, {}).size(), fleet.size());
}

TEST(AddressSamplerTest, CallerKeepsItsAddressesWhenAnInstanceLeaves)
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

TEST(AddressSamplerTest, NoReadyInstancesGiveNoAddresses)
{
    EXPECT_TRUE(AddressSampler::choose({}, 7, DomainId("d1")).empty());
}

} // namespace

} // namespace jy::test
