#include "jy_gateway/peers/PeerTable.h"
#include "jy_gateway/peers/EntryBudget.h"
#include "jy_gateway/peers/HeartbeatCodec.h"
#include "jy_gateway/peers/HeartbeatSchedule.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <algorithm>
#include <array>

namespace jy::test {

namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

const TimePoint start{std::chrono::hours(1)};

RegisteredInstance instance(const std::string &id)
{
    return {InstanceId(id), {"10.0.0.1", 1}, {"10.0.0.1", 2}, {"10.0.0.1", 3}, DomainId("a"), 10};
}

Heartbeat heartbeat(const std::string &id, std::uint64_t sequence, bool ready = true)
{
    return {.instance = instance(id), .incarnation = 1, .sequence = sequence, .ready = ready};
}

struct PeerTableTest : testing::Test
{
    PeerTableTest()
    {
        table.setRegistered({{InstanceId("self"), instance("self")},
                             {InstanceId("b"), instance("b")},
                             {InstanceId("c"), instance("c")}},
                            start);
    }

    std::vector<std::string> directory(TimePoint now) const
    {
        std::vector<std::string> ids;
        for (const auto &peer : table.directoryPeers(now))
            ids.push_back(peer.id.value());
        return ids;
    }

    PeerTable table{InstanceId("self")};
};

using Ids = std::vector<std::string>;

TEST_F(PeerTableTest, DeadInstanceIsRemovedFromTheDirectory)
{
    constexpr seconds directoryBound{6};
    for (int i = 1; i <= 12; ++i)
        table.receive(heartbeat("b", static_cast<std::uint64_t>(i)), start + milliseconds(500) * i);
    EXPECT_EQ(directory(start + directoryBound), Ids{"b"});
}

TEST_F(PeerTableTest, LeavingInstanceIsRemovedAtOnce)
{
    table.receive(heartbeat("b", 1), start);
    table.receive(heartbeat("b", 2, false), start);
    EXPECT_EQ(directory(start), Ids{"c"});
}

TEST_F(PeerTableTest, ExpiredEntryDoesNotRemoveAnInstanceThatSendsHeartbeats)
{
    table.receive(heartbeat("b", 1), start);
    table.setRegistered({}, start);
    EXPECT_EQ(directory(start + milliseconds(600)), Ids{"b"});
}

TEST_F(PeerTableTest, EntriesDecideWhenNoHeartbeatsArrive)
{
    EXPECT_EQ(directory(start + seconds(30)), (Ids{"b", "c"}));
}

// The entry of an instance that died before this one started remains for a while.
TEST_F(PeerTableTest, InstanceWithoutHeartbeatIsNamedOnlyUntilMostHaveSentOne)
{
    std::map<InstanceId, RegisteredInstance> registered;
    for (const char *id : {"b", "c", "d", "e", "f"})
        registered[InstanceId(id)] = instance(id);
    table.setRegistered(registered, start);
    EXPECT_EQ(directory(start).size(), registered.size());
    for (const char *id : {"b", "c", "d", "e"})
        table.receive(heartbeat(id, 1), start);
    EXPECT_EQ(directory(start), (Ids{"b", "c", "d", "e"}));
}

TEST_F(PeerTableTest, OldHeartbeatsAreIgnored)
{
    table.receive(heartbeat("b", 5, false), start);
    EXPECT_FALSE(table.receive(heartbeat("b", 4), start));
    EXPECT_EQ(directory(start), Ids{"c"});
}

TEST_F(PeerTableTest, RestartedInstanceResetsItsSequence)
{
    table.receive(heartbeat("b", 50, false), start);
    auto restarted = heartbeat("b", 1);
    restarted.incarnation = 2;
    EXPECT_TRUE(table.receive(restarted, start));
    EXPECT_EQ(directory(start), (Ids{"b", "c"}));
}

/** Finds the servers s1 and s2. */
const ServerId *findServer(std::uint32_t hash)
{
    static const std::array servers{ServerId("s1"), ServerId("s2")};
    const auto found = std::ranges::find(servers, hash, serverHash);
    return found == servers.end() ? nullptr : &*found;
}

/** Finds the instances a to z. */
const InstanceId *findInstance(std::uint32_t hash)
{
    static const auto instances = [] {
        std::map<std::uint32_t, InstanceId> known;
        for (char letter = 'a'; letter <= 'z'; ++letter) {
            const InstanceId id(std::string(1, letter));
            known[peerHash(id)] = id;
        }
        return known;
    }();
    const auto found = instances.find(hash);
    return found == instances.end() ? nullptr : &found->second;
}

TEST(HeartbeatCodecTest, RoundTrip)
{
    auto sent = heartbeat("b", 9);
    sent.requests = {{ServerId("s1"), {3, 1}}, {ServerId("s2"), {1, 0}}};
    sent.outcomes = {{ServerId("s1"), {4, 2}}};
    sent.leaving = {{ServerId("s2"), 1'700'000'000'123}};
    const auto received = decodeHeartbeat(encodeHeartbeat(sent), findServer, findInstance);
    ASSERT_TRUE(received);
    EXPECT_EQ(received.value().instance, sent.instance);
    EXPECT_EQ(received.value().sequence, 9U);
    EXPECT_EQ(received.value().requests, sent.requests);
    EXPECT_EQ(received.value().outcomes.at(ServerId("s1")), (ServerOutcomeCounts{4, 2}));
    EXPECT_EQ(received.value().leaving, sent.leaving);
}

TEST(HeartbeatCodecTest, BriefHeartbeatCarriesRequestCountsOnly)
{
    auto sent = heartbeat("b", 9);
    sent.brief = true;
    sent.requests = {{ServerId("s1"), {3, 1}}, {ServerId("unknown"), {1, 0}}};
    sent.outcomes = {{ServerId("s2"), {4, 2}}};
    const auto received = decodeHeartbeat(encodeHeartbeat(sent), findServer, findInstance);
    ASSERT_TRUE(received);
    EXPECT_TRUE(received.value().brief);
    EXPECT_TRUE(received.value().ready);
    EXPECT_EQ(received.value().instance.id, sent.instance.id);
    EXPECT_EQ(received.value().requests, (RequestCountsByServer{{ServerId("s1"), {3, 1}}}));
    EXPECT_TRUE(received.value().outcomes.empty());
}

TEST(PeerTableBriefHeartbeatTest, KeepsAddressesAndAddsNoInstance)
{
    PeerTable table(InstanceId("self"));
    auto brief = heartbeat("b", 1);
    brief.brief = true;
    brief.instance = {.id = brief.instance.id};
    EXPECT_FALSE(table.receive(brief, start));
    EXPECT_TRUE(table.receive(heartbeat("b", 2), start));
    brief.sequence = 3;
    EXPECT_TRUE(table.receive(brief, start + seconds(1)));
    const auto destinations = table.destinations();
    ASSERT_EQ(destinations.size(), 1U);
    EXPECT_EQ(destinations.front(), heartbeat("b", 2).instance.peer);
}

TEST(HeartbeatScheduleTest, FailuresAreReportedAtOnce)
{
    HeartbeatSchedule schedule;
    const OutcomeCountsByServer good{{ServerId("s1"), {4, 0}}};
    const OutcomeCountsByServer bad{{ServerId("s1"), {4, 1}}};
    EXPECT_FALSE(schedule.nextIsBrief(good));
    EXPECT_TRUE(schedule.nextIsBrief(good));
    EXPECT_FALSE(schedule.nextIsBrief(bad));
    EXPECT_TRUE(schedule.nextIsBrief(bad));
}

struct HeartbeatBudgetTest : testing::TestWithParam<int>
{ };

const CachedPrompt cachedPrompt{0x12345678, ServerId("i-7f7a58e40")};

const PartCrash crash{1, 2, CrashEvidence::ResponseBegun, milliseconds(5000)};
const ServerLimitReport serverLimit{ServerId("i-7f7a58e40"), 3.4};

/** Size of a report about a group whose members each have four requests in flight. */
std::size_t reportBytes(const PeerTable &table, std::size_t entries)
{
    GroupReport report{.groups = table.groupCount()};
    const auto members = table.destinations().size() + 1;
    for (std::size_t i = 0; i < 4 * members; ++i)
        report.requests[ServerId("i-7f7a58e4" + std::to_string(i))] = {1, i % 4 == 0 ? 1 : 0};
    for (int i = 0; i < 12; ++i)
        report.outcomes[ServerId("i-7f7a58e4" + std::to_string(i))] = {15, 1};
    report.ready.resize(members, 0x12345678);
    return encodeHeartbeat({.incarnation = 1'790'000'000'000,
                            .sequence = 1'000,
                            .cached = {table.cachedPromptsPerReport(), cachedPrompt},
                            .serverLimits = {entries, serverLimit},
                            .group = report})
        .size();
}

// The budget for control traffic is 14 KB/s for each instance. In this load each instance has four
// requests in flight, outcome counts of twelve servers, and as many cached prompts, crashes and
// limits of servers as fit.
TEST_P(HeartbeatBudgetTest, HeartbeatsOfOneInstanceStayWithinTheBudget)
{
    constexpr double budget = 14'000;
    constexpr int heartbeats = 60;
    PeerTable table(InstanceId("self"));
    std::map<InstanceId, RegisteredInstance> registered;
    for (int i = 0; i < GetParam(); ++i)
        registered[InstanceId("i" + std::to_string(i))] = instance("i" + std::to_string(i));
    table.setRegistered(registered, start);
    auto sent = heartbeat("front-rockhampton-1", 1'000);
    sent.incarnation = 1'790'000'000'000;
    sent.instance.caller = sent.instance.peer = sent.instance.control = {"10.100.100.140", 40'000};
    sent.instance.domain = DomainId("rockhampton");
    for (int i = 0; i < 12; ++i) {
        const ServerId server("i-7f7a58e4" + std::to_string(i));
        if (i < 4)
            sent.requests[server] = {1, i == 0 ? 1 : 0};
        sent.outcomes[server] = {1.2, 0};
    }
    sent.cached.resize(table.cachedPromptsPerHeartbeat(), cachedPrompt);
    HeartbeatSchedule schedule;
    EntryBudget budgetForEntries;
    std::size_t bytes = 0;
    for (int i = 0; i < heartbeats; ++i) {
        sent.brief = schedule.nextIsBrief(sent.outcomes);
        const auto now = start + i * table.period();
        const auto receivers = table.destinations().size();
        const auto entries = budgetForEntries.available(receivers, now);
        budgetForEntries.spend(entries, receivers);
        sent.parts.crashes.resize(entries, crash);
        bytes += encodeHeartbeat(sent).size() * receivers;
        const auto groups = table.groupCount() - 1;
        if (groups == 0 || i % PeerTable::heartbeatsPerReport != 0)
            continue;
        const auto reportEntries = budgetForEntries.available(groups, now);
        budgetForEntries.spend(reportEntries, groups);
        bytes += reportBytes(table, reportEntries) * groups;
    }
    const std::chrono::duration<double> time = heartbeats * table.period();
    EXPECT_LE(static_cast<double>(bytes) / time.count(), budget);
}

INSTANTIATE_TEST_SUITE_P(Fleets, HeartbeatBudgetTest, testing::Values(8, 12, 90, 360));

TEST(HeartbeatCodecTest, LargeHeartbeatKeepsTheLargestLoads)
{
    auto sent = heartbeat("b", 1);
    for (int i = 1; i <= 600; ++i)
        sent.requests[ServerId("server-" + std::to_string(i))] = {i, 0};
    for (const auto &[server, requests] : sent.requests)
        sent.leaving[server] = 1'700'000'000'123;
    const auto bytes = encodeHeartbeat(sent);
    EXPECT_LE(bytes.size(), maxHeartbeatBytes);
    std::map<std::uint32_t, ServerId> servers;
    for (const auto &[server, requests] : sent.requests)
        servers[serverHash(server)] = server;
    const auto received = decodeHeartbeat(
        bytes, [&](std::uint32_t hash) { return &servers.at(hash); }, findInstance);
    ASSERT_TRUE(received);
    EXPECT_TRUE(received.value().requests.contains(ServerId("server-600")));
    EXPECT_FALSE(received.value().requests.contains(ServerId("server-1")));
    EXPECT_FALSE(received.value().leaving.empty());
}

RC_GTEST_PROP(HeartbeatCodecTest, ArbitraryBytesAreDecodedOrRejected, (const std::string &bytes))
{
    const auto received = decodeHeartbeat(bytes, findServer, findInstance);
    if (received)
        RC_ASSERT(!received.value().instance.id.empty());
}

} // namespace

} // namespace jy::test
