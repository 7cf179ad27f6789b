#include "jy_router/operations/OperatorApi.h"

#include <boost/json/parse.hpp>
#include <gtest/gtest.h>

namespace {

const std::vector<jy::OperatorKeySettings> keySettings{{"ann", "0123456789abcdef"},
                                                       {"bob", "fedcba9876543210"}};

class OperatorApi : public testing::Test
{
protected:
    jy::HttpResponse send(std::string method, std::string target, std::string body = {},
                          const std::string &key = "0123456789abcdef")
    {
        jy::HttpRequest request{.method = std::move(method), .target = std::move(target)};
        request.headers.add("Authorization", "Bearer " + key);
        request.headers.add("X-Request-Id", "r-1");
        request.body = std::move(body);
        return api_.answer(request);
    }

    static jy::Result<jy::ServerExplanation> explainServer(const jy::ServerId &server)
    {
        if (server != jy::ServerId("s1"))
            return jy::failure(jy::ErrorKind::UnknownTarget, "no such server");
        return jy::ServerExplanation{.server = server};
    }

    jy::OperatorKeys keys_{keySettings};
    jy::EventBuffer events_{"r1", 16};
    jy::Metrics metrics_;
    jy::FleetStatus status_;
    jy::ApplyRequest applied_;
    jy::Readiness readiness_{false, "no configuration"};
    jy::OperatorApi api_{jy::OperatorApi::Dependencies{
        .keys = keys_,
        .events = events_,
        .metrics = metrics_,
        .incarnation = 7,
        .readiness = [this] { return readiness_; },
        .status = [this] { return status_; },
        .explainChat = [](const jy::ChatQuestion &question) -> jy::Result<jy::ChatExplanation> {
            return jy::ChatExplanation{.model = question.model, .home = jy::ServerId("s1")};
        },
        .explainServer = explainServer,
        .config = []() -> jy::Result<jy::ConfigDocument> {
            return jy::ConfigDocument{4, "ann", "{}"};
        },
        .apply = [this](const jy::ApplyRequest &request) -> jy::Result<jy::ApplyResult> {
            applied_ = request;
            if (request.text == "conflict")
                return jy::failure(jy::ErrorKind::ConfigConflict, "revision 5 is in force");
            return jy::ApplyResult{5, {"slow"}};
        }}};
};

struct Exchange
{
    const char *name;
    const char *method;
    const char *target;
    int status;
    const char *text;
};

class OperatorApiExchange : public OperatorApi, public testing::WithParamInterface<Exchange>
{ };

// Guards against a wrong status or an error that does not say what is allowed.
TEST_P(OperatorApiExchange, AnswersWithStatusAndText)
{
    const auto response = send(GetParam().method, GetParam().target, "{}");
    EXPECT_EQ(response.status, GetParam().status) << response.body;
    EXPECT_NE(response.body.find(GetParam().text), std::string::npos) << response.body;
}

INSTANTIATE_TEST_SUITE_P(
    Requests, OperatorApiExchange,
    testing::Values(
        Exchange{"Health", "GET", "/healthz", 200, "ok"},
        Exchange{"NotReady", "GET", "/readyz", 503, "no configuration"},
        Exchange{"Metrics", "GET", "/metrics", 200, ""},
        Exchange{"Status", "GET", "/ops/status", 200, "\"live_routers\":0"},
        Exchange{"StatusMethod", "POST", "/ops/status", 405, "allowed: GET"},
        Exchange{"Chat", "GET", "/ops/explain?chat=c&workspace=w", 200, "\"home\":\"s1\""},
        Exchange{"ChatAlone", "GET", "/ops/explain?chat=c", 400, "workspace"},
        Exchange{"Server", "GET", "/ops/explain?server=s1", 200, "\"owned_here\":false"},
        Exchange{"UnknownServer", "GET", "/ops/explain?server=s2", 404, "unknown_target"},
        Exchange{"NothingToExplain", "GET", "/ops/explain", 400, "exactly one"},
        Exchange{"BothToExplain", "GET", "/ops/explain?chat=c&server=s1", 400, "exactly one"},
        Exchange{"Events", "GET", "/ops/events", 200, "\"incarnation\":7"},
        Exchange{"BadSince", "GET", "/ops/events?since=-1", 400, "whole number"},
        Exchange{"Config", "GET", "/ops/config", 200, "{}"},
        Exchange{"Apply", "PUT", "/ops/config", 200, "\"revision\":5,\"warnings\":[\"slow\"]"},
        Exchange{"ConfigMethod", "DELETE", "/ops/config", 405, "GET, PUT"},
        Exchange{"UnknownPath", "GET", "/ops/x", 404, "/ops/x"}),
    [](const auto &info) { return std::string(info.param.name); });

// Guards against access without a key, with a wrong key and with the prefix of a key.
TEST_F(OperatorApi, RefusesInvalidKeysAndCountsThem)
{
    for (const auto *key : {"", "wrong", "0123456789abcde", "0123456789abcdef0"})
        EXPECT_EQ(send("GET", "/ops/status", {}, key).status, 401);
    EXPECT_EQ(send("GET", "/ops/unknown", {}, "wrong").status, 401);
    EXPECT_EQ(metrics_.counter("jy_operator_keys_refused_total", "").value(), 5U);
    EXPECT_EQ(send("GET", "/readyz", {}, "wrong").status, 503);
}

// Guards against a rotation that keeps the old key valid or needs a restart.
TEST_F(OperatorApi, ReplacedKeysStopWorkingAtOnce)
{
    keys_.replace({{"eve", "a-new-key-for-eve"}});
    EXPECT_EQ(send("GET", "/ops/status").status, 401);
    EXPECT_EQ(send("GET", "/ops/status", {}, "a-new-key-for-eve").status, 200);
}

// Guards against changes without an author and against a check that changes something.
TEST_F(OperatorApi, PassesAuthorRequestIdAndCheckToTheHook)
{
    send("PUT", "/ops/config?check=1", "text", "fedcba9876543210");
    EXPECT_EQ(applied_.author, "bob");
    EXPECT_EQ(applied_.requestId, "r-1");
    EXPECT_EQ(applied_.text, "text");
    EXPECT_TRUE(applied_.checkOnly);
    EXPECT_EQ(send("PUT", "/ops/config", "conflict").status, 409);
    EXPECT_FALSE(applied_.checkOnly);
}

// Guards against an apply that cannot be repeated safely after a lost response.
TEST_F(OperatorApi, ApplyNeedsARequestId)
{
    jy::HttpRequest request{.method = "PUT", .target = "/ops/config"};
    request.headers.add("Authorization", "bearer 0123456789abcdef");
    EXPECT_EQ(api_.answer(request).status, 400);
    EXPECT_TRUE(applied_.author.empty());
}

// Guards against a dead router that counts as lagging, and a lagging one that is not named.
TEST_F(OperatorApi, StatusNamesLaggingLiveRouters)
{
    status_.revision = 5;
    status_.routers = {{.id = jy::InstanceId("r1"), .state = "alive", .appliedRevision = 5},
                       {.id = jy::InstanceId("r2"), .state = "suspect", .appliedRevision = 4},
                       {.id = jy::InstanceId("r3"), .state = "dead", .appliedRevision = 1}};
    const auto body = boost::json::parse(send("GET", "/ops/status").body);
    EXPECT_EQ(body.at("live_routers").as_int64(), 2);
    EXPECT_EQ(body.at("in_force_on").as_int64(), 1);
    EXPECT_EQ(body.at("lagging"), boost::json::value({"r2"}));
}

// Guards against events that lose their order, filter or content on the wire.
TEST_F(OperatorApi, EventsAreFilteredAndPaged)
{
    for (const auto *chat : {"a", "b", "a"})
        events_.record({.kind = "request-done", .fields = {{"chat", chat}}});
    const auto body = boost::json::parse(send("GET", "/ops/events?chat=a&limit=1&since=1").body);
    ASSERT_EQ(body.at("events").as_array().size(), 1U);
    EXPECT_EQ(body.at("events").at(0).at("sequence").as_int64(), 3);
    EXPECT_EQ(body.at("events").at(0).at("fields").at("chat"), "a");
    EXPECT_EQ(body.at("next").as_int64(), 3);
}

} // namespace
