#include "jy_gateway/duties/ServerScaling.h"

#include <gtest/gtest.h>

#include <cmath>
#include <functional>

namespace jy::test {

namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr int slotsPerServer = 32;
constexpr int domainCount = 3;
constexpr int initialServers = 20;
const ScalingPolicy policy{.minimum = 10, .maximum = 60, .bootTime = seconds(8)};

/** What happens in a simulated day. */
struct Day
{
    const char *name;

    /** Requests in flight of all callers at a time, if there are enough slots. */
    std::function<double(double second)> demand;

    /** Server-seconds that the decision may use, relative to the servers at the begin. */
    double mostServerSeconds;

    /** Share of the demand that must find a slot. */
    double leastServed;

    /** Seconds in which the first failure domain has lost its servers or is evacuated. */
    double lostFrom = 0;
    double lostUntil = 0;
    bool evacuated = false;

    /** Factor by which the reported load is wrong. */
    double reportedLoad = 1;
};

struct DayResult
{
    double served = 0;
    double serverSeconds = 0;
    int orders = 0;
};

/** Plays the decisions against servers that boot and leave, without a network. */
DayResult play(const Day &day)
{
    constexpr double step = 0.1;
    constexpr double length = 120;
    struct Domain
    {
        int present = initialServers;
        int ordered = initialServers;
        double bootedAt = 0;
    };
    std::vector<Domain> domains(domainCount);
    ServerScaling scaling;
    DayResult result;
    double asked = 0;
    for (double now = 0; now < length; now += step) {
        const bool lost = now >= day.lostFrom && now < day.lostUntil;
        ScalableService service{.service = ServiceId("s"), .policy = policy};
        int slots = 0;
        for (int i = 0; i < domainCount; ++i) {
            auto &domain = domains[static_cast<std::size_t>(i)];
            if (domain.present != domain.ordered && now >= domain.bootedAt)
                domain.present = domain.ordered;
            const bool out = lost && i == 0;
            const int present = out && !day.evacuated ? 0 : domain.present;
            service.domains.push_back({DomainId(std::to_string(i)), present,
                                       present * slotsPerServer, out && day.evacuated});
            slots += out ? 0 : present * slotsPerServer;
            result.serverSeconds += domain.ordered * step;
        }
        const double demand = day.demand(now);
        asked += demand * step;
        result.served += std::min<double>(demand, slots) * step;
        service.inFlight = static_cast<int>(demand * day.reportedLoad);
        const TimePoint at{milliseconds(static_cast<int>(now * 1000))};
        scaling.observe({service}, at);
        if (const auto order = scaling.next({service}, at)) {
            auto &domain = domains[std::stoul(order->domain.value())];
            const bool grows = order->count > domain.ordered;
            domain.ordered = order->count;
            domain.bootedAt = now + (grows ? 8 : 0);
            scaling.accepted(*order, at);
            ++result.orders;
        }
    }
    result.served /= asked;
    return result;
}

constexpr double allSlots = initialServers * domainCount * slotsPerServer;

std::function<double(double)> constant(double share)
{
    return [share](double) { return share * allSlots; };
}

double wave(double second)
{
    return allSlots * (0.2 + 0.1 * std::sin(second * 0.57));
}

double burst(double second)
{
    return allSlots * (second > 40 && second < 44 ? 0.9 : 0.2);
}

double growth(double second)
{
    return allSlots * (second < 30 ? 0.3 : 1.5);
}

struct ServerScalingTest : testing::TestWithParam<Day>
{ };

// Guards against callers that find no server although more could be ordered, against servers that
// are paid for without need, and against orders that come and go with each change of the load.
TEST_P(ServerScalingTest, ServesTheDemand)
{
    const auto result = play(GetParam());
    EXPECT_GE(result.served, GetParam().leastServed);
    EXPECT_LE(result.serverSeconds,
              GetParam().mostServerSeconds * initialServers * domainCount * 120.1);
    // At most one change up and one down for each domain, and one more after a disturbance.
    EXPECT_LE(result.orders, 3 * domainCount);
}

INSTANTIATE_TEST_SUITE_P(
    Days, ServerScalingTest,
    testing::Values(
        Day{"Wave", wave, 1, 1}, Day{"Burst", burst, 1, 1},
        // Without orders 0.68 is served; the best size in hindsight serves everything.
        Day{"Growth", growth, 3, 0.93}, Day{"Idle", constant(0.01), 0.7, 1},
        Day{"LostDomain", constant(0.3), 1, 1, 30, 45},
        // An idle service is not reduced while a domain is evacuated: its load has to fit.
        Day{"IdleAndEvacuated", constant(0.01), 1, 1, 0, 120, true},
        Day{"ReportsTooHigh", constant(0.2), 3, 1, 0, 0, false, 4},
        Day{"ReportsNoLoad", constant(0.3), 1, 1, 0, 0, false, 0}),
    [](const auto &info) { return std::string(info.param.name); });

// Guards against orders without any observation, at the begin of a term.
TEST(ServerScalingTest, NothingIsOrderedWithoutEvidence)
{
    ServerScaling scaling;
    const ScalableService service{ServiceId("s"), policy, 1000, {{DomainId("a"), 1, 32, false}}};
    EXPECT_FALSE(scaling.next({service}, TimePoint(seconds(100))));
    scaling.observe({service}, TimePoint(seconds(100)));
    EXPECT_FALSE(scaling.next({service}, TimePoint(seconds(100))));
}

} // namespace

} // namespace jy::test
