#include "RelayFixture.h"

namespace jy::test {

namespace {

TEST(RequestRelayTest, WithoutConfigurationCallersAreToldWhenToReturn)
{
    withRelay([](RelayFixture &relay) {
        const auto response = relay.call().value();
        EXPECT_EQ(response.status, 503);
        EXPECT_EQ(response.headers.value("Retry-After"), "700");
    });
}

// Guards against refusing requests before the configuration is read: when all instances restart at
// once, callers whose first attempt was cut off retry early and have no attempt left after a
// refusal.
TEST(RequestRelayTest, RequestsWaitForTheFirstConfiguration)
{
    withRelay([](RelayFixture &relay) {
        int calls = 0;
        relay.addBackend(respondWith(200, sealed, calls));
        milliseconds longest{0};
        relay.awaitConfig = [&](milliseconds most) {
            longest = most;
            relay.configure({});
        };
        EXPECT_EQ(relay.call({{"Id", "r1"}, {"Patience", "800"}}).value().status, 200);
        EXPECT_EQ(longest, milliseconds(200)) << "a quarter of what the caller waits";
        EXPECT_EQ(calls, 1);
    });
}

TEST(RequestRelayTest, KeySelectsTheWorkspace)
{
    withRelay([](RelayFixture &relay) {
        relay.configure({}, true);
        std::string workspace;
        relay.addBackend([&](const HttpRequest &request, HttpResponder &out) {
            workspace = request.headers.value("Workspace");
            out.send(200, sealed, "");
        });
        EXPECT_EQ(relay.call({{"Id", "r1"}, {"Key", "other"}}).value().status, 401);
        EXPECT_EQ(relay.call({{"Id", "r1"}, {"Key", "secret"}}).value().status, 200);
        EXPECT_EQ(workspace, "w");
    });
}

// Guards against counting a refused connection as an attempt: requests of routes with a single
// attempt failed although nothing had been sent.
TEST(RequestRelayTest, RefusedConnectionsDoNotCountAsAttempts)
{
    withRelay([](RelayFixture &relay) {
        relay.configure({.kind = RequestKind::Unsafe, .maxAttempts = 1});
        relay.retryRate = 0;
        relay.addUnreachableBackend();
        relay.addUnreachableBackend();
        int calls = 0;
        relay.addBackend(respondWith(200, sealed, calls));
        for (int i = 0; i < 10; ++i)
            EXPECT_EQ(relay.call().value().status, 200);
        EXPECT_EQ(calls, 10);
    });
}

struct RepeatCase
{
    const char *name;
    RequestKind kind;

    /** Response of the first server; status 0 closes the connection. */
    int status;
    HttpHeaders headers;

