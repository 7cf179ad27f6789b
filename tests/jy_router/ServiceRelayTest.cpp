#include "jy_router/CallerFixture.h"

#include "jy_router/caller/RequestContext.h"
#include "jy_router/caller/ServiceRelay.h"

#include <rapidcheck/gtest.h>

using namespace std::chrono_literals;
using namespace jy::test;
using K = jy::ErrorKind;

namespace {

struct PathCase
{
    const char *target;
    bool rejected;
    bool isProtected;
};

class ServicePath : public testing::TestWithParam<PathCase>
{ };

// Guards against a spelling of a protected path that the service understands and the router does
// not recognise.
TEST_P(ServicePath, CannotHideAProtectedCall)
{
    const jy::ServiceSpec spec{.protectedCalls = {{"POST", "/bookings"}}};
    const auto target = jy::readServiceTarget(std::string("/v1/services/desk") + GetParam().target);
    ASSERT_EQ(!target, GetParam().rejected);
    if (target) {
        EXPECT_EQ(target.value().service.value(), "desk");
        EXPECT_EQ(jy::isProtected(spec, "post", target.value().path), GetParam().isProtected);
        EXPECT_FALSE(jy::isProtected(spec, "GET", target.value().path));
    }
}

INSTANTIATE_TEST_SUITE_P(
    Targets, ServicePath,
    testing::Values(PathCase{"/bookings", false, true}, PathCase{"/bookings/7?x=/../", false, true},
                    PathCase{"//bookings", false, true}, PathCase{"/%62ookings", false, true},
                    PathCase{"/BOOKINGS", false, true}, PathCase{"/x/../bookings", true, false},
                    PathCase{"/%2e%2e/bookings", true, false},
                    PathCase{"/x%2fbookings", true, false}, PathCase{"/\\bookings", true, false},
                    PathCase{"/%2562ookings", true, false}, PathCase{"/;a/bookings", true, false},
                    PathCase{"/roster", false, false}, PathCase{"", false, false}));

struct CallCase
{
    std::string name;
    std::string method;
    std::string target;
    std::string key;
    bool breaks;
    int status;
    int received;
};

class ServiceCall : public testing::TestWithParam<CallCase>
{ };

// Guards against a repeated call whose first attempt may have run.
TEST_P(ServiceCall, RepeatsOnlyIdempotentWork)
{
    jy::EventLoop loop;
    loop.run([&] {
        int received = 0;
        auto service = jy::HttpServer::create(loop, {}, [&](const auto &request, auto &responder) {
                           ++received;
                           EXPECT_FALSE(request.headers.find("X-HTTP-Method-Override"));
                           if (GetParam().breaks)
                               responder.startStream(200, {});
                           else
                               responder.send(201, {{"X-Desk", "1"}}, request.target);
                       }).value();
        CallerFixture fixture(loop);
        fixture.addServer(service->localEndpoint());
        fixture.addServer(service->localEndpoint());
        jy::HttpRequest request{.method = GetParam().method, .target = GetParam().target};
        request.headers.add("X-HTTP-Method-Override", "POST");
        if (!GetParam().key.empty())
            request.headers.add("Idempotency-Key", GetParam().key);
        const auto response = fixture.call(request);
        EXPECT_EQ(response.status, GetParam().status) << response.body;
        EXPECT_EQ(received, GetParam().received);
        EXPECT_EQ(fixture.claimed.size(), GetParam().key.empty() ? 0U : 1U);
    });
}

INSTANTIATE_TEST_SUITE_P(
    Calls, ServiceCall,
    testing::Values(
        CallCase{"Get", "GET", "/v1/services/desk/roster?a=b", "", false, 201, 1},
        CallCase{"BrokenGet", "GET", "/v1/services/desk/roster", "", true, 502, 2},
        CallCase{"BrokenPost", "POST", "/v1/services/desk/roster", "", true, 502, 1},
        CallCase{"Protected", "POST", "/v1/services/desk/bookings", "k", false, 201, 1},
        CallCase{"BrokenProtected", "POST", "/v1/services/desk/bookings", "k", true, 502, 1},
        CallCase{"ProtectedWithoutKey", "POST", "/v1/services/desk/bookings", "", false, 400, 0},
        CallCase{"UnknownService", "GET", "/v1/services/other/x", "", false, 404, 0}),
    [](const auto &info) { return info.param.name; });

// The result of one scripted try at a server.
struct Try
{
    bool refused = false;
    std::optional<K> error;
};

// Guards against leaked reservations, a false "not run", repeats of work that may have run, and
// retries above the budget, for any combination of refusals and failures.
RC_GTEST_PROP(AttemptLoop, StatesTheTrueEffect, (bool idempotent, std::vector<std::uint8_t> script))
{
    constexpr std::array kinds{K::ConnectFailed, K::BackendBroken, K::BackendFailed,
                               K::DeadlineExceeded, K::Internal};
    int held = 0;
    int sent = 0;
    int attempted = 0;
    int firsts = 0;
    int budget = *rc::gen::inRange(0, 3);
    const int allowed = budget;
    std::size_t position = 0;
    const auto nextByte = [&] { return position < script.size() ? script[position++] : 0; };
    jy::CallerDependencies hooks;
    hooks.reserve = [&](const jy::ReserveCall &call) -> jy::Result<jy::Reservation> {
        if (nextByte() % 3 == 1)
            return jy::failure(K::Overloaded, "scripted");
        ++held;
        return jy::Reservation{.server = call.server};
    };
    hooks.release = [&](const auto &, const auto &) { --held; };
    hooks.recordFirstAttempt = [&] { ++firsts; };
    hooks.tryRetry = [&] { return budget-- > 0; };
    const jy::CallerSettings settings;
    jy::AttemptLoop loop(hooks, settings);
    jy::AttemptPlan plan{.servers = std::vector<jy::BackendServer>(5), .idempotent = idempotent};
    plan.context.deadline = std::chrono::steady_clock::now() + 1h;
    bool succeeded = false;
    const auto error = loop.run(plan, [&](const jy::BackendServer &) {
        jy::Attempt attempt;
        ++attempted;
        const std::size_t choice = nextByte() % (kinds.size() + 1);
        if (choice < kinds.size())
            attempt.error = jy::Error{kinds[choice], "scripted"};
        succeeded = !attempt.error;
        sent += attempt.error && jy::isNotRun(attempt.error->kind) ? 0 : 1;
        return attempt;
    });
    RC_ASSERT(held == 0);
    RC_ASSERT(error.has_value() == !succeeded);
    RC_ASSERT(sent <= 1 + (idempotent ? allowed : 0));
    RC_ASSERT(firsts == (attempted > 0 ? 1 : 0));
    if (error) {
        RC_ASSERT(jy::isNotRun(error->kind) == (sent == 0));
        RC_ASSERT(error->retryAfter.count() > 0);
    }
}

} // namespace
