#include "jy_core/limits/CapacityShare.h"

#include <gtest/gtest.h>

#include <algorithm>
#include <deque>
#include <memory>
#include <random>
#include <utility>
#include <vector>

using namespace std::chrono_literals;
using namespace jy;

namespace {

const TimePoint start{1h};

/**
 * Plays instances that share one ordinary service in steps of 1 ms. Servers work on as many
 * requests as they have slots, and the rest waits; what instances know of each other is as old as
 * given.
 */
class SharedService
{
public:
    static constexpr std::chrono::milliseconds step{1};
    static constexpr std::chrono::milliseconds work{30};
    static constexpr std::chrono::milliseconds reportPeriod{100};
    static constexpr int placesPerSlot = 2;

    SharedService(int instances, int slots, std::chrono::milliseconds reportAge)
        : slots_(slots)
        , reportAge_(reportAge)
        , random_(7)
    {
        for (int i = 0; i < instances; ++i)
            members_.push_back(std::make_unique<Member>(i / static_cast<double>(instances)));
    }

    /** Sets the requests per second of one instance. */
    void setRate(int instance, double perSecond) { member(instance).rate = perSecond; }

    void play(Duration time)
    {
        for (const auto end = now_ + time; now_ < end;)
            advance();
    }

    /** Lets every instance see that the service has too little room. */
    void contend()
    {
        for (const auto &one : members_)
            one->share.serverFull(now_);
    }

    void setDead(int instance) { member(instance).dead = true; }

    /** From now on the instance neither sends nor receives reports. */
    void cutOff(int instance) { member(instance).cut = true; }

    int inFlight() const { return static_cast<int>(running_.size()); }
    int largest() const { return largest_; }
    void resetLargest() { largest_ = 0; }
    int served(int instance) { return std::exchange(member(instance).served, 0); }
    double share(int instance) { return member(instance).share.share(); }
    double places() const { return slots_ * placesPerSlot; }

private:
    struct Member
    {
        explicit Member(double phase)
            : share(phase)
        { }

        CapacityShare share;
        double rate = 0;
        bool dead = false;
        bool cut = false;
        int served = 0;
        double otherDemand = 0;
    };

    struct Running
    {
        int instance = 0;
        TimePoint begin;
        Duration left;
    };

    Member &member(int instance) { return *members_.at(static_cast<std::size_t>(instance)); }

    void advance()
    {
        now_ += step;
        std::uniform_real_distribution<double> draw(0, 1);
        for (int i = 0; std::cmp_less(i, members_.size()); ++i) {
            auto &one = member(i);
            const double expected = one.dead ? 0 : one.rate * 0.001;
            if (draw(random_) >= expected)
                continue;
            one.share.requestArrived(now_);
            if (!one.share.available(now_))
                continue;
            one.share.requestStarted(now_);
            running_.push_back({i, now_, work});
        }
        largest_ = std::max(largest_, inFlight());
        // Only the first requests are worked on.
        for (std::size_t i = 0; i < std::min<std::size_t>(running_.size(), slots_); ++i)
            running_[i].left -= step;
        std::erase_if(running_, [&](const Running &request) {
            if (request.left > Duration::zero())
                return false;
            member(request.instance).share.requestFinished(now_ - request.begin, now_);
            ++member(request.instance).served;
            return true;
        });
        if ((now_ - start) % reportPeriod == Duration::zero())
            report();
    }

    void report()
    {
        std::vector<double> demands;
        double sum = 0;
        for (const auto &one : members_) {
            demands.push_back(one->dead || one->cut ? 0 : one->share.demand(now_));
            sum += demands.back();
        }
        history_.push_back({demands, sum, inFlight()});
        const auto age = static_cast<std::size_t>(reportAge_ / reportPeriod);
        while (history_.size() > age + 1)
            history_.pop_front();
        const auto &known = history_.front();
        for (std::size_t i = 0; i < members_.size(); ++i) {
            auto &one = *members_[i];
            if (!one.cut)
                one.otherDemand = known.sum - known.demands[i];
            one.share.update({.places = slots_ * placesPerSlot,
                              .inFlight = known.inFlight,
                              .otherDemand = one.otherDemand},
                             now_);
        }
    }

    struct Snapshot
    {
        std::vector<double> demands;
        double sum = 0;
        int inFlight = 0;
    };

