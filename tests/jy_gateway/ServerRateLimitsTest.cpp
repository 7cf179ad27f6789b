#include "InstanceFixture.h"

#include <gtest/gtest.h>

#include <algorithm>
#include <deque>
#include <random>

namespace jy::test {

namespace {

struct LimitedLoad
{
    const char *name;
    int instances;
    int servers;
    int limited;
    double perSecond;

    /** Requests per second of all callers, and whether they have a prompt. */
    double rate;
    bool prompts;

    /** Smallest share of the requests that must get a server. */
    double served;
};

/** Plays requests to instances that share servers, some of which name a limit. */
class LimitedFleet
{
public:
    explicit LimitedFleet(const LimitedLoad &load)
        : load_(load)
    {
        std::set<InstanceId> live;
        for (int i = 0; i < load.instances; ++i) {
            instances_.push_back(std::make_unique<Instance>("i" + std::to_string(i)));
            instances_.back()->add(load.servers, engines);
            live.insert(InstanceId("i" + std::to_string(i)));
        }
        for (auto &instance : instances_)
            instance->rateLimits.setInstances(live);
    }

    void run(seconds duration)
    {
        constexpr milliseconds step{1};
        for (auto now = start; now < start + duration; now += step) {
            if ((now - start) % heartbeatPeriod == seconds(0))
                exchange(now);
            if (unit_(random_) < load_.rate * std::chrono::duration<double>(step).count())
                send(now);
        }
    }

    /** Most requests that one limited server got in a window of four seconds. */
    std::size_t worstWindow = 0;
    int sent = 0;
    int served = 0;

private:
    static constexpr milliseconds heartbeatPeriod{500};

    void exchange(TimePoint now)
    {
        for (auto &from : instances_) {
            for (const auto &report : from->rateLimits.takeReports(1)) {
                for (auto &to : instances_) {
                    if (to != from)
                        to->rateLimits.receive(report, now);
                }
            }
        }
    }

    void send(TimePoint now)
    {
        constexpr seconds window{4};
        constexpr seconds learningTime{3};
        auto &instance = *instances_[static_cast<std::size_t>(unit_(random_) * load_.instances)];
        const auto affinity = load_.prompts ? random_() | 1 : 0;
        const auto placement = instance.chooser.choose(
            {.service = engines, .affinity = affinity, .sharedTokens = 10}, unit_(random_), now);
        ++sent;
        if (placement.server.empty())
            return;
        ++served;
        const int number = std::stoi(placement.server.value().substr(1));
        if (number >= load_.limited)
            return;
        instance.rateLimits.observe(placement.server, load_.perSecond, now);
        auto &arrivals = arrivals_[number];
        arrivals.push_back(now);
        while (now - arrivals.front() > window)
            arrivals.pop_front();
        if (now - start > learningTime + window)
            worstWindow = std::max(worstWindow, arrivals.size());
    }

    LimitedLoad load_;
    std::vector<std::unique_ptr<Instance>> instances_;
    std::map<int, std::deque<TimePoint>> arrivals_;
    std::mt19937_64 random_{3};
    std::uniform_real_distribution<double> unit_{0, 1};
};

struct LimitedLoadTest : testing::TestWithParam<LimitedLoad>
{ };

// Guards against a fleet that sends more to a server than the limit that the server named.
TEST_P(LimitedLoadTest, FleetKeepsTheLimitThatAServerNamed)
{
    const auto &load = GetParam();
    LimitedFleet fleet(load);
    fleet.run(seconds(20));
    EXPECT_LE(static_cast<double>(fleet.worstWindow), 1.5 * 4 * load.perSecond + 5);
    EXPECT_GE(fleet.served, load.served * fleet.sent);
}

INSTANTIATE_TEST_SUITE_P(Loads, LimitedLoadTest,
                         testing::Values(LimitedLoad{"small", 6, 18, 13, 3, 100, true, 0.99},
                                         LimitedLoad{"plain", 6, 4, 2, 5, 60, false, 0.99},
                                         LimitedLoad{"grown", 88, 60, 42, 3, 360, true, 0.99},
                                         LimitedLoad{"all_limited", 6, 18, 18, 3, 45, true, 0.75},
                                         LimitedLoad{"low_limit", 6, 18, 9, 0.3, 50, true, 0.99}),
                         [](const auto &testCase) { return testCase.param.name; });

// Guards against a scattered cache: requests of a limited home went to any server with a request
// left of its limit, which then read the prompt anew.
TEST(ServerRateLimitsTest, LimitedServersGetOnlyPromptsThatTheyHold)
{
    constexpr int servers = 6;
    Instance instance;
    instance.add(servers, engines);
    const ServerId free{"s5"};
    for (int i = 0; i + 1 < servers; ++i)
        instance.rateLimits.observe(ServerId("s" + std::to_string(i)), 3, start);
    for (std::uint64_t affinity = 1; affinity < 100; affinity += 2) {
        PlacementQuery query{.service = engines, .affinity = affinity, .sharedTokens = longPrefix};
        EXPECT_EQ(instance.chooser.choose(query, 0, start).server, free);
    }
    PlacementQuery held{.service = engines, .affinity = 7, .sharedTokens = longPrefix};
    held.holders = {{ServerId("s2"), start}};
    EXPECT_EQ(instance.chooser.choose(held, 0, start).server, ServerId("s2"));
    const auto second = instance.chooser.choose(held, 0, start);
    EXPECT_EQ(second.server, free);
    EXPECT_EQ(second.copySource, ServerId("s2"));
}

} // namespace

} // namespace jy::test
