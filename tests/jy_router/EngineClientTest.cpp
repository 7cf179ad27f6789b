#include "jy_router/ScriptedEngine.h"

#include <rapidcheck/gtest.h>

using namespace std::chrono_literals;
using namespace jy::test;
using K = jy::ErrorKind;

namespace {

const jy::EngineClientSettings fastSettings{.resumeDelay = 1ms};

struct Received
{
    std::string tokens;
    std::optional<K> error;
    int resumes = 0;
};

jy::ChatCall chatCall()
{
    return {.requestId = jy::RequestId("r1"),
            .workspace = jy::WorkspaceId("w"),
            .chat = jy::ChatId("c"),
            .body = R"({"stream":true})",
            .deadline = std::chrono::steady_clock::now() + 5s};
}

std::shared_ptr<jy::HttpClient> httpClient(jy::EventLoop &loop)
{
    return jy::HttpClient::create(loop, clientSettings());
}

Received receive(jy::EventLoop &loop, const ScriptedEngine &engine, const jy::ChatCall &call,
                 const jy::EngineClientSettings &settings = fastSettings)
{
    auto client = jy::EngineClient::create(httpClient(loop), settings);
    Received out;
    auto stream = client->openStream(engine.endpoint(), call, nullptr);
    if (!stream) {
        out.error = stream.error().kind;
        return out;
    }
    while (true) {
        auto event = stream.value()->next();
        out.resumes = stream.value()->resumes();
        if (!event)
            out.error = event.error().kind;
        if (!event || !event.value())
            return out;
        out.tokens += event.value()->data.substr(5);
    }
}

struct StreamCase
{
    std::string name;
    EngineScript script;
    std::string tokens;
    std::optional<K> error;
    int resumes = 0;
};

class EngineStream : public testing::TestWithParam<StreamCase>
{ };

// Guards against events that are missing, duplicated or taken from a second generation.
TEST_P(EngineStream, DeliversEachEventOnceOrAnError)
{
    jy::EventLoop loop;
    loop.run([&] {
        ScriptedEngine engine(loop, GetParam().script);
        const auto received = receive(loop, engine, chatCall());
        EXPECT_EQ(received.tokens, GetParam().tokens);
        EXPECT_EQ(received.error, GetParam().error);
        EXPECT_EQ(received.resumes, GetParam().resumes);
    });
}

INSTANTIATE_TEST_SUITE_P(
    Scripts, EngineStream,
    testing::Values(
        StreamCase{"Complete", {}, "12345", {}, 0},
        StreamCase{"CompleteWithoutIds", {.sendsIds = false}, "12345", {}, 0},
        StreamCase{"BreaksOnce", {.breakAfter = {2}}, "12345", {}, 1},
        StreamCase{"BreaksBeforeTheFirstEvent", {.breakAfter = {0}}, "12345", {}, 1},
        StreamCase{"BreaksBeforeTheEndMarker", {.breakAfter = {5}}, "12345", {}, 1},
        StreamCase{"BreaksTooOften", {.breakAfter = {1, 0, 1, 0}}, "12", K::BackendBroken, 3},
        StreamCase{
            "CannotResume", {.breakAfter = {2}, .resumes = false}, "12", K::BackendBroken, 1},
        StreamCase{"StartsASecondGeneration",
                   {.breakAfter = {2}, .ignoresResume = true},
                   "12",
                   K::BackendBroken,
                   1},
        StreamCase{
            "BreaksWithoutIds", {.breakAfter = {2}, .sendsIds = false}, "12", K::BackendBroken, 0},
        StreamCase{"SkipsAnEvent", {.skip = 3}, "12345", {}, 1},
        StreamCase{"RepeatsAnEvent", {.repeat = 3}, "12345", {}, 0},
        StreamCase{"ErrorEvent", {.errorAt = 3}, "12", K::BackendFailed, 0},
        StreamCase{"Overloaded", {.status = 503}, "", K::BackendFailed, 0}),
    [](const auto &info) { return info.param.name; });

RC_GTEST_PROP(EngineStreamProperty, AnyThreeBreaksLoseNothing, ())
{
    EngineScript script{.events = *rc::gen::inRange(0, 9)};
    const auto breaks = *rc::gen::inRange(0, 4);
    for (int i = 0; i < breaks; ++i)
        script.breakAfter.push_back(*rc::gen::inRange(0, 9));
    std::string expected;
    for (int i = 1; i <= script.events; ++i)
        expected += std::to_string(i);
    static jy::EventLoop loop;
    loop.run([&] {
        ScriptedEngine engine(loop, script);
        const auto received = receive(loop, engine, chatCall());
        RC_ASSERT(received.tokens == expected);
        RC_ASSERT(!received.error);
    });
}

// Guards against a stall that holds a stream for ever.
TEST(EngineClient, SilentStreamResumesAndTheDeadlineEndsIt)
{
    jy::EventLoop loop;
    loop.run([&] {
        ScriptedEngine engine(loop, {.eventDelay = 200ms});
        auto call = chatCall();
        call.deadline = std::chrono::steady_clock::now() + 150ms;
        const auto received =
            receive(loop, engine, call, {.eventTimeout = 60ms, .resumeDelay = 1ms});
        EXPECT_EQ(received.error, K::DeadlineExceeded);
        EXPECT_GE(received.resumes, 1);
        EXPECT_TRUE(eventually([&] { return !engine.cancelled.empty(); }));
    });
}

// Guards against a generation that goes on after its stream was abandoned.
TEST(EngineClient, AbandonedWorkIsCancelledAtTheEngine)
{
    jy::EventLoop loop;
    loop.run([&] {
        ScriptedEngine engine(loop, {});
        auto client = jy::EngineClient::create(httpClient(loop), fastSettings);
        ASSERT_TRUE(client->openStream(engine.endpoint(), chatCall(), nullptr).value()->next());
        EXPECT_TRUE(eventually([&] { return engine.cancelled == std::vector<std::string>{"r1"}; }));
        engine.script.headDelay = 100ms;
        auto call = chatCall();
        call.deadline = std::chrono::steady_clock::now() + 20ms;
        EXPECT_EQ(client->complete(engine.endpoint(), call, nullptr).error().kind,
                  K::DeadlineExceeded);
        EXPECT_TRUE(eventually([&] { return engine.cancelled.size() == 2; }));
    });
}

struct ControlCase
{
    std::string name;
    int status;
    std::string body;
    std::optional<K> loadError;
    std::optional<K> orderError;
};

class EngineControl : public testing::TestWithParam<ControlCase>
{ };

// Guards against a malformed answer of an engine that crashes a router or passes as a report.
TEST_P(EngineControl, MapsAnswersToErrors)
{
    jy::EventLoop loop;
    loop.run([&] {
        auto server = jy::HttpServer::create(loop, {}, [](const auto &, auto &responder) {
                          responder.send(GetParam().status, {}, GetParam().body);
                      }).value();
        auto client = jy::EngineClient::create(httpClient(loop), fastSettings);
        const auto load = client->load(server->localEndpoint());
        EXPECT_EQ(load ? std::nullopt : std::optional(load.error().kind), GetParam().loadError);
        const auto order = client->order(server->localEndpoint(), {.fencingToken = 7});
        EXPECT_EQ(order ? std::nullopt : std::optional(order.error().kind), GetParam().orderError);
    });
}

INSTANTIATE_TEST_SUITE_P(
    Answers, EngineControl,
    testing::Values(
        ControlCase{"Good", 200, R"({"start_identity":"s","in_flight":3,"loaded":[{}]})", {}, {}},
        ControlCase{"HostileNumbers",
                    200,
                    R"({"start_identity":"s","in_flight":1e300,"first_token_ms":-5,"loaded":[1]})",
                    {},
                    {}},
        ControlCase{"NoIdentity", 200, "{}", K::BackendFailed, {}},
        ControlCase{"NotJson", 200, "[[[", K::BackendFailed, {}},
        ControlCase{"StaleToken", 409, "", K::BadRequest, K::LeaseLost},
        ControlCase{"Failing", 500, "", K::BackendFailed, K::BackendFailed}),
    [](const auto &info) { return info.param.name; });

} // namespace
