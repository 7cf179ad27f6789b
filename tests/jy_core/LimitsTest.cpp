#include "jy_core/limits/ColdStartRamp.h"
#include "jy_core/limits/ConcurrencyLimit.h"
#include "jy_core/limits/FairShare.h"
#include "jy_core/limits/RequestQueue.h"
#include "jy_core/limits/RetryBudget.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <numeric>

using namespace std::chrono_literals;
using namespace jy;

namespace {

const TimePoint start{1h};

RequestSample sample(Duration firstToken, bool ok = true, bool cacheHit = false)
{
    return {.ok = ok, .firstToken = firstToken, .total = 1s, .cacheHit = cacheHit};
}

struct LimitCase
{
    const char *name;
    Duration firstToken;
    bool ok;
    int inFlight;
    double lowest;
    double highest;
};

class LimitsConcurrency : public testing::TestWithParam<LimitCase>
{ };

// Guards against a limit that ignores congestion or errors, grows while the server is idle, or
// leaves its range.
TEST_P(LimitsConcurrency, AdaptsToLatencyAndErrors)
{
    ConcurrencyLimit limit({.initial = 8, .maximum = 16});
    for (int i = 0; i < 50; ++i)
        limit.onSample(sample(100ms), 0, start);
    const auto &param = GetParam();
    for (int i = 0; i < 200; ++i)
        limit.onSample(sample(param.firstToken, param.ok), param.inFlight, start + i * 100ms);
    EXPECT_GE(limit.limit(), param.lowest);
    EXPECT_LE(limit.limit(), param.highest);
}

INSTANTIATE_TEST_SUITE_P(Cases, LimitsConcurrency,
                         testing::Values(LimitCase{"Busy", 100ms, true, 8, 16, 16},
                                         LimitCase{"Idle", 100ms, true, 1, 8, 8},
                                         LimitCase{"WithinTolerance", 140ms, true, 1, 8, 8},
                                         LimitCase{"Congested", 400ms, true, 8, 1, 2},
                                         LimitCase{"Failing", 0ms, false, 8, 1, 1.1}),
                         [](const auto &info) { return info.param.name; });

// Guards against a ramp that grows with the requests that arrive instead of those that succeed.
RC_GTEST_PROP(LimitsColdStart, LimitDoublesOnlyAfterThatManySuccesses, ())
{
    ColdStartRamp ramp({});
    ramp.onStartIdentity("s1", start);
    TimePoint now = start;
    int successes = 0;
    int limit = ramp.limit();
    for (int i = 0; i < 100; ++i) {
        now += std::chrono::milliseconds(*rc::gen::inRange(0, 3000));
        const bool ok = *rc::gen::inRange(0, 10) > 0;
        ramp.onSample(sample(100ms, ok), now);
        successes = ok ? successes + 1 : 0;
        RC_ASSERT((ramp.limit() == limit || (ramp.limit() == 2 * limit && successes >= limit)));
        if (ramp.limit() != limit)
            successes = 0;
        limit = ramp.limit();
    }
}

// Guards against a server that keeps its limit after a restart or the loss of its cache.
TEST(LimitsColdStart, DetectsARestartAndALostCache)
{
    ColdStartRamp ramp({});
    ramp.onStartIdentity("s1", start);
    for (int i = 0; i < 64; ++i)
        ramp.onSample(sample(100ms, true, true), start);
    ramp.endIfReached(16);
    ASSERT_FALSE(ramp.cold());
    for (int i = 0; i < 5; ++i)
        ramp.onSample(sample(900ms), start);
    EXPECT_FALSE(ramp.cold());
    ramp.onSample(sample(900ms), start);
    EXPECT_TRUE(ramp.cold());
    ramp.restore(false, "s1", start);
    ramp.onStartIdentity("s2", start);
    EXPECT_TRUE(ramp.cold());
    EXPECT_EQ(ramp.limit(), 1);
}

// Guards against an allocation that exceeds the capacity, leaves some unused or is unfair.
RC_GTEST_PROP(LimitsFairShare, IsMaxMinFair, ())
{
    std::vector<ShareDemand> demands;
    const int count = *rc::gen::inRange(1, 10);
    demands.reserve(count);
    for (int i = 0; i < count; ++i) {
        demands.push_back({.demand = static_cast<double>(*rc::gen::inRange(0, 50)),
                           .weight = static_cast<double>(*rc::gen::inRange(1, 5))});
    }
    const double capacity = *rc::gen::inRange(0, 100);
    const auto shares = maxMinShares(demands, capacity);
    double total = 0;
    double demanded = 0;
    for (std::size_t i = 0; i < demands.size(); ++i) {
        RC_ASSERT((shares[i] <= demands[i].demand));
        total += shares[i];
        demanded += demands[i].demand;
        const bool satisfied = shares[i] > demands[i].demand - 1e-9;
        for (std::size_t j = 0; j < demands.size() && !satisfied; ++j)
            RC_ASSERT((shares[j] / demands[j].weight <= shares[i] / demands[i].weight + 1e-9));
    }
    RC_ASSERT((std::abs(total - std::min(capacity, demanded)) < 1e-6));
}

QueueEntry entry(std::uint64_t ticket, const std::string &workspace,
                 Priority priority = Priority::Normal, Duration wait = 1s)
{
    return {.ticket = ticket,
            .workspace = WorkspaceId(workspace),
            .urgency = static_cast<int>(priority),
            .deadline = start + wait};
}

using Tickets = std::vector<std::uint64_t>;

Tickets evicted(const Result<std::vector<QueueEntry>> &pushed)
{
    Tickets tickets;
    for (const auto &one : pushed.value())
        tickets.push_back(one.ticket);
    return tickets;
}

// Guards against a workspace with many requests that fills the queue, so that others are refused.
TEST(LimitsQueue, ServesPriorityThenTheLeastUsedWorkspaceAndEvictsTheMostUsed)
{
    FairShare inFlight;
    for (int i = 0; i < 4; ++i)
        inFlight.start(WorkspaceId("large"));
    RequestQueue queue(4);
    for (std::uint64_t i = 1; i <= 4; ++i)
        EXPECT_TRUE(queue.push(entry(i, "large"), inFlight, 0s, start).value().empty());
    EXPECT_EQ(queue.push(entry(5, "large"), inFlight, 0s, start).error().kind,
              ErrorKind::Overloaded);
    EXPECT_EQ(evicted(queue.push(entry(6, "small"), inFlight, 0s, start)), Tickets{4});
    EXPECT_EQ(evicted(queue.push(entry(7, "large", Priority::High), inFlight, 0s, start)),
              Tickets{3});
    Tickets order;
    while (const auto next = queue.pop(inFlight)) {
        inFlight.start(next->workspace);
        order.push_back(next->ticket);
    }
    EXPECT_EQ(order, (Tickets{7, 6, 1, 2}));
}

// Guards against a request that waits until its deadline although it cannot be served by then.
TEST(LimitsQueue, RefusesRequestsThatCannotMeetTheirDeadline)
{
    FairShare inFlight;
    RequestQueue queue(10);
    EXPECT_TRUE(queue.push(entry(1, "a"), inFlight, 400ms, start));
    EXPECT_TRUE(queue.push(entry(2, "a"), inFlight, 400ms, start));
    const auto refused = queue.push(entry(3, "a"), inFlight, 400ms, start);
    EXPECT_EQ(refused.error().kind, ErrorKind::DeadlineTooShort);
    EXPECT_EQ(refused.error().retryAfter, 1200ms);
    EXPECT_TRUE(queue.push(entry(4, "a", Priority::High), inFlight, 400ms, start));
    EXPECT_TRUE(queue.cancel(1));
    EXPECT_FALSE(queue.cancel(1));
    EXPECT_EQ(queue.expire(start + 1s).size(), 2U);
    EXPECT_TRUE(queue.empty());
}

// Guards against a retry storm: retries must not exceed the share plus the minimum in any window.
RC_GTEST_PROP(LimitsRetryBudget, RetriesStayWithinTheShareInEveryWindow, ())
{
    RetryBudget budget({});
    std::vector<std::pair<TimePoint, bool>> events;
    TimePoint now = start;
    for (int i = 0; i < 300; ++i) {
        now += std::chrono::milliseconds(*rc::gen::inRange(0, 200));
        if (*rc::gen::inRange(0, 3) > 0) {
            budget.recordAttempt(now);
            events.emplace_back(now, false);
        } else if (budget.tryRetry(now)) {
            events.emplace_back(now, true);
            int attempts = 0;
            int retries = 0;
            for (const auto &[time, retry] : events) {
                // The window consists of whole seconds, so it covers at least the last 9 s.
                attempts += time > now - 10s && !retry ? 1 : 0;
                retries += time > now - 9s && retry ? 1 : 0;
            }
            RC_ASSERT((retries <= 0.1 * attempts + 1));
        }
    }
}

} // namespace