    int expectedStatus;
    int expectedRuns;
};

struct RepeatTest : testing::TestWithParam<RepeatCase>
{ };

TEST_P(RepeatTest, OnlyRepeatableRequestsAreRetried)
{
    withRelay([](RelayFixture &relay) {
        const auto &param = GetParam();
        relay.configure({.kind = param.kind, .maxAttempts = 2});
        int calls = 0;
        // Both servers share this handler, so the order of the attempts does not matter.
        const auto first = [&](const HttpRequest &, HttpResponder &out) {
            if (++calls > 1)
                out.send(200, sealed, "good");
            else if (param.status == 0)
                out.startStream(200, sealed);
            else
                out.send(param.status, param.headers, "bad");
        };
        relay.addBackend(first);
        relay.addBackend(first);
        EXPECT_EQ(relay.call().value().status, param.expectedStatus);
        EXPECT_EQ(calls, param.expectedRuns);
    });
}

INSTANTIATE_TEST_SUITE_P(
    Responses, RepeatTest,
    testing::Values(
        RepeatCase{"UnsafeNotRun", RequestKind::Unsafe, 503, notRun, 200, 2},
        RepeatCase{"UnsafeFailed", RequestKind::Unsafe, 500, sealed, 500, 1},
        RepeatCase{"UnsafeBrokenOff", RequestKind::Unsafe, 0, {}, 502, 1},
        RepeatCase{"UnsafeUnavailableWithoutNotRun", RequestKind::Unsafe, 503, sealed, 502, 1},
        RepeatCase{"UnsafeWithoutSeal", RequestKind::Unsafe, 200, {{"Id", "r1"}}, 502, 1},
        RepeatCase{"SafeFailed", RequestKind::Safe, 500, sealed, 200, 2},
        RepeatCase{"SafeBrokenOff", RequestKind::Safe, 0, {}, 200, 2},
        RepeatCase{"SafeWithoutSeal", RequestKind::Safe, 200, {{"Id", "r1"}}, 200, 2},
        RepeatCase{"StreamNotResumable", RequestKind::Stream, 500, sealed, 500, 1}),
    [](const auto &info) { return std::string(info.param.name); });

TEST(RequestRelayTest, ServerFailureIsDeliveredWhenNoOtherServerSucceeds)
{
    withRelay([](RelayFixture &relay) {
        relay.configure({.kind = RequestKind::Safe, .maxAttempts = 3});
        int calls = 0;
        relay.addBackend(respondWith(500, sealed, calls));
        const auto response = relay.call().value();
        EXPECT_EQ(response.status, 500);
        EXPECT_EQ(response.headers.value("Seal"), "s");
        EXPECT_EQ(calls, 1);
    });
}

TEST(RequestRelayTest, RetriesStayWithinTheBudget)
{
    withRelay([](RelayFixture &relay) {
        relay.configure({.kind = RequestKind::Safe, .maxAttempts = 2});
        relay.retryRate = 0;
        int calls = 0;
        relay.addBackend(respondWith(500, sealed, calls));
        relay.addBackend(respondWith(500, sealed, calls));
        constexpr int requests = 50;
        for (int i = 0; i < requests; ++i)
            relay.call();
        EXPECT_LE(calls - requests, requests / 5);
    });
}

TEST(RequestRelayTest, RefusalOfAnUnrunRequestHasRetryAfter)
{
    withRelay([](RelayFixture &relay) {
        relay.configure({.kind = RequestKind::Unsafe, .maxAttempts = 1});
        int calls = 0;
        relay.addBackend(respondWith(503, notRun, calls));
        const auto response = relay.call().value();
        EXPECT_EQ(response.status, 503);
        EXPECT_TRUE(response.headers.find("Retry-After"));
    });
}

// The response that announces the leaving is delivered; later requests go to other servers.
// Guards against a request that is passed on although the process ends before it must be answered.
TEST(RequestRelayTest, RequestThatCannotBeAnsweredInAShutdownIsNotPassedOn)
{
    withRelay([](RelayFixture &relay) {
        int calls = 0;
        relay.configure({.kind = RequestKind::Unsafe, .timeout = seconds(3)});
        relay.addBackend(respondWith(200, sealed, calls));
        relay.latestEnd = std::chrono::steady_clock::now() + seconds(2);
        const auto refused = relay.call();
        EXPECT_EQ(refused.value().status, 503);
        EXPECT_NE(refused.value().headers.value("Retry-After"), "");
        EXPECT_EQ(calls, 0);
        EXPECT_EQ(relay.call({{"Id", "r1"}, {"Patience", "1000"}}).value().status, 200);
    });
}

TEST(RequestRelayTest, LeavingServerGetsNoFurtherRequests)
{
    withRelay([](RelayFixture &relay) {
        relay.configure({.kind = RequestKind::Unsafe});
        auto leaving = sealed;
        leaving.add("Leaving", "1");
        int last = 0;
        int calls = 0;
        relay.addBackend(respondWith(200, leaving, last));
        relay.addBackend(respondWith(200, leaving, last));
        relay.addBackend(respondWith(200, sealed, calls));
        for (int i = 0; i < 20; ++i)
            EXPECT_EQ(relay.call().value().status, 200);
        EXPECT_LE(last, 2);
        EXPECT_GE(calls, 18);
    });
}

// Addresses are reused, so a 421 response may describe another server than the registered one.
TEST(RequestRelayTest, StateOfAnotherServerAtTheAddressIsIgnored)
{
    withRelay([](RelayFixture &relay) {
        relay.configure({.kind = RequestKind::Unsafe, .maxAttempts = 2});
        int calls = 0;
        relay.addBackend([&](const HttpRequest &, HttpResponder &out) {
            if (++calls == 1)
                out.send(421, {{"Id", "r1"}, {"Leaving", "1"}, {"Pause", "5000"}}, "");
            else
                out.send(200, sealed, "");
        });
        relay.call();
        EXPECT_EQ(relay.call().value().status, 200);
    });
}

TEST(RequestRelayTest, ServerGetsNothingDuringItsBackoff)
{
    withRelay([](RelayFixture &relay) {
        relay.configure({.kind = RequestKind::Safe, .maxAttempts = 2});
        auto full = notRun;
        full.add("Pause", "1500");
        int calls = 0;
        relay.addBackend(respondWith(503, full, calls));
        relay.addBackend(respondWith(503, full, calls));
        for (int i = 0; i < 20; ++i) {
            const auto response = relay.call().value();
            EXPECT_EQ(response.status, 503);
            const auto wait = std::stoi(std::string(response.headers.value("Retry-After")));
            EXPECT_GT(wait, 0);
            EXPECT_LE(wait, 1500);
        }
        EXPECT_EQ(calls, 2);
    });
}

// Guards against a Retry-After that is too short: it was 0.3 s although both servers had asked for
// a longer back-off and would have refused the retry.
TEST(RequestRelayTest, RetryAfterCoversTheBackoffOfAllServers)
{
    withRelay([](RelayFixture &relay) {
        relay.configure({.kind = RequestKind::Safe, .maxAttempts = 2});
        auto full = notRun;
        full.add("Pause", "5000");
        int calls = 0;
        relay.addBackend(respondWith(503, full, calls));
        relay.addBackend(respondWith(503, full, calls));
        const auto response = relay.call().value();
        EXPECT_EQ(calls, 2);
        EXPECT_EQ(response.status, 503);
        const auto wait = std::stoi(std::string(response.headers.value("Retry-After")));
        EXPECT_GT(wait, 4000);
        EXPECT_LE(wait, 5000);
    });
}

TEST(RequestRelayTest, RouteTimeoutEndsTheWait)
{
    withRelay([](RelayFixture &relay) {
        relay.configure({.kind = RequestKind::Unsafe, .timeout = milliseconds(150)});
        relay.addBackend([](const HttpRequest &, HttpResponder &out) {
            EventLoop::sleepFor(milliseconds(600));
            out.send(200, sealed, "");
        });
        const auto start = std::chrono::steady_clock::now();
        EXPECT_EQ(relay.call().value().status, 504);
        EXPECT_LT(std::chrono::steady_clock::now() - start, milliseconds(500));
    });
}

TEST(RequestRelayTest, LateResponseToAnEarlierRequestIsDropped)
{
    withRelay([](RelayFixture &relay) {
        relay.configure({.kind = RequestKind::Unsafe});
        // Carries another request's id, as a late response on a kept-alive connection does.
        relay.addBackend([](const HttpRequest &, HttpResponder &out) {
            out.send(200, {{"Id", "other"}, {"Seal", "s"}}, "not yours");
        });
        const auto response = relay.call({{"Id", "r1"}, {"Patience", "300"}}).value();
        EXPECT_NE(response.body, "not yours");
        EXPECT_GE(response.status, 500);
    });
}

struct StrayRefusalCase
{
    const char *name;
    RequestKind kind;

