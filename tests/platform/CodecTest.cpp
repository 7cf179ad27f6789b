#include "platform/CallerCodec.h"
#include "platform/FleetCodec.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

namespace jy::platform {

namespace {

using std::chrono::milliseconds;

template <class Change>
const Change *changeOf(const std::optional<FleetChange> &change)
{
    return change ? std::get_if<Change>(&*change) : nullptr;
}

TEST(FleetCodecTest, Configuration)
{
    const auto change = decodeFleetChange({"op/config", R"({"version":7,
        "routes":[{"name":"r1","host":"h","prefix":"/a/","route_kind":"stream","timeout_ms":6000,
          "target_latency_ms":500,"priority":1,"max_attempts":2,"public":true,"sticky":true,
          "stream_resume":true,"gap_target_ms":250,
          "traffic_split":[{"service":"s1","weight":90},{"service":"s2","weight":10}]},
          {"name":"r2","host":"h","prefix":"/b/","route_kind":"unsafe","service":"s2"},
          {"name":"broken"}],
        "services":[{"name":"s1","max_connections":370,"cold_start_s":3.5,"cold_per_s":12.0,
          "engine":{"kv_capacity_tokens":345666,"kv_token_bytes":327680,"link_mbps":210000.0}}],
        "limits":{"max_header_bytes":100,"idle_timeout_ms":15000},
        "tenants":[{"name":"t","api_keys":["k1","k2"],"priority":1}]})",
                                           5, false});
    const auto *written = changeOf<ConfigWritten>(change);
    ASSERT_NE(written, nullptr);
    const auto &config = *written->config;
    EXPECT_EQ(config.version, 7U);
    EXPECT_EQ(config.routeCount(), 2U);
    const auto *route = config.findRoute("h", "/a/x");
    ASSERT_NE(route, nullptr);
    EXPECT_TRUE(route->repeatable() && route->isPublic && route->cachesPrompts);
    EXPECT_EQ(route->timeout, milliseconds(6000));
    EXPECT_EQ(route->shares.size(), 2U);
    EXPECT_EQ(config.findRoute("h", "/b/")->kind, RequestKind::Unsafe);
    const auto *service = config.findService(ServiceId("s1"));
    ASSERT_NE(service, nullptr);
    EXPECT_EQ(service->coldDuration, milliseconds(3500));
    EXPECT_EQ(service->cacheTokens, 345666);
    EXPECT_EQ(service->cacheTokenBytes, 327680);
    EXPECT_EQ(service->cacheLinkMbps, 210000.0);
    EXPECT_EQ(config.limits.maxHeadBytes, 100U);
    EXPECT_EQ(config.findKey("k2")->workspace, WorkspaceId("t"));
    EXPECT_EQ(config.findKey("k2")->priority, 1);
    EXPECT_EQ(config.findKey("k3"), nullptr);
}

TEST(FleetCodecTest, Server)
{
    const auto change = decodeFleetChange(
        {"servers/i-1",
         R"({"service":"s","address":"10.0.0.9:80","zone":"z","version":"v1","slots":64,
             "state":"draining","cold_left_ms":1500,"born":1789000000123,"sequence":4})",
         5, false});
    const auto *written = changeOf<ServerWritten>(change);
    ASSERT_NE(written, nullptr);
    const RegisteredServer expected{.id = ServerId("i-1"),
                                    .service = ServiceId("s"),
                                    .endpoint = {"10.0.0.9", 80},
                                    .domain = DomainId("z"),
                                    .version = VersionId("v1"),
                                    .slots = 64,
                                    .leaving = true,
                                    .coldLeft = milliseconds(1500),
                                    .startTimeMs = 1789000000123};
    EXPECT_EQ(written->server, expected);
}

struct InvalidServerEntryTest : testing::TestWithParam<const char *>
{ };

TEST_P(InvalidServerEntryTest, CountsAsRemoval)
{
    const auto change = decodeFleetChange({"servers/i-1", GetParam(), 5, false});
    EXPECT_NE(changeOf<ServerRemoved>(change), nullptr);
}

