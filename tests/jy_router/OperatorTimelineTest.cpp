#include "jy_router/operations/client/ConfigDifference.h"
#include "jy_router/operations/client/OperatorClient.h"
#include "jy_router/operations/client/OperatorText.h"
#include "jy_router/operations/timeline/Timeline.h"

#include "jy_runtime/events/EventJson.h"

#include <boost/json/parse.hpp>
#include <gtest/gtest.h>

namespace {

jy::Event event(std::int64_t wallMs, std::uint32_t counter, std::string process,
                std::string value = "x")
{
    return {.time = {wallMs, counter},
            .process = std::move(process),
            .kind = "k",
            .fields = {{"f", std::move(value)}},
            .sequence = 1};
}

// Guards against an effect printed before its cause and against a gap that is not shown.
TEST(OperatorTimeline, OrdersByHybridTimeAndNamesGaps)
{
    const auto timeline = jy::mergeTimeline(
        {{.process = "r2", .events = {event(1000, 1, "r2")}, .lost = 3},
         {.process = "r1", .events = {event(1000, 0, "r1"), event(1000, 2, "r1", "a b")}},
         {.process = "r3", .error = "connection refused"}});
    EXPECT_EQ(jy::timelineText(timeline),
              "# r2: 3 older events are no longer held\n"
              "# r3: no events: connection refused\n"
              "1970-01-01T00:00:01.000Z+0 r1 k f=x\n"
              "1970-01-01T00:00:01.000Z+1 r2 k f=x\n"
              "1970-01-01T00:00:01.000Z+2 r1 k f=\"a b\"\n");
}

// Guards against event content that runs as markup or script on an operator's machine.
TEST(OperatorTimeline, PageKeepsEventContentAsData)
{
    const auto page = jy::timelineHtml(
        jy::mergeTimeline({{.process = "r1", .events = {event(1, 0, "r1", "</script><b>")}}}));
    EXPECT_EQ(page.find("</script><b>"), std::string::npos);
    EXPECT_EQ(page.find("http"), std::string::npos) << "the page must be self-contained";
}

// Guards against an event that changes on its way to the timeline.
TEST(OperatorTimeline, EventsAreReadBackFromJson)
{
    const auto original = event(5, 6, "r1", "ü\"");
    const auto read = jy::eventFromJson(jy::toJson(original));
    ASSERT_TRUE(read) << read.error().message;
    EXPECT_EQ(read.value().time, original.time);
    EXPECT_EQ(read.value().fields, original.fields);
    EXPECT_FALSE(jy::eventFromJson(boost::json::parse(R"({"wall_ms": 1})")));
}

// Guards against a conflict report that hides a change.
TEST(OperatorDifference, NamesEveryChangedPath)
{
    const auto before = boost::json::parse(R"({"a": {"x": 1, "y": [1]}, "b": 2})");
    const auto after = boost::json::parse(R"({"a": {"x": 1, "y": [2]}, "c": {"z": 3}})");
    EXPECT_EQ(jy::jsonDifference(before, after),
              (std::vector<std::string>{"~ a.y: [1] -> [2]", "- b: 2", "+ c: {\"z\":3}"}));
    EXPECT_TRUE(jy::jsonDifference(before, before).empty());
}

// Guards against a status that looks healthy although routers lag or the KV service is away.
TEST(OperatorText, StatusShowsLaggingRoutersAndOutages)
{
    const auto text = jy::statusText(boost::json::parse(
        R"({"instance": "r1", "ready": true, "revision": 5, "head_revision": 6, "in_force_on": 1,
            "live_routers": 2, "lagging": ["r2"], "kv_reachable": false,
            "domains": [{"id": "d1", "state": "out", "admitted_share": 0.255}]})"));
    EXPECT_NE(text.find("revision 5 in force on 1 of 2 live routers; lagging: r2\n"),
              std::string::npos);
    EXPECT_NE(text.find("highest revision known: 6"), std::string::npos);
    EXPECT_NE(text.find("KV service unreachable"), std::string::npos);
    EXPECT_NE(text.find("out            "), std::string::npos) << text;
    EXPECT_NE(text.find("0.26"), std::string::npos) << text;
}

// Guards against a crash on a response of another release or of another program.
TEST(OperatorText, ToleratesMissingMembers)
{
    for (const auto *body : {"{}", "[]", "null", R"({"routers": [1]})"}) {
        const auto value = boost::json::parse(body);
        jy::statusText(value);
        jy::chatExplanationText(value);
        jy::serverExplanationText(value);
    }
}

// Guards against an error that loses its kind, which decides the exit code.
TEST(OperatorClient, ReadsErrorsFromResponses)
{
    const auto conflict = jy::errorFromResponse(
        jy::errorResponse(jy::Error{jy::ErrorKind::ConfigConflict, "revision 5 is in force"}));
    EXPECT_EQ(conflict.kind, jy::ErrorKind::ConfigConflict);
    EXPECT_EQ(conflict.message, "revision 5 is in force");
    const auto foreign = jy::errorFromResponse({.status = 502, .body = "<html>"});
    EXPECT_EQ(foreign.kind, jy::ErrorKind::BackendFailed);
}

// Guards against a list that is read only in part.
TEST(OperatorClient, ReadsEndpointLists)
{
    EXPECT_EQ(jy::endpointsFromList("127.0.0.1:1,127.0.0.1:2").value().size(), 2U);
    for (const auto *text : {"", "127.0.0.1:1,", "127.0.0.1:1,host:2"})
        EXPECT_FALSE(jy::endpointsFromList(text)) << text;
}

} // namespace
