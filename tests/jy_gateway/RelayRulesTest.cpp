#include "jy_gateway/model/RoutingConfig.h"
#include "jy_gateway/relay/EventSplitter.h"
#include "jy_gateway/relay/LogRateLimiter.h"
#include "jy_gateway/relay/ResponseRules.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

namespace jy::test {

namespace {

struct ResponseCase
{
    const char *name;
    int status;
    ResponseMetadata metadata;
    ResponseClass expected;
};

struct ResponseRulesTest : testing::TestWithParam<ResponseCase>
{ };

TEST_P(ResponseRulesTest, HeadIsClassified)
{
    EXPECT_EQ(classifyResponse(GetParam().status, GetParam().metadata, RequestId("r1")),
              GetParam().expected);
}

INSTANTIATE_TEST_SUITE_P(
    Responses, ResponseRulesTest,
    testing::Values(
        ResponseCase{"SealedSuccess", 200, {.sealed = true}, ResponseClass::Deliver},
        ResponseCase{"SuccessWithoutSeal", 200, {}, ResponseClass::Unusable},
        ResponseCase{
            "ReencodedSuccess", 200, {.sealed = true, .reencoded = true}, ResponseClass::Unusable},
        ResponseCase{"ServerFailure", 500, {.sealed = true}, ResponseClass::Failed},
        ResponseCase{
            "RefusedByServer", 503, {.requestId = "r1", .notRun = true}, ResponseClass::NotRun},
        ResponseCase{
            "Misdirected", 421, {.requestId = "r1", .misdirected = true}, ResponseClass::NotRun},
        ResponseCase{"RefusalWithoutId", 503, {.notRun = true}, ResponseClass::Unusable},
        // Callers would take these to mean "not run", which the server has not stated.
        ResponseCase{"UnavailableWithoutNotRun", 503, {.sealed = true}, ResponseClass::Unusable},
        ResponseCase{"TooManyWithoutNotRun", 429, {}, ResponseClass::Unusable},
        ResponseCase{"TimeoutWithoutNotRun", 408, {}, ResponseClass::Unusable},
        ResponseCase{"BadRequest", 400, {}, ResponseClass::Deliver}),
    [](const auto &info) { return std::string(info.param.name); });

TEST(EventSplitterTest, IncompleteEventIsHeldBack)
{
    EventSplitter splitter;
    EXPECT_EQ(splitter.add("id: 1\ndata: a\n\nid: 2\nda"), "id: 1\ndata: a\n\n");
    EXPECT_EQ(splitter.lastId(), "1");
    EXPECT_TRUE(splitter.hasRemainder());
    EXPECT_EQ(splitter.add("ta: b\n\n"), "id: 2\ndata: b\n\n");
    EXPECT_EQ(splitter.lastId(), "2");
    EXPECT_FALSE(splitter.hasRemainder());
}

RC_GTEST_PROP(EventSplitterTest, PartsAddUpToTheStream, (const std::vector<std::uint8_t> &cuts))
{
    std::string stream;
    for (int i = 1; i < 20; ++i)
        stream += "id: " + std::to_string(i) + "\ndata: x\n\n";
    EventSplitter splitter;
    std::string delivered;
    std::size_t position = 0;
    for (const auto cut : cuts) {
        const auto size = std::min<std::size_t>(cut, stream.size() - position);
        delivered += splitter.add(std::string_view(stream).substr(position, size));
        position += size;
        RC_ASSERT(delivered.empty() || delivered.ends_with("\n\n"));
    }
    delivered += splitter.add(std::string_view(stream).substr(position));
    RC_ASSERT(delivered == stream);
    RC_ASSERT(splitter.lastId() == "19");
}

struct RouteCase
{
    const char *host;
    const char *path;
    const char *route;
};

struct RouteTest : testing::TestWithParam<RouteCase>
{ };

TEST_P(RouteTest, LongestPrefixOfTheHostWins)
{
    RoutingConfig config;
    config.addRoute({.name = "short", .host = "a.example", .prefix = "/x/"});
    config.addRoute({.name = "long", .host = "a.example", .prefix = "/x/y/"});
    config.addRoute({.name = "other", .host = "b.example", .prefix = "/"});
    const auto *route = config.findRoute(GetParam().host, GetParam().path);
    EXPECT_EQ(route ? route->name : "", GetParam().route);
}

INSTANTIATE_TEST_SUITE_P(Paths, RouteTest,
                         testing::Values(RouteCase{"a.example", "/x/1", "short"},
                                         RouteCase{"a.example", "/x/y/1", "long"},
                                         RouteCase{"A.Example:80", "/x/y/", "long"},
                                         RouteCase{"a.example", "/x", ""},
                                         RouteCase{"b.example", "/x/1", "other"},
                                         RouteCase{"c.example", "/x/1", ""}));

TEST(LogRateLimiterTest, LinesPerSecondAreLimited)
{
    LogRateLimiter limiter(10);
    const TimePoint start{std::chrono::hours(1)};
    int written = 0;
    for (int i = 0; i < 100; ++i)
        written += limiter.allow(start + std::chrono::milliseconds(i)) ? 1 : 0;
    EXPECT_EQ(written, 10);
    EXPECT_EQ(limiter.takeDropped(), 90U);
    EXPECT_TRUE(limiter.allow(start + std::chrono::seconds(1)));
    EXPECT_EQ(limiter.takeDropped(), 0U);
}

TEST(RouteTest, SharesFollowTheWeights)
{
    const Route route{.shares = {{ServiceId("a"), 90}, {ServiceId("b"), 10}}};
    EXPECT_EQ(pickService(route, 0.0), ServiceId("a"));
    EXPECT_EQ(pickService(route, 0.89), ServiceId("a"));
    EXPECT_EQ(pickService(route, 0.91), ServiceId("b"));
    EXPECT_EQ(pickService(route, 0.9999), ServiceId("b"));
}

} // namespace

} // namespace jy::test
