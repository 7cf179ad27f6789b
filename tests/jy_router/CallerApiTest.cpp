#include "jy_router/CallerFixture.h"

#include "jy_router/caller/ServiceRelay.h"

using namespace std::chrono_literals;
using namespace jy::test;
using K = jy::ErrorKind;

namespace {

using Strings = std::vector<std::string>;

bool contains(const std::string &text, std::string_view part)
{
    return text.find(part) != std::string::npos;
}

std::string streamText(int events, int from = 1)
{
    std::string out;
    for (int id = from; id <= events; ++id)
        out += jy::formatEvent({.id = std::to_string(id), .data = "token" + std::to_string(id)});
    return out;
}

struct RelayCase
{
    std::string name;
    EngineScript first;
    EngineScript second;
    int retries = 1;
    int status = 200;

    /** Expected body, or a part of it for errors. */
    std::string body;

    std::size_t enginesUsed = 1;
};

class ChatStreamRelay : public testing::TestWithParam<RelayCase>
{ };

// Guards against parts that are missing, duplicated or mixed, and against errors that state a
// wrong effect.
TEST_P(ChatStreamRelay, GivesTheCompleteStreamOrAnExplicitError)
{
    jy::EventLoop loop;
    loop.run([&] {
        ScriptedEngine first(loop, GetParam().first);
        ScriptedEngine second(loop, GetParam().second);
        CallerFixture fixture(loop);
        fixture.addServer(first.endpoint());
        fixture.addServer(second.endpoint());
        fixture.retries = GetParam().retries;
        const auto response = fixture.chat(true);
        EXPECT_EQ(response.status, GetParam().status);
        if (contains(GetParam().body, "[DONE]"))
            EXPECT_EQ(response.body, GetParam().body);
        else
            EXPECT_TRUE(contains(response.body, GetParam().body)) << response.body;
        EXPECT_EQ(fixture.outcomes.size(), GetParam().enginesUsed);
    });
}

const std::string done = "data: [DONE]\n\n";
INSTANTIATE_TEST_SUITE_P(
    Cases, ChatStreamRelay,
    testing::Values(RelayCase{.name = "Complete", .body = streamText(5) + done},
                    RelayCase{.name = "ResumesUnnoticed",
                              .first = {.breakAfter = {2, 1}},
                              .body = streamText(5) + done},
                    RelayCase{.name = "CannotResume",
                              .first = {.breakAfter = {2}, .resumes = false},
                              .body = streamText(2)
                                  + "event: error\ndata: {\"error\":{\"kind\":\"backend_broken\","
                                    "\"effect\":\"unknown\""},
                    RelayCase{.name = "SecondServerBeforeTheFirstEvent",
                              .first = {.breakAfter = {0}, .resumes = false},
                              .body = streamText(5) + done,
                              .enginesUsed = 2},
                    RelayCase{.name = "NoBudgetForTheSecondServer",
                              .first = {.status = 503},
                              .retries = 0,
                              .status = 502,
                              .body = "\"effect\":\"ran\"",
                              .enginesUsed = 2},
                    RelayCase{.name = "BothFail",
                              .first = {.status = 503},
                              .second = {.status = 500},
                              .status = 502,
                              .body = "\"effect\":\"ran\"",
                              .enginesUsed = 2},
                    RelayCase{.name = "RequestRejectedByTheEngine",
                              .first = {.status = 422},
                              .status = 422,
                              .body = "scripted"}),
    [](const auto &info) { return info.param.name; });

// Guards against a final "not run" after an attempt that may have run.
TEST(CallerApi, RefusalAfterAnAttemptDoesNotHideTheAttempt)
{
    jy::EventLoop loop;
    loop.run([&] {
        ScriptedEngine engine(loop, {.status = 500});
        CallerFixture fixture(loop);
        fixture.addServer(engine.endpoint());
        fixture.addServer(engine.endpoint());
        fixture.refusals = {{"s1", K::Overloaded}};
        const auto response = fixture.chat(false);
        EXPECT_EQ(response.status, 502);
        EXPECT_TRUE(contains(response.body, "\"effect\":\"ran\"")) << response.body;
        EXPECT_EQ(fixture.asked, (Strings{"s0", "s1"}));
    });
}

// Guards against a rejection without a retry time, and against failing while a queue has room.
TEST(CallerApi, RefusedEverywhereWaitsAtTheHomeServerThenSaysNotRun)
{
    jy::EventLoop loop;
    loop.run([&] {
        CallerFixture fixture(loop);
        for (int i = 0; i < 4; ++i)
            fixture.addServer({"127.0.0.1", 1});
        fixture.refusals = {{"s0", K::OverBound}, {"s1", K::Cold}, {"s2", K::Overloaded}};
        const auto response = fixture.chat(false);
        EXPECT_EQ(fixture.asked, (Strings{"s0", "s1", "s2", "s0!"}));
        EXPECT_EQ(response.status, 503);
        EXPECT_EQ(response.headers.value("Retry-After"), "2");
        EXPECT_TRUE(contains(response.body, "\"effect\":\"not_run\""));
        EXPECT_TRUE(contains(response.body, "\"request_id\":\"r1\""));
    });
}

// Guards against a dead engine that uses up the retry budget.
TEST(CallerApi, FailedConnectionLeadsToTheNextServerWithoutBudget)
{
    jy::EventLoop loop;
    loop.run([&] {
        ScriptedEngine engine(loop, {});
        CallerFixture fixture(loop);
        fixture.addServer({"127.0.0.1", 1});
        fixture.addServer(engine.endpoint());
        fixture.retries = 0;
        EXPECT_EQ(fixture.chat(false).body, "{\"answer\":1}");
        ASSERT_EQ(fixture.outcomes.size(), 2U);
        EXPECT_EQ(fixture.outcomes[0].error, K::ConnectFailed);
        EXPECT_EQ(fixture.outcomes[1].cacheHit, true);
    });
}

struct DeadlineCase
{
    std::string name;
    std::chrono::milliseconds queueDelay;
    std::chrono::milliseconds headDelay;
    std::string deadline;
    int status;
    std::string effect;
};

class Deadline : public testing::TestWithParam<DeadlineCase>
{ };

// Guards against a step that ignores the caller's deadline or misstates the effect.
TEST_P(Deadline, HoldsInEveryStep)
{
    jy::EventLoop loop;
    loop.run([&] {
        ScriptedEngine engine(loop, {.headDelay = GetParam().headDelay});
        CallerFixture fixture(loop);
        fixture.addServer(engine.endpoint());
        fixture.queueDelay = GetParam().queueDelay;
        const auto response = fixture.chat(false, {{"X-Deadline-Ms", GetParam().deadline}});
        EXPECT_EQ(response.status, GetParam().status);
        EXPECT_TRUE(contains(response.body, GetParam().effect)) << response.body;
    });
}

INSTANTIATE_TEST_SUITE_P(
    Steps, Deadline,
    testing::Values(DeadlineCase{"Queue", 60ms, 0ms, "30", 503, "not_run"},
                    DeadlineCase{"Engine", 0ms, 300ms, "60", 504, "\"unknown\""},
                    DeadlineCase{"Passed", 0ms, 0ms, "0", 504, "not_run"},
                    DeadlineCase{"Malformed", 0ms, 0ms, "soon", 400, "not_run"}),
    [](const auto &info) { return info.param.name; });

// Guards against engine work and a reservation that outlive their caller.
TEST(CallerApi, DisconnectingCallerCancelsTheGeneration)
{
    jy::EventLoop loop;
    loop.run([&] {
        ScriptedEngine engine(loop, {.events = 10000, .eventDelay = 1ms});
        CallerFixture fixture(loop);
        fixture.addServer(engine.endpoint());
        RawConnection caller(loop, fixture.endpoint());
        const std::string body = R"({"model":"m","stream":true})";
        caller.write("POST /v1/chat/completions HTTP/1.1\r\nX-Workspace: w\r\nContent-Length: "
                     + std::to_string(body.size()) + "\r\n\r\n" + body);
        EXPECT_TRUE(contains(caller.readSome(), "200"));
        caller.close();
        EXPECT_TRUE(eventually([&] { return engine.cancelled == Strings{"generated"}; }));
        EXPECT_TRUE(eventually([&] { return fixture.outcomes.size() == 1; }));
        EXPECT_FALSE(fixture.outcomes[0].hasSample);
    });
}

// Guards against a slow reader that makes the router buffer a stream.
TEST(CallerApi, SlowReaderHoldsBackOnlyItsOwnEngineStream)
{
    jy::EventLoop loop;
    loop.run([&] {
        // 400,000 events of about 25 bytes exceed the socket buffers on the way.
        ScriptedEngine engine(loop, {.events = 400000});
        CallerFixture fixture(loop);
        fixture.addServer(engine.endpoint());
        RawConnection slow(loop, fixture.endpoint());
        slow.socket().set_option(boost::asio::socket_base::receive_buffer_size(4096));
        const std::string body = R"({"model":"m","stream":true})";
        slow.write("POST /v1/chat/completions HTTP/1.1\r\nX-Workspace: w\r\nContent-Length: "
                   + std::to_string(body.size()) + "\r\n\r\n" + body);
        EXPECT_EQ(fixture.chat(false).status, 200);
        EXPECT_EQ(fixture.outcomes.size(), 1U) << "the slow stream must still be running";
        slow.close();
        EXPECT_TRUE(eventually([&] { return fixture.outcomes.size() == 2; }));
    });
}

// Guards against a router that keeps work in a domain that operators took out of service.
TEST(CallerApi, OwnDomainOutRedirectsWithoutRunning)
{
    jy::EventLoop loop;
    loop.run([&] {
        CallerFixture fixture(loop);
        fixture.domainOut = true;
        EXPECT_EQ(fixture.chat(false).status, 503);
        fixture.elsewhere = jy::Endpoint{"10.0.0.9", 90};
        const auto response = fixture.chat(false);
        EXPECT_EQ(response.status, 307);
        EXPECT_EQ(response.headers.value("Location"), "http://10.0.0.9:90/v1/chat/completions");
        EXPECT_TRUE(contains(response.body, "not_run"));
        EXPECT_TRUE(fixture.asked.empty());
    });
}

TEST(CallerApi, LookupListsAddressesInOrder)
{
    jy::EventLoop loop;
    loop.run([&] {
        CallerFixture fixture(loop);
        EXPECT_EQ(fixture.call({.target = "/v1/lookup?workspace=w&model=m&chat=c"}).body,
                  R"({"addresses":["10.0.0.1:80","10.0.0.2:81"],"lifetime_ms":5000,"revision":7})");
        EXPECT_EQ(fixture.call({.target = "/v1/lookup"}).status, 400);
        EXPECT_EQ(fixture.call({.target = "/v1/other"}).status, 404);
        EXPECT_EQ(fixture.call({.target = "/readyz"}).status, 200);
    });
}

} // namespace
