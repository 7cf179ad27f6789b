#include "InstanceFixture.h"

#include <gtest/gtest.h>

#include <algorithm>
#include <deque>
#include <functional>
#include <map>
#include <random>
#include <set>

namespace jy::test {

namespace {

const TimePoint later = start + seconds(60);

// An instance whose engines are contended, with one prefix and its home.
struct ContendedFixture
{
    ContendedFixture()
    {
        instance.add(9, engines);
        home = instance.choose(engines, 7).server;
        for (const auto &[id, state] : instance.fleet.servers())
            requests[id] = {5, 0};
        instance.chooser.setContended([](const ServiceId &, TimePoint) { return true; });
    }

    Placement choose(TimePoint now, std::vector<PromptCacheLocation> holders = {},
                     std::int64_t tokens = longPrefix, std::uint64_t affinity = 7)
    {
        instance.loads.setPeerRequests(InstanceId("other"), requests, later);
        return instance.chooser.choose({.service = engines,
                                        .affinity = affinity,
                                        .sharedTokens = tokens,
                                        .holders = std::move(holders)},
                                       0, now);
    }

    // Makes the mean prefill time that of a prompt of this length.
    void sendPrompts(std::int64_t tokens)
    {
        for (std::uint64_t other = 100; other < 200; ++other)
            choose(later - seconds(30), {}, tokens, other << 32);
    }

