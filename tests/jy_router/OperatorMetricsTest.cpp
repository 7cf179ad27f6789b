#include "jy_router/operations/StatusMetrics.h"
#include "jy_runtime/settings/Settings.h"

#include <gtest/gtest.h>

namespace {

jy::FleetStatus sampleStatus()
{
    return {.ready = true,
            .revision = 5,
            .routers = {{.id = jy::InstanceId("r1"), .state = "alive"}},
            .ownedServers = {{.id = jy::ServerId("s1"), .target = "m", .inFlight = 3}},
            .domains = {{.id = jy::DomainId("d1"), .admittedShare = 0.5}},
            .moves = {{.id = jy::MoveId("m1"), .state = "judging", .share = 0.05}}};
}

// Guards against values of servers that the router no longer owns and against counts added twice.
TEST(OperatorMetrics, FollowTheStatus)
{
    jy::Metrics metrics;
    jy::EventBuffer events("r1", 1);
    auto status = sampleStatus();
    jy::collectStatusMetrics(
        metrics, [&status] { return status; }, events);
    events.record({.kind = "k"});
    events.record({.kind = "k"});
    auto text = metrics.prometheusText();
    EXPECT_NE(text.find("jy_server_in_flight{server=\"s1\",target=\"m\"} 3\n"), std::string::npos);
    EXPECT_NE(text.find("jy_routers{state=\"alive\"} 1\n"), std::string::npos);
    status.ownedServers.clear();
    text = metrics.prometheusText();
    EXPECT_EQ(text.find("server=\"s1\""), std::string::npos) << text;
    EXPECT_NE(text.find("jy_events_total{kind=\"k\"} 2\n"), std::string::npos) << text;
}

// Guards against a metric that the reference page lacks or explains differently.
TEST(OperatorMetrics, ReferencePageNamesEachMetric)
{
    jy::Metrics metrics;
    jy::EventBuffer events("r1", 1);
    events.record({.kind = "k"});
    jy::updateStatusMetrics(metrics, sampleStatus(), events);
    const auto page = jy::readTextFile(JY_SOURCE_DIR "/docs/operations/metrics.md").value();
    const auto text = metrics.prometheusText();
    constexpr std::string_view mark = "# HELP ";
    int names = 0;
    for (auto at = text.find(mark); at != std::string::npos; at = text.find(mark, at + 1)) {
        const auto nameStart = at + mark.size();
        const auto nameEnd = text.find(' ', nameStart);
        const auto name = text.substr(nameStart, nameEnd - nameStart);
        const auto help = text.substr(nameEnd + 1, text.find('\n', nameEnd) - nameEnd - 1);
        const auto row = page.find("| `" + name + "` |");
        ASSERT_NE(row, std::string::npos) << name;
        EXPECT_NE(page.substr(row, page.find('\n', row) - row).find(help), std::string::npos)
            << name;
        ++names;
    }
    EXPECT_GE(names, 14);
}

} // namespace