INSTANTIATE_TEST_SUITE_P(
    Values, InvalidServerEntryTest,
    testing::Values("", "\xff\xfe", "[]", "{}",
                    R"({"service":1,"address":"10.0.0.9:80","state":"ready"})",
                    R"({"service":"s","address":"host:80","state":"ready"})",
                    R"({"service":"s","address":"10.0.0.9:80","state":"resting"})",
                    R"({"service":"s","address":"10.0.0.9:80"})"));

std::string nested(std::size_t depth)
{
    return std::string(depth, '[') + std::string(depth, ']');
}

/** Fields that replace or extend those of a valid entry. */
struct OddEntry
{
    std::string name;
    std::string fields;
    std::string address = "10.0.0.9:80";
    std::string id = "i-1";
};

class OddServerEntry : public testing::TestWithParam<OddEntry>
{ };

// Guards against entries of other writers that name a server to use with values out of range.
TEST_P(OddServerEntry, NamesNoServer)
{
    const auto value = R"({"service":"s","state":"ready","address":")" + GetParam().address + '"'
        + GetParam().fields + '}';
    const auto change = decodeFleetChange({"servers/" + GetParam().id, value, 5, false});
    EXPECT_NE(changeOf<ServerRemoved>(change), nullptr) << value;
}

INSTANTIATE_TEST_SUITE_P(
    Entries, OddServerEntry,
    testing::Values(
        OddEntry{"Depth200", R"(,"more":)" + nested(200)},
        OddEntry{"Depth10000", R"(,"more":)" + nested(10'000)},
        OddEntry{"InfiniteSlots", R"(,"slots":1e999)"}, OddEntry{"HugeSlots", R"(,"slots":1e300)"},
        OddEntry{"Slots63Bits", R"(,"slots":9223372036854775808)"},
        OddEntry{"Slots32Bits", R"(,"slots":4294967297)"},
        OddEntry{"NegativeSlots", R"(,"slots":-1)"}, OddEntry{"FractionOfASlot", R"(,"slots":1.5)"},
        OddEntry{"SlotsAsText", R"(,"slots":"8")"},
        OddEntry{"InfinitelyCold", R"(,"cold_left_ms":1e999)"},
        OddEntry{"ColdForever", R"(,"cold_left_ms":1e300)"},
        OddEntry{"Cold63Bits", R"(,"cold_left_ms":9223372036854775808)"},
        OddEntry{"ColdAsText", R"(,"cold_left_ms":"1")"},
        OddEntry{"BornTooLate", R"(,"born":1e300)"}, OddEntry{"BornAsText", R"(,"born":"1")"},
        OddEntry{"ZoneAsNumber", R"(,"zone":1)"}, OddEntry{"VersionAsList", R"(,"version":[])"},
        OddEntry{"LineBreakInVersion", R"(,"version":"a\r\nb")"},
        OddEntry{"Port0", "", "10.0.0.9:0"}, OddEntry{"Port65536", "", "10.0.0.9:65536"},
        OddEntry{"PortOf11Digits", "", "10.0.0.9:99999999999"},
        OddEntry{"NegativePort", "", "10.0.0.9:-1"}, OddEntry{"NoPort", "", "10.0.0.9"},
        OddEntry{"BareIpv6", "", "::1:80"}, OddEntry{"Ipv6Port65536", "", "[::1]:65536"},
        OddEntry{"LineBreakInId", "", "10.0.0.9:80", "i\r\nHost: x"},
        OddEntry{"IdNotAscii", "", "10.0.0.9:80", "i\xff\xfe"}),
    [](const auto &info) { return info.param.name; });

// Guards against sound entries that are taken for unreadable ones.
TEST(FleetCodecTest, ServerWithUnusualButValidFields)
{
    for (const auto *fields : {R"(,"cold_left_ms":-1)", R"(,"cold_left_ms":1500.5)",
                               R"(,"slots":0)", R"(,"zone":null,"born":1789000000123)", ""}) {
        const auto change = decodeFleetChange(
            {"servers/i-1",
             R"({"service":"s","address":"[::1]:80","state":"ready")" + std::string(fields) + '}',
             5, false});
        const auto *written = changeOf<ServerWritten>(change);
        ASSERT_NE(written, nullptr) << fields;
        EXPECT_EQ(written->server.slots, 1);
    }
}

// Guards against numbers of the configuration that wrap around.
TEST(FleetCodecTest, NumbersOutOfRangeInAConfigurationCountAsMissing)
{
    const auto change = decodeFleetChange({"op/config", R"({"version":1,"routes":[{"host":"h",
        "prefix":"/","service":"s","timeout_ms":1e300,"max_attempts":4294967298,"priority":1e300}],
        "services":[],"limits":{"max_header_bytes":-1,"idle_timeout_ms":1e999}})",
                                           5, false});
    const auto *written = changeOf<ConfigWritten>(change);
    ASSERT_NE(written, nullptr);
    const auto *route = written->config->findRoute("h", "/");
    ASSERT_NE(route, nullptr);
    EXPECT_EQ(route->timeout, Route().timeout);
    EXPECT_EQ(route->maxAttempts, 1);
    EXPECT_EQ(route->priority, 0);
    EXPECT_EQ(written->config->limits.maxHeadBytes, CallerLimits().maxHeadBytes);
    EXPECT_EQ(written->config->limits.idleTimeout, CallerLimits().idleTimeout);
}

