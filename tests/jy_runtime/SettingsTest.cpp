#include "jy_runtime/jy_runtime.h"

#include <gtest/gtest.h>

#include <algorithm>

namespace {

// Comments and a trailing comma are part of the accepted format.
const std::string validText = R"({
  // first router
  "instance": {"id": "r1", "domain": "d1", "region": "cascadia"},
  "listen": {"caller": "127.0.0.1:1", "rpc": "127.0.0.1:2",
             "gossip": "127.0.0.1:1", "operations": "127.0.0.1:3"},
  "kv": {"endpoints": ["127.0.0.1:4"]},
  "instanceList": {"endpoints": ["127.0.0.1:5"]},
  "peerKeys": {"sealWith": "k1", "keys": [{"id": "k1", "secret": "0123456789abcdef"}]},
  /* one operator */
  "operatorKeys": [{"name": "ann", "secret": "fedcba9876543210"}],
  "timings": {"probePeriodMs": 500},
})";

std::string replaced(std::string_view from, std::string_view to)
{
    auto text = validText;
    text.replace(text.find(from), from.size(), to);
    return text;
}

jy::Result<jy::RouterSettings> parse(const std::string &text)
{
    return jy::parseSettings<jy::RouterSettings>("router.json", text);
}

// Guards against ignored values and lost defaults.
TEST(Settings, ReadsValuesAndKeepsDefaults)
{
    const auto settings = parse(validText);
    ASSERT_TRUE(settings) << settings.error().message;
    EXPECT_EQ(settings.value().instance.region, jy::RegionId("cascadia"));
    EXPECT_EQ(jy::toString(settings.value().listen.operations), "127.0.0.1:3");
    EXPECT_EQ(settings.value().timings.probePeriod, std::chrono::milliseconds(500));
    EXPECT_EQ(settings.value().timings.suspicionTimeout, std::chrono::milliseconds(3000));
    EXPECT_EQ(settings.value().operatorKeys.at(0).name, "ann");
}

struct BadFile
{
    const char *name;
    const char *from;
    const char *to;
    const char *error;
};

class BadSettings : public testing::TestWithParam<BadFile>
{ };

// Guards against error messages that lack the file, the key, the value or the allowed values.
TEST_P(BadSettings, ErrorNamesKeyValueAndAllowedValues)
{
    const auto settings = parse(replaced(GetParam().from, GetParam().to));
    ASSERT_FALSE(settings);
    EXPECT_EQ(settings.error().kind, jy::ErrorKind::SettingsInvalid);
    EXPECT_EQ(settings.error().message, GetParam().error);
}

