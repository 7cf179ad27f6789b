#include "jy_gateway/duties/DutyLease.h"
#include "jy_gateway/duties/UsageReports.h"
#include "jy_gateway/peers/HeartbeatCodec.h"
#include "jy_gateway/registry/InstanceEntry.h"
#include "jy_gateway/registry/StoreCopy.h"

#include <google/protobuf/descriptor.pb.h>
#include <google/protobuf/dynamic_message.h>
#include <gtest/gtest.h>

#include <fstream>
#include <functional>

namespace jy::test {

namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

const std::map<std::uint32_t, ServerId> servers{{serverHash(ServerId("s1")), ServerId("s1")},
                                                {serverHash(ServerId("s2")), ServerId("s2")}};
const InstanceId sender{"i1"};

Result<Heartbeat> decode(const std::string &bytes)
{
    return decodeHeartbeat(
        bytes,
        [](std::uint32_t hash) {
            const auto found = servers.find(hash);
            return found == servers.end() ? nullptr : &found->second;
        },
        [](std::uint32_t) { return &sender; });
}

// Schemas of earlier builds: protoc --descriptor_set_out of their beat.proto. The first is of the
// build that landed last, the second one is from before prompt parts, limits of servers and
// rollouts.
constexpr const char *landedSchema = "beat-landed.binpb";
constexpr const char *schemaBeforeLimits = "beat-before-limits.binpb";

/** Reads and writes heartbeats with the schema of an earlier build. */
class EarlierBuild
{
public:
    explicit EarlierBuild(const char *schemaFile)
    {
        std::ifstream file(std::string(JY_SOURCE_DIR) + "/tests/jy_gateway/formats/" + schemaFile);
        google::protobuf::FileDescriptorSet schema;
        EXPECT_TRUE(schema.ParseFromIstream(&file));
        const auto *built = pool_.BuildFile(schema.file(0));
        if (built)
            prototype_ = factory_.GetPrototype(built->FindMessageTypeByName("Beat"));
    }