RC_GTEST_PROP(FleetCodecTest, ArbitraryValuesAreDecodedOrIgnored, (const std::string &value))
{
    for (const char *key :
         {"servers/x", "op/config", "op/rollout/s", "op/evacuate/z", "status/rollout/s", "other"})
        decodeFleetChange({key, value, 1, false});
}

TEST(FleetCodecTest, EvacuationAndItsEnd)
{
    const auto begin = decodeFleetChange({"op/evacuate/z", "{}", 1, false});
    const auto end = decodeFleetChange({"op/evacuate/z", "", 2, true});
    ASSERT_NE(changeOf<EvacuationWritten>(begin), nullptr);
    EXPECT_EQ(changeOf<EvacuationWritten>(begin)->domain, DomainId("z"));
    EXPECT_NE(changeOf<EvacuationRemoved>(end), nullptr);
}

struct ReportCase : testing::TestWithParam<RolloutState>
{ };

TEST_P(ReportCase, RoundTrip)
{
    const RolloutReport report{ServiceId("s"), VersionId("v2"), GetParam()};
    const auto write = encodeRolloutReport(report);
    const auto change = decodeFleetChange({write.key, write.value, 1, false});
    ASSERT_NE(changeOf<RolloutReportWritten>(change), nullptr);
    EXPECT_EQ(changeOf<RolloutReportWritten>(change)->report, report);
}

INSTANTIATE_TEST_SUITE_P(States, ReportCase,
                         testing::Values(RolloutState::Running, RolloutState::Completed,
                                         RolloutState::Reverted));

TEST(CallerCodecTest, Request)
{
    const HttpHeaders headers{
        {"Jacinthyoke-Attempt-Id", "9c41"},
        {"jacinthyoke-deadline-ms", "6000"},
        {"Jacinthyoke-Token-Count", "1460,80"},
        {"Jacinthyoke-Prompt-Prefix", "5c1e07a2:800, 91bd3f06:410,bad,e4402b7d:250"},
        {"Jacinthyoke-Credential", "key"}};
    const auto metadata = createCallerProtocol().readRequestMetadata(headers, 3);
    EXPECT_EQ(metadata.id, RequestId("9c41"));
    EXPECT_EQ(metadata.callerTimeout, milliseconds(6000));
    EXPECT_EQ(metadata.outputTokens, 80);
    ASSERT_EQ(metadata.prompt.size(), 3U);
    EXPECT_EQ(metadata.prompt[1].id, "91bd3f06");
    EXPECT_EQ(metadata.prompt[0].id, "5c1e07a2");
    EXPECT_EQ(metadata.prompt[1].tokens, 410);
    EXPECT_EQ(metadata.credential, "key");
    const auto last = createCallerProtocol().readRequestMetadata(headers, 2).prompt;
    ASSERT_EQ(last.size(), 2U);
    EXPECT_EQ(last[0].id, "91bd3f06");
    EXPECT_EQ(last[1].tokens, 250);
}