    int slots_;
    std::chrono::milliseconds reportAge_;
    std::mt19937_64 random_;
    TimePoint now_ = start;
    std::vector<std::unique_ptr<Member>> members_;
    std::vector<Running> running_;
    std::deque<Snapshot> history_;
    int largest_ = 0;
};

struct FleetCase
{
    const char *name;
    int instances;
    int slots;
    std::chrono::milliseconds reportAge;
};

class CapacityShareFleet : public testing::TestWithParam<FleetCase>
{ };

// Load: callers send four times what the servers can take, most of it to a few instances. Guards
// against instances that together send more than the servers can hold, five requests per slot, or
// that leave the servers idle.
TEST_P(CapacityShareFleet, TogetherStayWithinWhatServersHold)
{
    const auto &param = GetParam();
    SharedService service(param.instances, param.slots, param.reportAge);
    const double capacity = param.slots / 0.030;
    double weights = 0;
    for (int i = 0; i < param.instances; ++i)
        weights += 1 + i % 10;
    for (int i = 0; i < param.instances; ++i)
        service.setRate(i, 4 * capacity * (1 + i % 10) / weights);
    service.play(param.reportAge);
    service.contend();
    // Requests that were sent before the service was contended.
    service.play(3s);
    service.resetLargest();
    for (int i = 0; i < param.instances; ++i)
        service.served(i);
    service.play(4s);
    EXPECT_LE(service.largest(), 5 * param.slots);
    int served = 0;
    for (int i = 0; i < param.instances; ++i)
        served += service.served(i);
    EXPECT_GE(served, 0.85 * capacity * 4);
}

INSTANTIATE_TEST_SUITE_P(Sizes, CapacityShareFleet,
                         testing::Values(FleetCase{"Alone", 1, 6, 0ms},
                                         FleetCase{"Three", 3, 6, 100ms},
                                         FleetCase{"Seventeen", 17, 18, 200ms},
                                         FleetCase{"SixtyWithEighteenSlots", 60, 18, 400ms},
                                         FleetCase{"Large", 300, 120, 1000ms},
                                         FleetCase{"LargeWithOldReports", 300, 120, 3500ms},
                                         FleetCase{"LargeWithFewSlots", 300, 18, 3500ms}),
                         [](const auto &info) { return info.param.name; });

// Guards against shares that do not follow the demand: an instance whose callers send twice as much
// gets more within two seconds.
TEST(CapacityShareTest, FollowsTheDemand)
{
    SharedService service(10, 30, 400ms);
    for (int i = 0; i < 10; ++i)
        service.setRate(i, 400);
    service.contend();
    service.play(4s);
    const double before = service.share(0);
    service.setRate(0, 800);
    service.play(2s);
    EXPECT_GE(service.share(0), 1.4 * before);
}

// Guards against an instance that takes more when it hears from nobody, and against places of a
// dead instance that stay unused.
TEST(CapacityShareTest, CutOffInstanceKeepsItsShareAndOthersTakeOverADeadOne)
{
    SharedService service(4, 24, 200ms);
    for (int i = 0; i < 4; ++i)
        service.setRate(i, 800);
    service.contend();
    service.play(4s);
    service.cutOff(0);
    service.play(4s);
    EXPECT_LE(service.share(0), 1.15 * service.places() / 4);
    service.setDead(1);
    service.play(2500ms);
    EXPECT_GE(service.share(2), 0.9 * service.places() / 2);
}

// Guards against a limit on calm services, and one without servers, where the placement decides.
TEST(CapacityShareTest, LimitsOnlyAContendedService)
{
    CapacityShare share;
    share.update({.places = 2, .inFlight = 1, .otherDemand = 100}, start);
    for (int i = 0; i < 5; ++i) {
        EXPECT_TRUE(share.available(start));
        share.requestStarted(start);
    }
    EXPECT_FALSE(share.contended(start));
    share.requestFinished(30ms, start);
    share.update({.places = 2, .inFlight = 2, .otherDemand = 100}, start);
    EXPECT_TRUE(share.contended(start));
    EXPECT_FALSE(share.available(start));
    EXPECT_TRUE(share.available(start + CapacityShare::contentionHold));
    share.update({.places = 0, .inFlight = 0, .otherDemand = 100}, start);
    EXPECT_TRUE(share.available(start));
}

// Guards against a waiting request that is not told when the paced fraction of a place allows it.
TEST(CapacityShareTest, NamesTheNextStartOfAFractionOfAPlace)
{
    CapacityShare share;
    share.requestArrived(start);
    share.requestStarted(start);
    share.requestFinished(100ms, start);
    share.update({.places = 10, .inFlight = 10, .otherDemand = 19}, start);
    ASSERT_NEAR(share.share(), 0.5, 0.01);
    EXPECT_FALSE(share.available(start));
    const auto next = share.nextAt(start);
    ASSERT_TRUE(next);
    EXPECT_NEAR(std::chrono::duration<double>(*next - start).count(), 0.2, 0.01);
    EXPECT_TRUE(share.available(*next + 1ms));
    share.requestStarted(*next + 1ms);
    EXPECT_FALSE(share.available(*next + 2ms));
    EXPECT_FALSE(share.nextAt(*next + 2ms));
}

} // namespace
