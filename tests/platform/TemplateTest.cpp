#include "jy_gateway/settings/GatewaySettings.h"
#include "jy_runtime/settings/Settings.h"

#include <gtest/gtest.h>

#include <map>

namespace jy::platform {

namespace {

using Values = std::map<std::string, std::string>;
using Lists = std::map<std::string, std::vector<std::string>>;

void replaceAll(std::string &text, const std::string &from, const std::string &to)
{
    for (auto at = text.find(from); at != std::string::npos; at = text.find(from, at + to.size()))
        text.replace(at, from.size(), to);
}

/** Repeats the body of the section @p name for each of the items; removes it if there are none. */
void renderSection(std::string &text, const std::string &name,
                   const std::vector<std::string> &items)
{
    const std::string begin = "{{#" + name + "}}";
    const std::string end = "{{/" + name + "}}";
    const auto from = text.find(begin);
    const auto to = text.find(end);
    if (from == std::string::npos || to == std::string::npos)
        return;
    const auto body = text.substr(from + begin.size(), to - from - begin.size());
    std::string rendered;
    for (std::size_t i = 0; i < items.size(); ++i) {
        auto item = body;
        replaceAll(item, "{{.}}", items[i]);
        replaceAll(item, "{{,}}", i + 1 < items.size() ? "," : "");
        rendered += item;
    }
    text.replace(from, to + end.size() - from, rendered);
}

/** Fills the template as the platform does: repeats sections of lists, keeps or removes sections of
 * single values, and inserts values. */
std::string render(std::string text, const Values &values, const Lists &lists)
{
    for (const auto &[name, value] : values)
        renderSection(text, name, value.empty() ? std::vector<std::string>() : std::vector{value});
    for (const auto &[name, items] : lists) {
        renderSection(text, name, items);
        renderSection(text, name + ".0",
                      items.empty() ? items : std::vector<std::string>{items.front()});
    }
    for (const auto &[name, value] : values)
        replaceAll(text, "{{" + name + "}}", value);
    return text;
}

/** Values in the number formats that the platform may render. */
struct TemplateValues
{
    const char *name;
    const char *linkMbps;
    const char *retrySlack;
    const char *graceSeconds;
    const char *memoryMb;
    const char *processorShare;
    const char *cores;

    /** Names of duties; empty for a deployment without duties. */
    std::vector<std::string> duties;
    const char *leaseMs = "";
    const char *usageWindow = "";
    const char *heartbeatMs = "1200.0";
};

struct TemplateTest : testing::TestWithParam<TemplateValues>
{ };

// Guards against instances that exit at startup because a number is rendered in an unexpected
// format: this happened with a link bandwidth of "1000.0" and a fractional retry bound.
TEST_P(TemplateTest, RenderedSettingsAreValid)
{
    const auto text = readTextFile(JY_SOURCE_DIR "/deploy/gateway-settings.json.in");
    ASSERT_TRUE(text);
    const auto rendered = render(
        text.value(),
        {{"node_name", "front-a-1"},
         {"zone", "a"},
         {"region", "r"},
         {"ip", "10.1.0.40"},
         {"listen.front", "10.1.0.40:8227"},
         {"listen.directory", "10.1.0.40:8224"},
         {"listen.ready", "10.1.0.40:8220"},
         {"listen.control", "10.1.0.40:8229"},
         {"internal_ports.0", "7340"},
         {"platform.address", "10.200.1.7:8223"},
         {"heartbeat_ms", GetParam().heartbeatMs},
         {"bounds.grace_s", GetParam().graceSeconds},
         {"bounds.retry_slack", GetParam().retrySlack},
         {"limits.cpu_share", GetParam().processorShare},
         {"limits.cores", GetParam().cores},
         {"limits.memory_mb", GetParam().memoryMb},
         {"limits.link_mbps", GetParam().linkMbps},
         {"cloud_api.address", "10.200.0.113:8424"},
         {"cloud_api.duty_per_s", ""},
         {"bounds.fencing_required", ""},
         {"bounds.lease_ms", GetParam().leaseMs},
         {"bounds.usage_window_s", GetParam().usageWindow},
         {"bounds.usage_late_s", "10"}},
        {{"seeds", {"10.1.0.40:8229", "10.2.0.29:8229"}}, {"cloud_api.duties", GetParam().duties}});
    EXPECT_EQ(rendered.find("{{"), std::string::npos) << rendered;
    const auto settings = parseSettings<GatewaySettings>("settings", rendered);
    ASSERT_TRUE(settings) << settings.error().message;
    EXPECT_EQ(settings.value().seeds.size(), 2U);
    EXPECT_EQ(settings.value().listen.caller, (Endpoint{"10.1.0.40", 8227}));
    EXPECT_EQ(settings.value().duties.names, GetParam().duties);
}

INSTANTIATE_TEST_SUITE_P(
    Deployments, TemplateTest,
    testing::Values(
        TemplateValues{"Whole", "200", "56", "8", "260", "1", "1", {}},
        TemplateValues{
            "Fractions", "1000.0", "3.31578947368421E1", "8.5", "160.5", "0.12", "0.8", {}},
        TemplateValues{"WithPoint", "10.0", "56.0", "8.0", "512.0", "0.25", "2.0", {}},
        TemplateValues{"Duties",
                       "200",
                       "56",
                       "8",
                       "260",
                       "1",
                       "1",
                       {"usage_report", "autoscale"},
                       "3000",
                       "5",
                       "1200"},
        TemplateValues{"DutiesInFractions",
                       "200",
                       "56",
                       "8",
                       "260",
                       "1",
                       "1",
                       {"usage_report"},
                       "3000.0",
                       "2.5",
                       ""}),
    [](const auto &info) { return std::string(info.param.name); });

struct InvalidDuties
{
    const char *name;
    const char *duties;
    const char *reportedKey;
};

struct InvalidDutiesTest : testing::TestWithParam<InvalidDuties>
{ };

// Guards against a gateway that starts with duties that it cannot perform, and against an error
// that does not name the key.
TEST_P(InvalidDutiesTest, ErrorNamesTheKey)
{
    const auto settings = parseSettings<GatewaySettings>(
        "settings", std::string(R"({"duties":)") + GetParam().duties + "}");
    ASSERT_FALSE(settings);
    EXPECT_NE(settings.error().message.find(GetParam().reportedKey), std::string::npos)
        << settings.error().message;
}

INSTANTIATE_TEST_SUITE_P(
    Settings, InvalidDutiesTest,
    testing::Values(
        InvalidDuties{"AddressWithoutDuties", R"({"address":"10.0.0.1:80"})", "duties.names"},
        InvalidDuties{"DutiesWithoutAddress", R"({"names":["a"]})", "duties.address"},
        InvalidDuties{"EmptyWindow", R"({"usageWindowSeconds":0})", "duties.usageWindowSeconds"}),
    [](const auto &info) { return std::string(info.param.name); });

// Guards against a settings page that does not match the program. To regenerate the page:
// jyctl reference gateway-settings > docs/operations/gateway-settings.md
TEST(GatewaySettingsTest, ReferencePageIsCurrent)
{
    const auto page = readTextFile(JY_SOURCE_DIR "/docs/operations/gateway-settings.md");
    ASSERT_TRUE(page) << page.error().message;
    EXPECT_EQ(page.value(), gatewaySettingsPage());
}

} // namespace

} // namespace jy::platform