    /** @returns what the earlier build keeps of a message, as it would write it itself */
    std::string readAndWrite(const std::string &bytes)
    {
        const std::unique_ptr<google::protobuf::Message> message(prototype_->New());
        EXPECT_TRUE(message->ParseFromString(bytes));
        message->DiscardUnknownFields();
        return message->SerializeAsString();
    }

private:
    google::protobuf::DescriptorPool pool_;
    google::protobuf::DynamicMessageFactory factory_{&pool_};
    const google::protobuf::Message *prototype_ = nullptr;
};

Heartbeat landedHeartbeat(bool brief)
{
    return {.brief = brief,
            .instance = {.id = sender,
                         .caller = {"10.0.0.1", 1},
                         .peer = {"10.0.0.1", 2},
                         .control = {"10.0.0.1", 3},
                         .domain = DomainId("a"),
                         .linkMbps = 10,
                         .milliCores = 250},
            .incarnation = 1'790'000'000'000,
            .sequence = 9,
            .ready = true,
            .requests = {{ServerId("s1"), {3, 1}}},
            .leaving = {{ServerId("s2"), 1'790'000'000'123}},
            .cached = {{7, ServerId("s1")}},
            .stalled = {ServerId("s2")}};
}

Heartbeat landedReport()
{
    auto report = landedHeartbeat(true);
    report.requests.clear();
    report.group = GroupReport{
        .groups = 16, .group = 3, .ready = {1, 2}, .requests = {{ServerId("s1"), {5, 0}}}};
    return report;
}

/** Adds what the landed build sends and the one before limits does not know. */
Heartbeat withLimits(Heartbeat heartbeat)
{
    heartbeat.parts = {.crashes = {{1, 2, CrashEvidence::ResponseBegun, milliseconds(300)}},
                       .quarantined = {{3, 1, milliseconds(-5)}},
                       .sound = {{4, milliseconds(20)}}};
    heartbeat.serverLimits = {{ServerId("s1"), 2.5}, {ServerId("s2"), std::nullopt}};
    return heartbeat;
}

struct FormatCase
{
    const char *name;
    const char *schema;
    Heartbeat base;
};

struct PeerFormatTest : testing::TestWithParam<FormatCase>
{ };

// Guards against instances of two builds that do not understand each other while machines are
// replaced one after the other.
TEST_P(PeerFormatTest, NewAndEarlierBuildsUnderstandEachOther)
{
    const auto &[name, schema, base] = GetParam();
    EarlierBuild earlierBuild(schema);
    const bool knowsLimits = schema == landedSchema;
    const auto earlier = knowsLimits ? withLimits(base) : base;
    auto sent = withLimits(base);
    sent.demand = DemandByService{{7, 12.5}};
    const auto bytes = encodeHeartbeat(sent);
    EXPECT_EQ(earlierBuild.readAndWrite(bytes), encodeHeartbeat(earlier));

    const auto ofNew = decode(bytes);
    const auto ofEarlier = decode(earlierBuild.readAndWrite(bytes));
    ASSERT_TRUE(ofNew && ofEarlier);
    EXPECT_EQ(ofNew.value().parts.quarantined.at(0).untilProbe, milliseconds(-5));
    EXPECT_EQ(ofNew.value().serverLimits.at(0).perSecond, 2.5);
    EXPECT_FALSE(ofNew.value().serverLimits.at(1).perSecond);
    EXPECT_EQ(ofNew.value().demand, sent.demand);
    EXPECT_EQ(ofEarlier.value().parts.crashes.empty(), !knowsLimits);
    EXPECT_EQ(ofEarlier.value().serverLimits.empty(), !knowsLimits);
    EXPECT_FALSE(ofEarlier.value().demand);
    EXPECT_EQ(ofEarlier.value().requests, ofNew.value().requests);
    EXPECT_EQ(ofEarlier.value().leaving, base.leaving);
}

INSTANTIATE_TEST_SUITE_P(
    Messages, PeerFormatTest,
    testing::Values(FormatCase{"brief", landedSchema, landedHeartbeat(true)},
                    FormatCase{"complete", landedSchema, landedHeartbeat(false)},
                    FormatCase{"report", landedSchema, landedReport()},
                    FormatCase{"briefBeforeLimits", schemaBeforeLimits, landedHeartbeat(true)},
                    FormatCase{"completeBeforeLimits", schemaBeforeLimits, landedHeartbeat(false)},
                    FormatCase{"reportBeforeLimits", schemaBeforeLimits, landedReport()}),
    [](const auto &testCase) { return testCase.param.name; });

// A build that does not know outcomes of rollouts must see an old message of a known instance,
// which it ignores by its sequence number.
TEST(RolloutFormatTest, EarlierBuildReadsAnEmptyMessage)
{
    EarlierBuild earlierBuild(schemaBeforeLimits);
    const RolloutMessage sent{ServiceId("s"), 5, {.target = {{"a", {9, 1, 8, 2}}}}};
    const auto bytes =
        encodeHeartbeat({.instance = {.id = sender}, .incarnation = 3, .rollout = sent});
    const auto received = decode(bytes);
    ASSERT_TRUE(received && received.value().rollout);
    EXPECT_EQ(received.value().rollout->outcomes, sent.outcomes);
    const auto ofEarlier = decode(earlierBuild.readAndWrite(bytes));
    ASSERT_TRUE(ofEarlier);
    EXPECT_FALSE(ofEarlier.value().rollout);
    EXPECT_EQ(ofEarlier.value().sequence, 0U);
}

TEST(StoredFormatTest, FieldsOfLaterBuildsArePassedOver)
{
    const auto entry = decodeInstance(
        {"instances/i1",
         R"({"caller":"10.0.0.1:1","peer":"10.0.0.1:2","control":"10.0.0.1:3","later":{"x":[1]}})",
         1, false});
    ASSERT_TRUE(entry);
    EXPECT_TRUE(std::holds_alternative<InstanceWritten>(*entry));
    const auto copy = decodeStoreCopy(compressCopy(
        R"({"items":[{"key":"k","revision":3,"value":"dg==","later":1}],"as_of":3,"age_ms":5,"later":"x"})"));
    ASSERT_TRUE(copy);
    EXPECT_EQ(copy.value().page.items.at(0).value, "v");
    EXPECT_EQ(copy.value().page.era, 0U);
}

// Guards against holders that do not take over from one of the build before, which wrote no era.
TEST(StoredFormatTest, DutiesOfTheLandedBuildAreRead)
{
    const auto holder = decodeHolder(R"({"instance":"i1","incarnation":5,"attempt":2})");
    ASSERT_TRUE(holder);
    EXPECT_EQ(*holder, (DutyHolder{InstanceId("i1"), 5, 2, 0}));
    const auto reports = decodeReports(R"([{"window":7,"counts":{"w":3},"accepted":true}])");
    ASSERT_TRUE(reports);
    EXPECT_EQ(reports->at(0).report, (UsageReport{7, {{WorkspaceId("w"), 3}}}));
    EXPECT_FALSE(writtenIn(0, *reports));
}

} // namespace

} // namespace jy::test
