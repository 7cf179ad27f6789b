#include "jy_gateway/limits/DemandTable.h"

#include <gtest/gtest.h>

namespace jy::test {

namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

const TimePoint start{std::chrono::hours(1)};
const ServiceId service{"desk"};

DemandByService demand(double perSecond)
{
    return {{serviceHash(service), perSecond}};
}

struct DemandCase
{
    const char *name;

    /** Demands that other instances of the group and other groups have reported. */
    std::vector<double> instances;
    std::vector<double> groups;
    DemandTable::Expected expected;
    double others;
};

struct DemandTableTest : testing::TestWithParam<DemandCase>
{ };

// Guards against a share that is too large because some instances have not reported yet, or run a
// build that does not report its demand. The demand of this instance is 5.
TEST_P(DemandTableTest, MissingReportsCountWithTheMean)
{
    const auto &param = GetParam();
    DemandTable table;
    for (std::size_t i = 0; i < param.instances.size(); ++i)
        table.setInstance(InstanceId("i" + std::to_string(i)), demand(param.instances[i]), start);
    for (std::size_t i = 0; i < param.groups.size(); ++i)
        table.setGroup(i, demand(param.groups[i]), start);
    EXPECT_DOUBLE_EQ(table.others(service, 5, param.expected), param.others);
}

INSTANTIATE_TEST_SUITE_P(Cases, DemandTableTest,
                         testing::Values(DemandCase{"Alone", {}, {}, {0, 0}, 0},
                                         DemandCase{"NobodyHasReported", {}, {}, {3, 0}, 15},
                                         DemandCase{"All", {1, 2}, {}, {2, 0}, 3},
                                         DemandCase{"HalfReport", {1, 3}, {}, {4, 0}, 8},
                                         DemandCase{"Groups", {1}, {10, 20}, {1, 2}, 31},
                                         DemandCase{"OneGroupIsMissing", {1}, {10, 20}, {1, 3}, 46},
                                         DemandCase{"NoGroupHasReported", {1}, {}, {1, 2}, 13}),
                         [](const auto &info) { return info.param.name; });

// Guards against places that stay with a dead instance, and against an instance that takes over the
// share of all others because it is disconnected or was suspended.
TEST(DemandTableExpiry, OnlyTheReportsOfSilentInstancesExpire)
{
    DemandTable table;
    const DemandTable::Expected nobodyElse;
    table.setInstance(InstanceId("a"), demand(4), start);
    table.setInstance(InstanceId("b"), demand(6), start);
    const auto later = start + DemandTable::instanceLifetime + milliseconds(1);
    table.setInstance(InstanceId("a"), demand(4), later - milliseconds(100));
    table.expire(later);
    EXPECT_DOUBLE_EQ(table.others(service, 1, nobodyElse), 4);

    table.setInstance(InstanceId("b"), demand(6), later);
    const auto muchLater = later + seconds(60);
    table.expire(muchLater);
    EXPECT_DOUBLE_EQ(table.others(service, 1, nobodyElse), 10);
    table.setInstance(InstanceId("a"), demand(3), muchLater);
    table.expire(muchLater);
    EXPECT_DOUBLE_EQ(table.others(service, 1, nobodyElse), 9);
    table.setInstance(InstanceId("a"), demand(3), muchLater + milliseconds(1500));
    table.expire(muchLater + milliseconds(2500));
    EXPECT_DOUBLE_EQ(table.others(service, 1, nobodyElse), 3);
}

TEST(DemandTableSum, ReportOfTheGroupHasAllItsInstances)
{
    DemandTable table;
    table.setInstance(InstanceId("a"), demand(4), start);
    table.setGroup(2, demand(50), start);
    EXPECT_EQ(table.groupSum(demand(1)), demand(5));
}

} // namespace

} // namespace jy::test
