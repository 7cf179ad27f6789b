#include "jy_gateway/peers/PeerTable.h"
#include "jy_gateway/peers/BeatCodec.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

namespace jy::test {

namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

const TimePoint start{std::chrono::hours(1)};

ListedInstance instance(const std::string &id)
{
    return {InstanceId(id), {"10.0.0.1", 1}, {"10.0.0.1", 2}, {"10.0.0.1", 3}, DomainId("a"), 10};
}

InstanceBeat beat(const std::string &id, std::uint64_t sequence, bool ready = true)
{
    return {.instance = instance(id), .incarnation = 1, .sequence = sequence, .ready = ready};
}

struct PeerTableTest : testing::Test
{
    PeerTableTest()
    {
        table.setListed({{InstanceId("self"), instance("self")},
                         {InstanceId("b"), instance("b")},
                         {InstanceId("c"), instance("c")}},
                        start);
    }

    std::vector<std::string> callable(TimePoint now) const
    {
        std::vector<std::string> ids;
        for (const auto &peer : table.callable(now))
            ids.push_back(peer.id.value());
        return ids;
    }

    PeerTable table{InstanceId("self")};
};

using Ids = std::vector<std::string>;

TEST_F(PeerTableTest, DeadInstanceLeavesTheDirectory)
{
    constexpr seconds directoryBound{6};
    for (int i = 1; i <= 12; ++i)
        table.receive(beat("b", static_cast<std::uint64_t>(i)), start + milliseconds(500) * i);
    EXPECT_EQ(callable(start + directoryBound), Ids{"b"});
}

TEST_F(PeerTableTest, InstanceThatLeavesIsOutAtOnce)
{
    table.receive(beat("b", 1), start);
    table.receive(beat("b", 2, false), start);
    EXPECT_EQ(callable(start), Ids{"c"});
}

TEST_F(PeerTableTest, LapsedEntryRemovesNobodyWhoIsHeard)
{
    table.receive(beat("b", 1), start);
    table.setListed({}, start);
    EXPECT_EQ(callable(start + milliseconds(600)), Ids{"b"});
}

TEST_F(PeerTableTest, InstanceThatHearsNobodyGoesByTheEntries)
{
    EXPECT_EQ(callable(start + seconds(30)), (Ids{"b", "c"}));
}

TEST_F(PeerTableTest, OldBeatsAreIgnored)
{
    table.receive(beat("b", 5, false), start);
    EXPECT_FALSE(table.receive(beat("b", 4), start));
    EXPECT_EQ(callable(start), Ids{"c"});
}

TEST_F(PeerTableTest, RestartedInstanceStartsItsSequenceAnew)
{
    table.receive(beat("b", 50, false), start);
    auto restarted = beat("b", 1);
    restarted.incarnation = 2;
    EXPECT_TRUE(table.receive(restarted, start));
    EXPECT_EQ(callable(start), (Ids{"b", "c"}));
}

TEST(PeerTablePeriodTest, DatagramsPerSecondStayBoundedInLargeFleets)
{
    PeerTable table(InstanceId("self"));
    std::map<InstanceId, ListedInstance> listed;
    for (int i = 0; i < 360; ++i)
        listed[InstanceId("i" + std::to_string(i))] = instance("i" + std::to_string(i));
    table.setListed(listed, start);
    const std::chrono::duration<double> period = table.period();
    EXPECT_LE(360 / period.count(), 70);
}

TEST(BeatCodecTest, RoundTrip)
{
    auto sent = beat("b", 9);
    sent.use = {{ServerId("s1"), {3, 1}}, {ServerId("s2"), {1, 0}}};
    sent.evidence = {{ServerId("s1"), {4, 2}}};
    const auto received = decodeBeat(encodeBeat(sent));
    ASSERT_TRUE(received);
    EXPECT_EQ(received.value().instance, sent.instance);
    EXPECT_EQ(received.value().sequence, 9U);
    EXPECT_EQ(received.value().use, sent.use);
    EXPECT_EQ(received.value().evidence.at(ServerId("s1")), (ServerEvidence{4, 2}));
}

TEST(BeatCodecTest, LargeBeatKeepsTheLargestLoads)
{
    auto sent = beat("b", 1);
    for (int i = 1; i <= 600; ++i)
        sent.use[ServerId("server-" + std::to_string(i))] = {i, 0};
    const auto bytes = encodeBeat(sent);
    EXPECT_LE(bytes.size(), maxBeatBytes);
    const auto received = decodeBeat(bytes);
    ASSERT_TRUE(received);
    EXPECT_TRUE(received.value().use.contains(ServerId("server-600")));
    EXPECT_FALSE(received.value().use.contains(ServerId("server-1")));
}

RC_GTEST_PROP(BeatCodecTest, AnyBytesAreReadOrRefused, (const std::string &bytes))
{
    const auto received = decodeBeat(bytes);
    if (received)
        RC_ASSERT(!received.value().instance.id.empty());
}

} // namespace

} // namespace jy::test