TEST(CallerCodecTest, ReservedFieldsAreNotForwarded)
{
    HttpHeaders sent{{"Jacinthyoke-Attempt-Id", "9c41"}, {"Accept", "x"}};
    for (const char *name :
         {"Jacinthyoke-Credential", "Jacinthyoke-Tenant", "Jacinthyoke-Hold", "Jacinthyoke-Pin-Ms",
          "jacinthyoke-kv-backup", "Kv-From", "Kv-Fetch", "Jacinthyoke-Expect-Replica",
          "Jacinthyoke-Expect-Version", "Jacinthyoke-Request-Priority"})
        sent.add(name, "forged");
    const auto forwarded =
        createCallerProtocol().headersForServer(sent,
                                                {.server = ServerId("i-1"),
                                                 .timeLeft = milliseconds(1200),
                                                 .workspace = WorkspaceId("w"),
                                                 .cacheSource = Endpoint{"10.0.0.9", 80},
                                                 .priority = 1});
    for (const auto &[name, value] : forwarded)
        EXPECT_NE(value, "forged") << name;
    EXPECT_EQ(forwarded.value("Jacinthyoke-Attempt-Id"), "9c41");
    EXPECT_EQ(forwarded.value("Accept"), "x");
    EXPECT_EQ(forwarded.value("Jacinthyoke-Expect-Replica"), "i-1");
    EXPECT_EQ(forwarded.value("Jacinthyoke-Deadline-Ms"), "1200");
    EXPECT_EQ(forwarded.value("Jacinthyoke-Tenant"), "w");
    EXPECT_EQ(forwarded.value("Kv-Fetch"), "10.0.0.9:80");
    EXPECT_EQ(forwarded.value("Jacinthyoke-Request-Priority"), "3");
    EXPECT_FALSE(forwarded.find("Last-Event-Id"));
}

TEST(CallerCodecTest, Response)
{
    const auto protocol = createCallerProtocol();
    const auto metadata = protocol.readResponseMetadata(200,
                                                        {{"Jacinthyoke-Replica-Seal", "s"},
                                                         {"Jacinthyoke-Replica-Load", "3,1,8"},
                                                         {"Jacinthyoke-Cold-Ms", "250"},
                                                         {"Content-Type", "text/event-stream"}});
    EXPECT_TRUE(metadata.sealed && metadata.eventStream);
    EXPECT_FALSE(metadata.notRun || metadata.misdirected);
    EXPECT_EQ(metadata.load->waiting, 1);
    EXPECT_EQ(metadata.coldLeft, milliseconds(250));
    EXPECT_TRUE(protocol.readResponseMetadata(503, {{"Jacinthyoke-Not-Executed", "1"}}).notRun);
    EXPECT_TRUE(protocol.readResponseMetadata(421, {}).misdirected);
}

struct RetryAfterCase
{
    const char *name;
    int status;
    const char *text;
    std::optional<milliseconds> expected;
};

struct ServerRetryAfterTest : testing::TestWithParam<RetryAfterCase>
{ };

TEST_P(ServerRetryAfterTest, OnlyValidTimesOfRefusalsCount)
{
    const auto metadata = createCallerProtocol().readResponseMetadata(
        GetParam().status, {{"Retry-After", GetParam().text}, {"Jacinthyoke-Not-Executed", "1"}});
    EXPECT_EQ(metadata.retryAfter, GetParam().expected);
}

INSTANTIATE_TEST_SUITE_P(
    Times, ServerRetryAfterTest,
    testing::Values(RetryAfterCase{"Whole", 503, "3", milliseconds(3000)},
                    RetryAfterCase{"Fraction", 503, "0.25", milliseconds(250)},
                    RetryAfterCase{"Absurd", 503, "1e300", milliseconds(1'000'000'000'000)},
                    RetryAfterCase{"Negative", 503, "-1", std::nullopt},
                    RetryAfterCase{"NotANumber", 503, "nan", std::nullopt},
                    RetryAfterCase{"Date", 503, "Fri, 04 Dec 2026 09:00:00 GMT", std::nullopt},
                    RetryAfterCase{"Empty", 503, "", std::nullopt},
                    RetryAfterCase{"OfASuccess", 200, "3", std::nullopt}),
    [](const auto &info) { return std::string(info.param.name); });