INSTANTIATE_TEST_SUITE_P(
    Files, BadSettings,
    testing::Values(
        BadFile{"WrongType", R"("r1")", "5",
                "router.json: instance.id: 5 is not allowed; allowed: a text that is not empty"},
        BadFile{"EmptyText", R"("r1")", R"("")",
                "router.json: instance.id: \"\" is not allowed; allowed: a text that is not "
                "empty"},
        BadFile{"Missing", R"("id": "r1",)", "",
                "router.json: instance.id: missing; required: a text that is not empty"},
        BadFile{"MissingGroup", R"("kv": {"endpoints": ["127.0.0.1:4"]},)", "",
                "router.json: kv.endpoints: missing; required: a list of at least 1, each an IP "
                "address and port such as \"10.0.0.1:8080\""},
        BadFile{"UnknownKey", R"("id": "r1")", R"("id": "r1", "zone": "z")",
                "router.json: instance.zone: unknown key; allowed keys: id, domain, region"},
        BadFile{"BelowRange", "500", "0",
                "router.json: timings.probePeriodMs: 0 is not allowed; allowed: a whole number "
                "from 1 to 60000"},
        BadFile{"Fraction", "500", "500.5",
                "router.json: timings.probePeriodMs: 5.005E2 is not allowed; allowed: a whole "
                "number from 1 to 60000"},
        BadFile{"Huge", "500", "99999999999999999999",
                "router.json: timings.probePeriodMs: 1E20 is not allowed; allowed: a whole number "
                "from 1 to 60000"},
        BadFile{"NameForAddress", "127.0.0.1:4", "kv:4",
                "router.json: kv.endpoints[0]: \"kv:4\" is not allowed; allowed: an IP address and "
                "port such as \"10.0.0.1:8080\""},
        BadFile{"EmptyList", R"(["127.0.0.1:4"])", "[]",
                "router.json: kv.endpoints: this list is not allowed; allowed: a list of at least "
                "1, each an IP address and port such as \"10.0.0.1:8080\""},
        BadFile{"NotAnObject", R"({"probePeriodMs": 500})", "[1]",
                "router.json: timings: this list is not allowed; allowed: an object"},
        BadFile{"HiddenSecret", "fedcba9876543210", "hunter2",
                "router.json: operatorKeys[0].secret: \"(hidden)\" is not allowed; allowed: a text "
                "of at least 16 characters"},
        BadFile{"UnknownSealingKey", R"("sealWith": "k1")", R"("sealWith": "k2")",
                "router.json: peerKeys.sealWith: \"k2\" is not allowed; allowed: the id of one of "
                "keys"},
        BadFile{"SamePort", "127.0.0.1:3", "127.0.0.1:2",
                "router.json: listen.operations: \"127.0.0.1:2\" is not allowed; allowed: "
                "different from caller and rpc, and those different from each other"},
        BadFile{"RuleBetweenKeys", R"("probePeriodMs": 500)",
                R"("probePeriodMs": 500, "probeTimeoutMs": 500)",
                "router.json: timings.probeTimeoutMs: 500 is not allowed; allowed: less than "
                "probePeriodMs"},
        BadFile{"BodyBeyondTheMemory", R"("timings")",
                R"("limits": {"memoryMb": 16, "maxBodyBytes": 4194305}, "timings")",
                "router.json: limits.maxBodyBytes: 4194305 is not allowed; allowed: at most a "
                "quarter of memoryMb"},
        BadFile{"Choice", R"("timings")", R"("logLevel": "loud", "timings")",
                "router.json: logLevel: \"loud\" is not allowed; allowed: one of \"debug\", "
                "\"info\", \"warn\", \"error\""},
        BadFile{"Syntax", R"("r1",)", R"("r1" "x")",
                "router.json:3:27: not valid JSON: syntax error"},
        BadFile{"ExtraData", "},\n}", "},\n}]", "router.json:12:2: not valid JSON: extra data"}),
    [](const auto &info) { return std::string(info.param.name); });

// Guards against a reader that stops at the first error.
TEST(Settings, ReportsAllErrorsAtOnce)
{
    const auto settings = parse("{}");
    ASSERT_FALSE(settings);
    const auto &message = settings.error().message;
    EXPECT_EQ(std::count(message.begin(), message.end(), '\n') + 1, 12) << message;
}

class NotAnObject : public testing::TestWithParam<const char *>
{ };

// Guards against a crash or silent defaults for a file that does not contain an object.
TEST_P(NotAnObject, IsRejected)
{
    EXPECT_FALSE(parse(GetParam()));
}

INSTANTIATE_TEST_SUITE_P(Texts, NotAnObject, testing::Values("", "[]", "3", "{", "// only"));

// Guards against secrets in the output of --print-settings.
TEST(Settings, PrintedSettingsHideSecretsAndShowDefaults)
{
    const auto printed = jy::effectiveSettings(parse(validText).value());
    EXPECT_EQ(printed.find("fedcba"), std::string::npos);
    EXPECT_EQ(printed.find("0123456789"), std::string::npos);
    EXPECT_NE(printed.find("\"suspicionTimeoutMs\": 3000"), std::string::npos) << printed;
}

// Guards against an outdated settings page. To regenerate the page:
// jyctl reference settings > docs/operations/settings.md
TEST(Settings, ReferencePageIsCurrent)
{
    const auto page = jy::readTextFile(JY_SOURCE_DIR "/docs/operations/settings.md");
    ASSERT_TRUE(page) << page.error().message;
    EXPECT_EQ(page.value(), jy::routerSettingsPage());
}

// Guards against an error for a missing file that does not contain its name.
TEST(Settings, ErrorNamesAnUnreadableFile)
{
    const auto settings = jy::loadSettings<jy::RouterSettings>("no-such-file.json");
    EXPECT_EQ(settings.error().message, "no-such-file.json: No such file or directory");
}

} // namespace
