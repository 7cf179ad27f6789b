#include "jy_gateway/settings/GatewaySettings.h"
#include "jy_runtime/settings/Settings.h"

#include <gtest/gtest.h>

#include <map>

namespace jy::platform {

namespace {

/** Fills the template as the platform does: inserts values and repeats the seeds' section. */
std::string render(std::string text, const std::map<std::string, std::string> &values,
                   const std::vector<std::string> &seeds)
{
    const std::string begin = "{{#seeds}}";
    const std::string end = "{{/seeds}}";
    const auto from = text.find(begin);
    const auto to = text.find(end);
    std::string list;
    for (const auto &seed : seeds)
        list += (list.empty() ? "\"" : ", \"") + seed + '"';
    text.replace(from, to + end.size() - from, list);
    for (const auto &[name, value] : values) {
        const auto placeholder = "{{" + name + "}}";
        for (auto at = text.find(placeholder); at != std::string::npos; at = text.find(placeholder))
            text.replace(at, placeholder.size(), value);
    }
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
};

struct TemplateTest : testing::TestWithParam<TemplateValues>
{ };

// Guards against instances that exit at startup because a number is rendered in an unexpected
// format: this happened with a link bandwidth of "1000.0" and a fractional retry bound.
TEST_P(TemplateTest, RenderedSettingsAreValid)
{
    const auto text = readTextFile(JY_SOURCE_DIR "/deploy/gateway-settings.json.in");
    ASSERT_TRUE(text);
    const auto rendered = render(text.value(),
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
                                  {"bounds.grace_s", GetParam().graceSeconds},
                                  {"bounds.retry_slack", GetParam().retrySlack},
                                  {"limits.cpu_share", GetParam().processorShare},
                                  {"limits.cores", GetParam().cores},
                                  {"limits.memory_mb", GetParam().memoryMb},
                                  {"limits.link_mbps", GetParam().linkMbps}},
                                 {"10.1.0.40:8229", "10.2.0.29:8229"});
    EXPECT_EQ(rendered.find("{{"), std::string::npos) << rendered;
    const auto settings = parseSettings<GatewaySettings>("settings", rendered);
    ASSERT_TRUE(settings) << settings.error().message;
    EXPECT_EQ(settings.value().seeds.size(), 2U);
    EXPECT_EQ(settings.value().listen.caller, (Endpoint{"10.1.0.40", 8227}));
}

INSTANTIATE_TEST_SUITE_P(Deployments, TemplateTest,
                         testing::Values(TemplateValues{"Whole", "200", "56", "8", "260", "1", "1"},
                                         TemplateValues{"Fractions", "1000.0", "3.31578947368421E1",
                                                        "8.5", "160.5", "0.12", "0.8"},
                                         TemplateValues{"WithPoint", "10.0", "56.0", "8.0", "512.0",
                                                        "0.25", "2.0"}),
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