struct LoadCase
{
    const char *name;
    const char *text;
    std::optional<int> waiting;
    std::optional<int> pacePercent;
};

struct ServerLoadTest : testing::TestWithParam<LoadCase>
{ };

// A fourth value made the whole header invalid, so that a server that reports its pace had no load.
TEST_P(ServerLoadTest, InvalidPaceLeavesTheOtherValues)
{
    const auto load =
        createCallerProtocol()
            .readResponseMetadata(200, {{"Jacinthyoke-Replica-Load", GetParam().text}})
            .load;
    ASSERT_EQ(load.has_value(), GetParam().waiting.has_value());
    if (load) {
        EXPECT_EQ(load->waiting, GetParam().waiting);
        EXPECT_EQ(load->pacePercent, GetParam().pacePercent);
    }
}

INSTANTIATE_TEST_SUITE_P(
    Values, ServerLoadTest,
    testing::Values(LoadCase{"WithoutPace", "3,1,8", 1, {}}, LoadCase{"Pace", "3,1,8,250", 1, 250},
                    LoadCase{"Spaces", "3, 1, 8, 90", 1, 90}, LoadCase{"Zero", "3,1,8,0", 1, {}},
                    LoadCase{"Negative", "3,1,8,-5", 1, {}}, LoadCase{"Word", "3,1,8,x", 1, {}},
                    LoadCase{"Fraction", "3,1,8,1.5", 1, {}}, LoadCase{"NoDigits", "3,1,8,", 1, {}},
                    LoadCase{"TooLarge", "3,1,8,99999999999", 1, {}},
                    LoadCase{"FiveValues", "3,1,8,100,1", {}, {}}, LoadCase{"Two", "3,1", {}, {}}),
    [](const auto &info) { return std::string(info.param.name); });

TEST(CallerCodecTest, LimitIsANumberOfRequests)
{
    const auto protocol = createCallerProtocol();
    const auto limit = [&](std::string text) {
        return protocol.readResponseMetadata(200, {{"Server-Limit", std::move(text)}}).requestLimit;
    };
    EXPECT_EQ(limit("2.8"), 2.8);
    EXPECT_EQ(limit("0"), 0);
    for (const char *malformed : {"", "x", "-1", "nan", "inf", "2,8"})
        EXPECT_FALSE(limit(malformed)) << malformed;
}

TEST(CallerCodecTest, LeavingRequiresTheValueOne)
{
    const auto protocol = createCallerProtocol();
    EXPECT_TRUE(protocol.readResponseMetadata(200, {{"Server-Leaving", "1"}}).leaving);
    EXPECT_FALSE(protocol.readResponseMetadata(200, {{"Server-Leaving", "0"}}).leaving);
    EXPECT_FALSE(protocol.readResponseMetadata(200, {}).leaving);
}

TEST(CallerCodecTest, RetryAfterHasFractions)
{
    HttpHeaders headers;
    createCallerProtocol().setRetryAfter(headers, milliseconds(2050));
    EXPECT_EQ(headers.value("Retry-After"), "2.050");
}

TEST(CallerCodecTest, Directory)
{
    const auto protocol = createCallerProtocol();
    const auto query = protocol.readDirectoryQuery(
        {.target = "/jacinthyoke/resolve?name=h.example&region=r&zone=z1"});
    ASSERT_TRUE(query);
    EXPECT_EQ(query->domain, DomainId("z1"));
    EXPECT_FALSE(protocol.readDirectoryQuery({.target = "/other"}));
    EXPECT_EQ(protocol.directoryResponse({{"10.0.0.1", 80}}, std::chrono::seconds(2)).body,
              R"({"addresses":["10.0.0.1:80"],"ttl_s":2})");
}

} // namespace

} // namespace jy::platform