    /** Header fields of a refusal that was written before the response to the request. */
    HttpHeaders refusal;
};

struct StrayRefusalTest : testing::TestWithParam<StrayRefusalCase>
{ };

// Guards against "not run" for a request that ran, or a second run: a faulty server writes an
// earlier refusal once more on a kept connection.
TEST_P(StrayRefusalTest, RefusalThatDoesNotNameTheRequestSaysNothingAboutIt)
{
    withRelay([](RelayFixture &relay) {
        relay.configure({.kind = GetParam().kind, .maxAttempts = 2});
        int calls = 0;
        const auto backend = [&](const HttpRequest &, HttpResponder &out) {
            ++calls;
            out.send(503, GetParam().refusal, "refused");
        };
        relay.addBackend(backend);
        relay.addBackend(backend);
        const auto response = relay.call({{"Id", "r1"}, {"Patience", "300"}}).value();
        EXPECT_NE(response.status, 503);
        EXPECT_FALSE(response.headers.find("Retry-After").has_value());
        EXPECT_EQ(calls, GetParam().kind == RequestKind::Unsafe ? 1 : 2);
    });
}

const HttpHeaders refusalOfAnother{{"Id", "r0"}, {"Not-Run", "1"}};
const HttpHeaders refusalWithoutId{{"Not-Run", "1"}};
INSTANTIATE_TEST_SUITE_P(
    Refusals, StrayRefusalTest,
    testing::Values(StrayRefusalCase{"other_id", RequestKind::Unsafe, refusalOfAnother},
                    StrayRefusalCase{"no_id", RequestKind::Unsafe, refusalWithoutId},
                    StrayRefusalCase{"no_id_safe", RequestKind::Safe, refusalWithoutId}),
    [](const auto &testCase) { return testCase.param.name; });

} // namespace

} // namespace jy::test