    Instance instance;
    ServerId home;
    RequestCountsByServer requests;
};

struct StayCase
{
    const char *name;
    std::function<void(ContendedFixture &)> prepare;
    std::int64_t tokens;
    bool stays;
};

struct ContendedPromptTest : testing::TestWithParam<StayCase>
{ };

// Prompts left a home that had them cached when four requests waited there, whatever these and the
// prefill elsewhere took, so a contended service processed half of its prompt tokens again.
TEST_P(ContendedPromptTest, StaysAtHomeWhileTheWaitCostsLess)
{
    ContendedFixture fixture;
    GetParam().prepare(fixture);
    const auto chosen = fixture.choose(later, {{fixture.home, later}}, GetParam().tokens);
    EXPECT_EQ(chosen.server == fixture.home, GetParam().stays) << chosen.expected.count();
}

void waitAtHome(ContendedFixture &fixture, int waiting, std::int64_t meanTokens)
{
    fixture.sendPrompts(meanTokens);
    fixture.requests[fixture.home].waiting = waiting;
}

INSTANTIATE_TEST_SUITE_P(
    Prompts, ContendedPromptTest,
    testing::Values(StayCase{"LongPromptBehindShortOnes", [](auto &f) { waitAtHome(f, 5, 100); },
                             longPrefix, true},
                    StayCase{"ShortPromptBehindLongOnes",
                             [](auto &f) { waitAtHome(f, 2, longPrefix); }, 200, false},
                    StayCase{"PromptBehindEqualOnes", [](auto &f) { waitAtHome(f, 3, longPrefix); },
                             longPrefix, false},
                    StayCase{"SlowHome",
                             [](auto &f) {
                                 waitAtHome(f, 3, 1000);
                                 f.instance.reports.observe(f.home, {5, 0, 6, 400}, later);
                             },
                             longPrefix, false},
                    StayCase{"HomeThatClaimsToBeSlowButIsIdle",
                             [](auto &f) {
                                 f.instance.reports.observe(f.home, {0, 0, 6, 400}, later);
                             },
                             longPrefix, true},
                    StayCase{
                        "HomeThatReportsAQueue",
                        [](auto &f) {
                            waitAtHome(f, 0, longPrefix);
                            f.instance.reports.observe(f.home, {6, 1'000'000'000, 6, {}}, later);
                        },
                        longPrefix, false},
                    StayCase{"HomeAboveTheLoadBoundThatClaimsToBeIdle",
                             [](auto &f) {
                                 f.requests[f.home] = {16, 0};
                                 f.instance.reports.observe(f.home, {0, 0, 6, 1}, later);
                             },
                             longPrefix, false}),
    [](const auto &info) { return std::string(info.param.name); });

// 21,425 prefixes were copied between contended engines, many of which were used only once.
TEST(ContendedCopyTest, OnlySharedPrefixesAreCopiedAndFewAtATimeFromOneServer)
{
    ContendedFixture fixture;
    const auto source = fixture.home;
    fixture.requests[source] = {16, 0};
    const auto first = fixture.choose(later, {{source, later}});
    EXPECT_TRUE(first.copySource.empty() && first.copyAvoided);
    const auto chooseShared = [&](std::uint64_t affinity, std::int64_t tokens) {
        return fixture.choose(later, {{source, later}, {ServerId("gone"), later}}, tokens,
                              affinity);
    };
    int copies = 0;
    for (std::uint64_t affinity = 1000; affinity < 1010; ++affinity)
        copies += chooseShared(affinity, longPrefix).copySource == source ? 1 : 0;
    EXPECT_EQ(copies, 2);
    // At this length the setup of a copy takes longer than prefill.
    EXPECT_TRUE(chooseShared(2000, 260).copySource.empty());
}

// All instances have the same reports, and would all choose the fastest server.
TEST(ServerPacePlacementTest, SlowServersGetFewerPlainRequests)
{
    Instance instance;
    instance.add(3, desk);
    std::map<ServerId, int> chosen;
    const auto chooseMany = [&] {
        chosen.clear();
        for (int i = 0; i < 100; ++i)
            ++chosen[instance.choose(desk, 0, i / 100.0).server];
    };
    instance.reports.observe(ServerId("s0"), {0, 0, 6, 400}, start);
    for (const char *id : {"s1", "s2"})
        instance.reports.observe(ServerId(id), {0, 0, 6, 100}, start);
    chooseMany();
    EXPECT_LE(chosen[ServerId("s0")], 15);
    EXPECT_GE(chosen[ServerId("s0")], 5);
    instance.loads.requestStarted(ServerId("s1"));
    instance.loads.requestStarted(ServerId("s2"));
    chooseMany();
    EXPECT_EQ(chosen[ServerId("s0")], 0) << "a usual server with one request is faster";
    for (const char *id : {"s1", "s2"})
        instance.reports.observe(ServerId(id), {0, 0, 6, 400}, start);
    chooseMany();
    EXPECT_EQ(chosen[ServerId("s0")], 100) << "if all are slow, only the ratio matters";
}

// Simulates engines that prefill one prompt after the other, without a network.
class EngineSimulation
{
public:
    explicit EngineSimulation(bool contended)
    {
        for (int i = 0; i < servers; ++i) {
            auto engine = server("s" + std::to_string(i), engines);
            engine.slots = slots;
            instance_.fleet.apply(ServerWritten{engine}, start);
        }
        instance_.chooser.setContended([=](const ServiceId &, TimePoint) { return contended; });
    }

    void run()
    {
        std::mt19937_64 random(1);
        for (int ms = 0; ms < 6000; ms += step) {
            now_ = later + milliseconds(ms);
            for (int i = 0; i < requestsPerStep; ++i)
                send(random);
            for (auto &[id, engine] : engines_)
                process(id, engine);
            for (; !running_.empty() && running_.front().first <= now_; running_.pop_front()) {
                instance_.loads.requestFinished(running_.front().second, true);
                --engines_[running_.front().second].running;
                --inFlight_;
            }
        }
    }

    std::int64_t processedAgain = 0;
    std::int64_t copied = 0;
    int aboveBound = 0;
    int refused = 0;

private:
    static constexpr int servers = 140;
    static constexpr int slots = 32;
    static constexpr int step = 5;
    static constexpr int requestsPerStep = 24;
    static constexpr std::size_t cachedPrefixes = 12;
    static constexpr std::int64_t ownTokens = 400;

    struct Queued
    {
        std::uint64_t prefix = 0;
        std::int64_t tokens = 0;
        bool copy = false;
        double left = -1;
        TimePoint sent;
    };

    struct Engine
    {
        std::deque<Queued> queue;
        int running = 0;
        std::deque<std::uint64_t> cache;
    };

    void send(std::mt19937_64 &random)
    {
        // A few prefixes get most of the requests.
        const double draw = std::uniform_real_distribution<double>()(random);
        const auto number = static_cast<std::uint64_t>(600 * draw * draw * draw);
        const std::int64_t tokens = 1000 + static_cast<std::int64_t>(number * 37 % 5000);
        const auto prefix = (number + 1) * 0x9e3779b97f4a7c15;
        // Admission keeps the requests in flight at the places of the service.
        if (inFlight_ >= servers * slots) {
            ++refused;
            return;
        }
        const double total = ++inFlight_;
        const auto placement = instance_.chooser.choose({.service = engines,
                                                         .affinity = prefix,
                                                         .sharedTokens = tokens,
                                                         .ownTokens = ownTokens,
                                                         .holders = prompts_.find(prefix, now_)},
                                                        draw, now_);
        aboveBound += placement.load + 1
                > total / servers * ServerChooser::spillFactor + ServerChooser::spillSlack
            ? 1
            : 0;
        ASSERT_FALSE(placement.server.empty());
        instance_.loads.requestStarted(placement.server);
        engines_[placement.server].queue.push_back(
            {prefix, tokens, !placement.copySource.empty(), -1, now_});
    }

    void process(const ServerId &id, Engine &engine)
    {
        for (double time = step; time > 0 && !engine.queue.empty() && engine.running < slots;) {
            auto &next = engine.queue.front();
            if (next.left < 0)
                next.left = begin(engine, next);
            const double used = std::min(time, next.left);
            time -= used;
            next.left -= used;
            if (next.left > 0)
                continue;
            instance_.loads.responseStarted(id);
            prompts_.addFromResponse(next.prefix, next.tokens, id, now_);
            instance_.reports.responseStarted(engines, id, now_ - next.sent, now_);
            instance_.reports.requestEnded(engines, seconds(1));
            ++engine.running;
            running_.emplace_back(now_ + seconds(1), id);
            engine.queue.pop_front();
        }
    }

    // Returns the time until the first event, in milliseconds.
    double begin(Engine &engine, const Queued &request)
    {
        const auto own = prefillTime(ownTokens).count();
        if (std::ranges::find(engine.cache, request.prefix) != engine.cache.end())
            return own;
        engine.cache.push_back(request.prefix);
        if (engine.cache.size() > cachedPrefixes)
            engine.cache.pop_front();
        const bool again = !seen_.insert(request.prefix).second;
        if (request.copy) {
            copied += request.tokens;
            return own + copyTime(request.tokens, policy_).count();
        }
        processedAgain += again ? request.tokens : 0;
        return own + prefillTime(request.tokens).count();
    }

    const ServicePolicy policy_ = *twoServices()->findService(engines);
    Instance instance_;
    PromptCacheIndex prompts_;
    std::map<ServerId, Engine> engines_;
    std::deque<std::pair<TimePoint, ServerId>> running_;
    std::set<std::uint64_t> seen_;
    int inFlight_ = 0;
    TimePoint now_;
};

// Placement away from the server that has a prefix cached adds work while there is too much of it.
TEST(ContendedPlacementLoadTest, FewerTokensAreProcessedAgainAndNoServerExceedsTheBound)
{
    EngineSimulation previous(false);
    previous.run();
    EngineSimulation contended(true);
    contended.run();
    EXPECT_LT(contended.processedAgain, previous.processedAgain);
    EXPECT_LT(contended.copied, previous.copied);
    EXPECT_LT(contended.refused, previous.refused);
    EXPECT_EQ(contended.aboveBound, 0);
}

} // namespace

} // namespace jy::test
