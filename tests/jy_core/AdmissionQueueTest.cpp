#include "jy_core/limits/AdmissionQueue.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <algorithm>
#include <map>
#include <random>
#include <set>
#include <string>

using namespace std::chrono_literals;
using namespace jy;

namespace {

using std::chrono::milliseconds;

const TimePoint start{1h};
constexpr milliseconds work{30};
constexpr milliseconds target{150};

/** Under overload: 0.6 of the target less the time at the servers. */
constexpr milliseconds longestWait{72};

/** Requests of one kind, which arrive at random times. */
struct Class
{
    std::string workspace;
    double perSecond = 0;
    int priority = 0;
    std::size_t bytes = 1000;
    milliseconds timeout{2000};
    int arrived = 0;
    int served = 0;

    double servedFraction() const { return served / std::max(1.0, static_cast<double>(arrived)); }
};

/**
 * Plays the requests for one contended service at its only instance in steps of 1 ms, and checks
 * that each request is decided on once and in time and that the places are never exceeded.
 */
class OverloadedService
{
public:
    static constexpr milliseconds step{1};
    static constexpr milliseconds updatePeriod{250};

    /** Arrivals before are not counted: a mean time at the servers is not known yet. */
    static constexpr milliseconds warmUp{1000};

    OverloadedService(int places, std::vector<Class> classes, AdmissionQueue::Limits limits = {})
        : places_(places)
        , classes_(std::move(classes))
        , queue_(limits, [this] { return uniform_(random_); })
    { }

    const std::vector<Class> &play(Duration time)
    {
        for (auto now = start; now < start + time; now += step) {
            if ((now - start) % updatePeriod == 0ms)
                queue_.share().update({.places = places_}, now);
            queue_.share().serverFull(now);
            apply(queue_.advance(now), now);
            while (!running_.empty() && running_.begin()->first <= now) {
                const auto ended = running_.extract(running_.begin()).mapped();
                apply(queue_.finish(WorkspaceId(classes_[ended].workspace), work, now), now);
            }
            for (std::size_t i = 0; i < classes_.size() && now < start + time - longestWait; ++i) {
                std::poisson_distribution<int> count(classes_[i].perSecond / 1000);
                for (int left = count(random_); left > 0; --left)
                    arrive(i, now);
            }
        }
        return classes_;
    }

    double servedPerSecond(Duration time) const
    {
        double served = 0;
        for (const auto &one : classes_)
            served += one.served;
        return served / std::chrono::duration<double>(time - warmUp).count();
    }

    /** Refusals of requests that had been let wait. */
    int refusedLate = 0;

private:
    struct Waiting
    {
        std::size_t number = 0;
        TimePoint arrived;

        /** Longest time for which it may wait. */
        milliseconds longest;
    };

    void arrive(std::size_t number, TimePoint now)
    {
        const auto &kind = classes_[number];
        const auto ticket = next_++;
        // Until the demand is known, the service is not overloaded.
        const bool overloaded = queue_.share().overloaded(now);
        EXPECT_TRUE(overloaded || !counts(now));
        waiting_[ticket] = {number, now, overloaded ? longestWait : target};
        classes_[number].arrived += counts(now) ? 1 : 0;
        apply(queue_.enter({.ticket = ticket,
                            .workspace = WorkspaceId(kind.workspace),
                            .priority = kind.priority,
                            .expectedStart = work,
                            .latencyTarget = target,
                            .deadline = now + kind.timeout,
                            .bytes = kind.bytes},
                           now),
              now);
    }

    void apply(const std::vector<AdmissionDecision> &decisions, TimePoint now)
    {
        for (const auto &decision : decisions) {
            const auto node = waiting_.extract(decision.ticket);
            ASSERT_FALSE(node.empty()) << "decided on twice, or never asked for";
            const auto &request = node.mapped();
            EXPECT_LE(now - request.arrived, request.longest + step);
            if (decision.refusal) {
                refusedLate += now > request.arrived && counts(request.arrived) ? 1 : 0;
                EXPECT_EQ(decision.refusal->kind, ErrorKind::Overloaded);
                EXPECT_GE(decision.refusal->retryAfter, ReturnSchedule::shortest);
                EXPECT_LE(decision.refusal->retryAfter, ReturnSchedule::longest);
                continue;
            }
            classes_[request.number].served += counts(request.arrived) ? 1 : 0;
            running_.emplace(now + work, request.number);
            EXPECT_LE(static_cast<int>(running_.size()), places_);
        }
    }

    static bool counts(TimePoint arrived) { return arrived >= start + warmUp; }

    int places_;
    std::vector<Class> classes_;
    std::mt19937_64 random_{11};
    std::uniform_real_distribution<double> uniform_{0.0, 1.0};
    AdmissionQueue queue_;
    std::uint64_t next_ = 1;
    std::map<std::uint64_t, Waiting> waiting_;

