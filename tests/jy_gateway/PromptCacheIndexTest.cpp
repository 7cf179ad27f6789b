#include "InstanceFixture.h"

#include "jy_gateway/peers/HeartbeatCodec.h"
#include "jy_gateway/placement/PromptCacheIndex.h"

#include <gtest/gtest.h>

#include <algorithm>
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <random>
#include <set>
#include <string>

namespace jy::test {

namespace {

constexpr std::uint64_t prefix = 7ULL << 32;
const ServerId one("one");
const ServerId two("two");
const CachedPrompt pairAtOne{PromptCacheIndex::keyOf(prefix), one};

struct ReportCase
{
    std::string name;
    std::function<void(PromptCacheIndex &)> before;
    std::vector<CachedPrompt> reported;
};

struct PromptReportTest : testing::TestWithParam<ReportCase>
{ };

// A server responds after the events of the case.
TEST_P(PromptReportTest, PairsAreReportedOnceWithinTheRepeatInterval)
{
    PromptCacheIndex prompts;
    GetParam().before(prompts);
    prompts.addFromResponse(prefix, longPrefix, one, start);
    EXPECT_EQ(prompts.takeUpdates(10), GetParam().reported);
    EXPECT_TRUE(prompts.takeUpdates(10).empty());
}

INSTANTIATE_TEST_SUITE_P(
    Cases, PromptReportTest,
    testing::Values(ReportCase{"New", [](PromptCacheIndex &) {}, {pairAtOne}},
                    ReportCase{"ReportedByThisInstance",
                               [](PromptCacheIndex &prompts) {
                                   prompts.addFromResponse(prefix, longPrefix, one,
                                                           start - seconds(1));
                                   prompts.takeUpdates(10);
                               },
                               {}},
                    ReportCase{"ReportedByAnother",
                               [](PromptCacheIndex &prompts) {
                                   prompts.addFromPeer(pairAtOne, start - seconds(1));
                               },
                               {}},
                    ReportCase{"ReportedLongAgo",
                               [](PromptCacheIndex &prompts) {
                                   prompts.addFromPeer(pairAtOne,
                                                       start - PromptCacheIndex::repeatInterval
                                                           - seconds(1));
                               },
                               {pairAtOne}},
                    ReportCase{"AnotherServer",
                               [](PromptCacheIndex &prompts) {
                                   prompts.addFromPeer({pairAtOne.prompt, two}, start - seconds(1));
                               },
                               {pairAtOne}}),
    [](const auto &row) { return row.param.name; });

TEST(PromptCacheIndexTest, LongPrefixesAreReportedFirst)
{
    PromptCacheIndex prompts;
    for (std::uint64_t i = 1; i <= 200; ++i)
        prompts.addFromResponse(i << 32, static_cast<std::int64_t>(i), one, start);
    const auto first = prompts.takeUpdates(2);
    ASSERT_EQ(first.size(), 2U);
    EXPECT_EQ(first.front().prompt, 200U);
    EXPECT_EQ(first.back().prompt, 199U);
    EXPECT_EQ(prompts.takeUpdates(1000).size(), PromptCacheIndex::maxUpdates - 2);
}

TEST(PromptCacheIndexTest, NewPairsAreReportedBeforeRepeatedOnes)
{
    PromptCacheIndex prompts;
    prompts.addFromPeer(pairAtOne, start);
    const auto later = start + PromptCacheIndex::repeatInterval + seconds(1);
    prompts.addFromResponse(prefix, longPrefix, one, later);
    prompts.addFromResponse(std::uint64_t{8} << 32, 1, one, later);
    EXPECT_EQ(prompts.takeUpdates(10), (std::vector<CachedPrompt>{{8, one}, pairAtOne}));
}

TEST(PromptCacheIndexTest, UnusedPairsExpireAndTheSizeIsBounded)
{
    PromptCacheIndex prompts;
    for (std::uint64_t i = 0; i < 2 * PromptCacheIndex::maxPrompts; ++i)
        prompts.addFromResponse(i << 32, 1, one, start);
    EXPECT_EQ(prompts.size(), PromptCacheIndex::maxPrompts);
    EXPECT_EQ(prompts.find(prefix, start + PromptCacheIndex::lifetime).size(), 1U);
    const auto later = start + PromptCacheIndex::lifetime + seconds(1);
    EXPECT_TRUE(prompts.find(prefix, later).empty());
    prompts.addFromResponse(99'999ULL << 32, 1, one, later);
    EXPECT_EQ(prompts.size(), 1U);
    for (int i = 0; i < 50; ++i)
        prompts.addFromPeer({pairAtOne.prompt, ServerId(std::to_string(i))},
                            later + milliseconds(i));
    const auto holders = prompts.find(prefix, later + seconds(1));
    EXPECT_EQ(holders.size(), PromptCacheIndex::maxServersPerPrompt);
    EXPECT_TRUE(
        std::ranges::any_of(holders, [](const auto &h) { return h.server.value() == "49"; }));
}

TEST(PromptCacheIndexTest, GroupUpdatesContainPairsOfTheOwnGroupOnly)
{
    PromptCacheIndex prompts;
    prompts.addFromResponse(prefix, longPrefix, one, start);
    prompts.addFromPeer({8, one}, start);
    prompts.addFromGroup({9, one}, start);
    EXPECT_EQ(prompts.find(std::uint64_t{9} << 32, start).size(), 1U);
    EXPECT_EQ(prompts.takeGroupUpdates(10), (std::vector<CachedPrompt>{{8, one}, pairAtOne}));
    EXPECT_TRUE(prompts.takeGroupUpdates(10).empty());
}

TEST(PromptCacheIndexTest, HeartbeatsCarryPairsOfKnownServers)
{
    Heartbeat heartbeat{.brief = true, .instance = {.id = InstanceId("b")}};
    heartbeat.cached = {pairAtOne, {9, two}};
    const InstanceId sender("b");
    const auto received = decodeHeartbeat(
        encodeHeartbeat(heartbeat),
        [](std::uint32_t hash) { return hash == serverHash(one) ? &one : nullptr; },
        [&](std::uint32_t) { return &sender; });
    ASSERT_TRUE(received);
    EXPECT_EQ(received.value().cached, std::vector{pairAtOne});
}

/** Instances that share servers and report cached prompts to each other in heartbeats or not. */
class PromptFleet
{
public:
    PromptFleet(int instances, int servers)
    {
        for (int i = 0; i < instances; ++i)
            instances_.push_back(std::make_unique<Member>("i" + std::to_string(i)));
        for (int i = 0; i < servers; ++i)
            add();
    }

    /** Replaces the oldest server by a new one with an empty cache. */
    void replaceServer()
    {
        const ServerRemoved removed{ServerId("s" + std::to_string(oldest_++))};
        for (auto &member : instances_)
            member->instance.fleet.apply(removed, now_);
        add();
    }

    void request(std::mt19937_64 &random, int prefixes)
    {
        auto &member = *instances_[random() % instances_.size()];
        const std::uint64_t affinity = (1 + random() % static_cast<std::uint64_t>(prefixes)) << 32;
        const auto placement =
            member.instance.chooser.choose({.service = engines,
                                            .affinity = affinity,
                                            .sharedTokens = longPrefix,
                                            .holders = member.prompts.find(affinity, now_)},
                                           0, now_);
        auto &holders = holders_[affinity];
        const bool found = holders.contains(placement.server);
        const bool copied = holders.contains(placement.copySource);
        processedAgain_ += !holders.empty() && !found && !copied ? 1 : 0;
        holders.insert(placement.server);
        member.prompts.addFromResponse(affinity, longPrefix, placement.server, now_);
        for (auto &other : instances_)
            other->instance.loads.requestStarted(placement.server);
        running_.push_back(placement.server);
        if (running_.size() > servers_ * 4) {
            for (auto &other : instances_)
                other->instance.loads.requestFinished(running_.front(), false);
            running_.pop_front();
        }
    }

    /** Advances the time. With @p reporting, every instance sends a heartbeat. */
    void advance(milliseconds time, bool reporting)
    {
        now_ += time;
        for (auto &member : instances_) {
            const auto updates = member->prompts.takeUpdates(8);
            for (auto &other : instances_) {
                for (const auto &pair : updates) {
                    if (reporting && other != member)
                        other->prompts.addFromPeer(pair, now_);
                }
            }
        }
    }

    int processedAgain() const { return processedAgain_; }

private:
    struct Member
    {
        explicit Member(const std::string &id)
            : instance(id)
        { }
        Instance instance;
        PromptCacheIndex prompts;
    };

    void add()
    {
        auto registered = server("s" + std::to_string(servers_++), engines);
        registered.slots = 64;
        for (auto &member : instances_)
            member->instance.fleet.apply(ServerWritten{registered}, now_);
    }

    std::vector<std::unique_ptr<Member>> instances_;
    std::map<std::uint64_t, std::set<ServerId>> holders_;
    std::deque<ServerId> running_;
    std::size_t servers_ = 0;
    int oldest_ = 0;
    int processedAgain_ = 0;
    TimePoint now_ = start;
};

struct FleetSize
{
    int instances;
    int servers;
    int prefixes;
    int requestsPerSecond;
};

struct PromptFleetTest : testing::TestWithParam<FleetSize>
{ };

// Long prefixes are used every few seconds, each time through another instance, while a third of
// the servers is replaced. If a prefix is processed again, its caller and those behind it wait.
// With reports, a prefix is lost only with the last server that has it cached, so that at most a
// fifth as many are processed again as without reports.
TEST_P(PromptFleetTest, PrefixesAreFoundAfterServersAreReplaced)
{
    const auto &size = GetParam();
    const auto simulate = [&](bool reporting) {
        std::mt19937_64 random(5);
        PromptFleet fleet(size.instances, size.servers);
        for (int tenth = 0; tenth < 300; ++tenth) {
            if (tenth >= 100 && tenth % 20 == 0 && tenth / 20 < 5 + size.servers / 3)
                fleet.replaceServer();
            for (int i = 0; i < size.requestsPerSecond / 10; ++i)
                fleet.request(random, size.prefixes);
            fleet.advance(milliseconds(100), reporting);
        }
        return fleet.processedAgain();
    };
    const int withoutReports = simulate(false);
    const int withReports = simulate(true);
    EXPECT_GT(withoutReports, 0);
    EXPECT_LE(withReports, withoutReports / 5) << "without reports: " << withoutReports;
}

INSTANTIATE_TEST_SUITE_P(Sizes, PromptFleetTest,
                         testing::Values(FleetSize{6, 9, 40, 60}, FleetSize{8, 18, 100, 100},
                                         FleetSize{68, 90, 400, 400}),
                         [](const auto &row) {
                             return std::to_string(row.param.instances) + "Instances"
                                 + std::to_string(row.param.servers) + "Servers";
                         });

} // namespace

} // namespace jy::test
