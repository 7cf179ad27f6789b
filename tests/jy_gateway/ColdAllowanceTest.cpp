#include "InstanceFixture.h"

#include <gtest/gtest.h>

#include <set>
#include <vector>

namespace jy::test {

namespace {

/** Size of a fleet and the request rate that one cold server tolerates. */
struct ColdCase
{
    std::size_t instances;
    double rate;
};

struct ColdAllowanceTest : testing::TestWithParam<ColdCase>
{ };

TEST_P(ColdAllowanceTest, RequestsOfAllInstancesStayWithinTheLimitInAnySecond)
{
    // The platform accepts rate * overshoot + slack requests in a second.
    constexpr double overshoot = 1.5;
    constexpr double slack = 5;
    const auto &param = GetParam();
    std::set<InstanceId> live;
    for (std::size_t i = 0; i < param.instances; ++i)
        live.insert(InstanceId("i" + std::to_string(i)));
    std::vector<ColdAllowance> allowances;
    for (const auto &id : live) {
        allowances.emplace_back(id);
        allowances.back().setInstances(live);
    }
    const ServerId cold("cold");
    std::vector<TimePoint> sent;
    for (auto now = start; now < start + seconds(3); now += milliseconds(10)) {
        for (auto &allowance : allowances) {
            if (!allowance.available(cold, param.rate, now))
                continue;
            allowance.spend(cold, now);
            sent.push_back(now);
        }
    }
    EXPECT_GT(sent.size(), 0U);
    for (std::size_t i = 0; i < sent.size(); ++i) {
        std::size_t end = i;
        while (end < sent.size() && sent[end] < sent[i] + seconds(1))
            ++end;
        EXPECT_LE(static_cast<double>(end - i), param.rate * overshoot + slack);
    }
}

INSTANTIATE_TEST_SUITE_P(Fleets, ColdAllowanceTest,
                         testing::Values(ColdCase{1, 11}, ColdCase{6, 11}, ColdCase{8, 12},
                                         ColdCase{90, 12}, ColdCase{300, 2}, ColdCase{90, 40}));

TEST(ColdAllowanceTest, NewBucketIsNotRefilledForThePast)
{
    ColdAllowance allowance(InstanceId("only"));
    const ServerId cold("cold");
    int sent = 0;
    for (int i = 0; i < 20; ++i) {
        const auto now = start + milliseconds(i);
        if (allowance.available(cold, 10, now)) {
            allowance.spend(cold, now);
            ++sent;
        }
    }
    EXPECT_EQ(sent, 1);
}

} // namespace

} // namespace jy::test