    /** Ends of the requests at the servers. */
    std::multimap<TimePoint, std::size_t> running_;
};

// 12 places serve 400 requests a second.
constexpr int places = 12;
constexpr double capacity = 400;

// Guards against urgent requests that wait behind others or are refused while others are served.
TEST(AdmissionQueueTest, ServesUrgentRequestsFirstInAnOverloadByAFactorOfFour)
{
    OverloadedService service(places, {{"a", 200, 0}, {"b", 400, 1}, {"c", 1000, 2}});
    const auto &classes = service.play(6s);
    EXPECT_EQ(classes[0].served, classes[0].arrived);
    EXPECT_GE(classes[1].servedFraction(), 0.4);
    EXPECT_LE(classes[2].servedFraction(), 0.02);
    EXPECT_GE(service.servedPerSecond(6s), 0.95 * capacity);
}

// Guards against a workspace that takes the places of the others by sending more requests.
TEST(AdmissionQueueTest, AWorkspaceWithTenTimesTheRequestsLeavesTheOthersTheirShare)
{
    OverloadedService service(places, {{"large", 600}, {"a", 60}, {"b", 60}, {"c", 60}, {"d", 60}});
    const auto &classes = service.play(6s);
    for (std::size_t i = 1; i < classes.size(); ++i)
        EXPECT_GE(classes[i].servedFraction(), 0.95) << classes[i].workspace;
    EXPECT_GE(service.servedPerSecond(6s), 0.95 * capacity);
}

struct FairnessCase
{
    const char *name;
    std::vector<Class> classes;
    AdmissionQueue::Limits limits;
};

struct AdmissionFairnessTest : testing::TestWithParam<FairnessCase>
{ };

// Guards against requests of one size, session or workspace that are always passed over.
TEST_P(AdmissionFairnessTest, EachClassIsServedHalfAsOftenAsAll)
{
    OverloadedService service(places, GetParam().classes, GetParam().limits);
    const auto &classes = service.play(6s);
    double arrived = 0;
    double served = 0;
    for (const auto &one : classes) {
        arrived += one.arrived;
        served += one.served;
    }
    for (const auto &one : classes)
        EXPECT_GE(one.servedFraction(), 0.5 * served / arrived)
            << one.workspace << " " << one.bytes << " bytes: " << one.served << " of "
            << one.arrived;
}

INSTANTIATE_TEST_SUITE_P(
    Classes, AdmissionFairnessTest,
    testing::Values(
        FairnessCase{"Workspaces", {{"a", 400}, {"b", 400}, {"c", 400}, {"d", 400}}, {}},
        FairnessCase{"Sizes",
                     {{"a", 400, 0, 1000},
                      {"a", 400, 0, 64'000},
                      {"b", 400, 0, 1000},
                      {"b", 400, 0, 64'000}},
                     {.maxWaitingBytes = 500'000}},
        FairnessCase{"FullQueue", {{"a", 800}, {"b", 800}}, {.maxWaiting = 8}}),
    [](const auto &info) { return info.param.name; });

/** A queue in front of one place, in which a first request is served for 30 ms. */
class OnePlace
{
public:
    explicit OnePlace(AdmissionQueue::Limits limits = {})
        : queue(limits, [] { return 0.5; })
    {
        queue.share().serverFull(start);
        queue.share().update({.places = 1}, start);
        EXPECT_EQ(admitted(enter(100)), std::vector<std::uint64_t>{100});
        EXPECT_TRUE(queue.finish(workspace, work, start).empty());
        EXPECT_EQ(admitted(enter(101)), std::vector<std::uint64_t>{101});
    }

    std::vector<AdmissionDecision> enter(std::uint64_t ticket, Duration timeout = 2s,
                                         int priority = 0, std::size_t bytes = 0)
    {
        return queue.enter({.ticket = ticket,
                            .workspace = workspace,
                            .priority = priority,
                            .expectedStart = work,
                            .latencyTarget = target,
                            .deadline = now + timeout,
                            .bytes = bytes},
                           now);
    }

    /** Lets callers send more than 40 requests a second, where 33 can be served. */
    void overload()
    {
        for (int i = 0; i < 40; ++i)
            queue.share().requestArrived(start);
        EXPECT_TRUE(queue.share().overloaded(start));
    }

    std::vector<AdmissionDecision> finish(Duration after)
    {
        return queue.finish(workspace, work, start + after);
    }

    static std::vector<std::uint64_t> admitted(const std::vector<AdmissionDecision> &decisions)
    {
        return tickets(decisions, false);
    }
    static std::vector<std::uint64_t> refused(const std::vector<AdmissionDecision> &decisions)
    {
        return tickets(decisions, true);
    }

    TimePoint now = start;
    const WorkspaceId workspace{"w"};
    AdmissionQueue queue;

private:
    static std::vector<std::uint64_t> tickets(const std::vector<AdmissionDecision> &decisions,
                                              bool refused)
    {
        std::vector<std::uint64_t> result;
        for (const auto &decision : decisions) {
            if (decision.refusal.has_value() == refused)
                result.push_back(decision.ticket);
        }
        return result;
    }
};

using Tickets = std::vector<std::uint64_t>;

// Guards against a request that its caller sends again and that then waits behind new ones.
TEST(AdmissionQueueTest, ARetriedRequestPrecedesNewOnes)
{
    OnePlace one;
    EXPECT_TRUE(one.enter(1, 2s).empty());
    EXPECT_TRUE(one.enter(2, 1500ms).empty());
    EXPECT_EQ(one.admitted(one.finish(30ms)), Tickets{2});
    EXPECT_EQ(one.admitted(one.finish(60ms)), Tickets{1});
}

// Guards against refusals while the queue drains by itself: five requests fit into the target.
TEST(AdmissionQueueTest, WithoutOverloadRequestsWaitForTheirTarget)
{
    OnePlace one;
    for (std::uint64_t ticket = 1; ticket <= 5; ++ticket)
        EXPECT_TRUE(one.enter(ticket).empty());
    EXPECT_EQ(one.refused(one.enter(6)), Tickets{6});
}

// Guards against requests that wait although they cannot be served in time: two fit into 72 ms.
TEST(AdmissionQueueTest, RefusesOnArrivalWhatCannotBeServedInTime)
{
    OnePlace one;
    one.overload();
    EXPECT_TRUE(one.enter(1).empty());
    EXPECT_TRUE(one.enter(2).empty());
    const auto third = one.enter(3);
    ASSERT_EQ(one.refused(third), Tickets{3});
    EXPECT_EQ(third[0].refusal->message, "no-room");
    EXPECT_EQ(one.refused(one.enter(4, work + 20ms)), Tickets{4}) << "its deadline comes first";
    EXPECT_EQ(one.refused(one.enter(5, 2s, -1)), Tickets{2}) << "displaced by an urgent one";
    EXPECT_TRUE(one.queue.mayRetry(-2));
    EXPECT_FALSE(one.queue.mayRetry(-1));
    EXPECT_FALSE(one.queue.tryExtra(one.workspace, start));
    EXPECT_EQ(one.refused(one.queue.advance(start + longestWait)), (Tickets{1, 5}));
}

// Guards against a queue that holds more requests or bytes than allowed.
TEST(AdmissionQueueTest, RefusesTheLastInOrderWhenTheQueueIsFull)
{
    for (const auto &limits : {AdmissionQueue::Limits{.maxWaiting = 1},
                               AdmissionQueue::Limits{.maxWaitingBytes = 100}}) {
        OnePlace one(limits);
        EXPECT_TRUE(one.enter(1, 2s, 1, 80).empty());
        EXPECT_EQ(one.refused(one.enter(2, 2s, 2, 80)), Tickets{2});
        EXPECT_EQ(one.refused(one.enter(3, 2s, 0, 80)), Tickets{1});
    }
}

// Guards against a place that is given to a request whose caller has left.
TEST(AdmissionQueueTest, ForgetsCallersThatLeave)
{
    OnePlace one;
    EXPECT_TRUE(one.enter(1).empty());
    EXPECT_TRUE(one.enter(2).empty());
    one.queue.leave(1);
    one.queue.leave(1);
    EXPECT_EQ(one.admitted(one.finish(30ms)), Tickets{2});
    EXPECT_FALSE(one.queue.nextAt(start + 30ms));
    EXPECT_TRUE(one.finish(60ms).empty());
    EXPECT_EQ(one.queue.share().inFlight(), 0);
}

// Guards against a request that is refused although a place is free, because those that wait are
// counted before they get theirs.
TEST(AdmissionQueueTest, GivesOutFreePlacesBeforeItRefuses)
{
    OnePlace one;
    one.now = start + CapacityShare::contentionHold - 1ms;
    EXPECT_TRUE(one.enter(1).empty());
    EXPECT_TRUE(one.enter(2).empty());
    one.now += 1ms;
    EXPECT_EQ(one.admitted(one.enter(3)), (Tickets{1, 2, 3}));
}

// Guards against times beyond the range of the clock when an idle instance has next to no share.
TEST(AdmissionQueueTest, AnIdleInstanceHasALongButFiniteInterval)
{
    for (const Duration idle : {20s, 60s, 600s}) {
        OnePlace one;
        one.finish(30ms);
        const auto later = start + idle;
        one.queue.share().update({.places = 1, .inFlight = 1, .otherDemand = 100}, later);
        one.queue.share().serverFull(later);
        EXPECT_GE(one.queue.share().placeInterval(), 0s);
        EXPECT_GE(one.queue.share().nextAt(later).value_or(later), later);
        EXPECT_GE(one.queue.returnAfter(later), ReturnSchedule::shortest);
    }
}

// Guards against refused requests that return all at once, or faster than they can be served.
TEST(ReturnScheduleTest, SpreadsReturnsOverHalfTheFreePlaces)
{
    for (const double draw : {0.0, 0.5, 0.999}) {
        ReturnSchedule schedule;
        for (int i = 1; i <= 3000; ++i) {
            const auto nominal = std::clamp<Duration>(i * 20ms, 0s, ReturnSchedule::longest);
            const auto expected = std::clamp<Duration>(
                std::chrono::duration_cast<Duration>(nominal * (0.75 + 0.5 * draw)),
                ReturnSchedule::shortest, ReturnSchedule::longest);
            const Duration difference = schedule.next(10ms, draw, start) - expected;
            ASSERT_LT(std::chrono::abs(difference), 2ms) << i;
        }
    }
    ReturnSchedule unknown;
    EXPECT_EQ(unknown.next(0s, 0.5, start), 2 * ReturnSchedule::defaultInterval);
}

// Guards against a place that is lost or given twice, a request that is decided on twice or never,
// and places that stay free while requests wait.
RC_GTEST_PROP(AdmissionQueueTest, NoPlaceIsLostOrGivenTwice, ())
{
    AdmissionQueue queue(
        {.maxWaiting = *rc::gen::inRange<std::size_t>(1, 12), .maxWaitingBytes = 1000},
        [] { return 0.5; });
    std::set<std::uint64_t> waiting;
    std::vector<WorkspaceId> running;
    std::map<std::uint64_t, WorkspaceId> workspaces;
    auto now = start;
    const auto apply = [&](const std::vector<AdmissionDecision> &decisions) {
        for (const auto &decision : decisions) {
            RC_ASSERT(waiting.erase(decision.ticket) == 1U);
            if (!decision.refusal)
                running.push_back(workspaces.at(decision.ticket));
        }
        RC_ASSERT(queue.waiting() == waiting.size());
        RC_ASSERT(queue.share().inFlight() == static_cast<int>(running.size()));
        RC_ASSERT(waiting.empty() || !queue.share().available(now));
    };
    const auto finish = [&](std::size_t index) {
        const auto workspace = running[index];
        running.erase(running.begin() + static_cast<std::ptrdiff_t>(index));
        apply(queue.finish(workspace, *rc::gen::elementOf(std::vector<Duration>{0s, 5ms, 40ms}),
                           now));
    };
    const auto length = *rc::gen::inRange(1, 200);
    for (int i = 1; i <= length; ++i) {
        now += *rc::gen::elementOf(std::vector<Duration>{0s, 1us, 3ms, 50ms, 3s});
        const auto ticket = static_cast<std::uint64_t>(i);
        switch (*rc::gen::inRange(0, 9)) {
        case 0:
            queue.share().update({.places = *rc::gen::inRange(0, 8),
                                  .inFlight = *rc::gen::inRange(0, 10),
                                  .otherDemand = *rc::gen::inRange(0, 100) / 1.0},
                                 now);
            apply(queue.advance(now));
            break;
        case 1:
            queue.share().serverFull(now);
            apply(queue.advance(now));
            break;
        case 2:
            if (!waiting.empty()) {
                const auto left =
                    *rc::gen::elementOf(std::vector<std::uint64_t>(waiting.begin(), waiting.end()));
                queue.leave(left);
                waiting.erase(left);
            }
            apply(queue.advance(now));
            break;
        case 3:
            if (queue.tryExtra(WorkspaceId("0"), now))
                running.emplace_back("0");
            apply(queue.advance(now));
            break;
        case 4:
        case 5:
            if (!running.empty())
                finish(*rc::gen::inRange<std::size_t>(0, running.size()));
            break;
        default:
            workspaces[ticket] = WorkspaceId(std::to_string(*rc::gen::inRange(0, 3)));
            waiting.insert(ticket);
            apply(queue.enter({.ticket = ticket,
                               .workspace = workspaces[ticket],
                               .priority = *rc::gen::inRange(0, 3),
                               .expectedStart = milliseconds(*rc::gen::inRange(0, 50)),
                               .latencyTarget = milliseconds(*rc::gen::inRange(0, 500)),
                               .deadline = now + milliseconds(*rc::gen::inRange(-10, 1000)),
                               .bytes = *rc::gen::inRange<std::size_t>(0, 600)},
                              now));
        }
    }
    while (!running.empty())
        finish(0);
    now += 1min;
    apply(queue.advance(now));
    RC_ASSERT(waiting.empty() && !queue.nextAt(now));
}

} // namespace
