#include "jy_platform/kv/KvClient.h"
#include "jy_http/jy_http.h"
#include "jy_platform/instances/InstanceList.h"
#include "jy_platform/weights/WeightStore.h"

#include <gtest/gtest.h>

using namespace std::chrono_literals;
using jy::ErrorKind;

namespace {

/** Starts a server with the given handler and passes its endpoint to the body. */
void withServer(
    const jy::HttpHandler &handler,
    const std::function<void(const jy::Endpoint &, std::shared_ptr<jy::HttpClient>)> &body)
{
    jy::EventLoop loop;
    loop.run([&] {
        const auto server = jy::HttpServer::create(loop, {}, handler).value();
        std::shared_ptr<jy::HttpClient> http = jy::HttpClient::create(loop, {});
        body(server->localEndpoint(), http);
    });
}

jy::KvSettings settingsFor(std::vector<jy::Endpoint> endpoints)
{
    jy::KvSettings settings;
    settings.endpoints = std::move(endpoints);
    settings.requestTimeout = 150ms;
    return settings;
}

const jy::Endpoint closedPort{"127.0.0.1", 1};

/** What the service does with a call. */
struct Fault
{
    std::string name;
    int status;
    std::string body;
    std::optional<ErrorKind> write;
    std::optional<ErrorKind> read;
};

/** A status that stands for a connection that breaks, or a response that never comes. */
constexpr int noResponse = 0;
constexpr int lateResponse = 1;

class KvFault : public testing::TestWithParam<Fault>
{ };

// Guards against a write that may have been applied being reported as not applied, which would run
// a protected call twice, and against an outage that makes every failure uncertain.
TEST_P(KvFault, TheErrorStatesWhetherTheWriteMayBeApplied)
{
    const auto &fault = GetParam();
    withServer(
        [&](const jy::HttpRequest &, jy::HttpResponder &responder) {
            if (fault.status == lateResponse)
                jy::EventLoop::sleepFor(400ms);
            if (fault.status == noResponse) {
                // A stream that is not finished closes the connection.
                responder.startStream(200, {{"Content-Length", "100"}});
                return;
            }
            responder.send(fault.status, {}, fault.body);
        },
        [&](const jy::Endpoint &endpoint, const std::shared_ptr<jy::HttpClient> &http) {
            const auto client = jy::KvClient::create(http, settingsFor({endpoint}));
            const auto written = client->compareAndSwap("jy/a", "x", 3);
            EXPECT_EQ(written ? std::nullopt : std::optional(written.error().kind), fault.write);
            const auto read = client->get("jy/a");
            EXPECT_EQ(read ? std::nullopt : std::optional(read.error().kind), fault.read);
            EXPECT_EQ(client->counters().outcomeUnknown,
                      fault.write == ErrorKind::KvOutcomeUnknown ? 1U : 0U);
        });
}

const std::string entry =
    R"([{"Key":"jy/a","Value":"eA==","ModifyIndex":7,"LockIndex":2,"Session":"s"}])";

INSTANTIATE_TEST_SUITE_P(
    Faults, KvFault,
    testing::Values(
        Fault{"applied", 200, "true", std::nullopt, ErrorKind::KvUnavailable},
        Fault{"conflict", 200, "false", ErrorKind::KvConflict, ErrorKind::KvUnavailable},
        Fault{"lost", noResponse, "", ErrorKind::KvOutcomeUnknown, ErrorKind::KvUnavailable},
        Fault{"late", lateResponse, "true", ErrorKind::KvOutcomeUnknown, ErrorKind::KvUnavailable},
        Fault{"noLeader", 500, "No cluster leader", ErrorKind::KvUnavailable,
              ErrorKind::KvUnavailable},
        Fault{"leaderLost", 500, "leadership lost while committing log",
              ErrorKind::KvOutcomeUnknown, ErrorKind::KvUnavailable},
        Fault{"overloaded", 429, "", ErrorKind::KvUnavailable, ErrorKind::KvUnavailable},
        Fault{"unexpected", 200, entry, ErrorKind::KvOutcomeUnknown, std::nullopt},
        Fault{"missing", 404, "", ErrorKind::KvOutcomeUnknown, std::nullopt}),
    [](const auto &info) { return info.param.name; });

// Guards against an outage of one agent that stops all configuration and protected calls.
TEST(KvClient, ARefusedConnectionMovesOnToTheNextAgent)
{
    withServer(
        [](const auto &, auto &responder) { responder.send(200, {}, "true"); },
        [](const auto &endpoint, const auto &http) {
            const auto client = jy::KvClient::create(http, settingsFor({closedPort, endpoint}));
            EXPECT_TRUE(client->compareAndSwap("a", "x", 0));
            const auto down = jy::KvClient::create(http, settingsFor({closedPort}));
            const auto refused = down->compareAndSwap("a", "x", 0);
            ASSERT_FALSE(refused);
            EXPECT_EQ(refused.error().kind, ErrorKind::KvUnavailable);
        });
}

// Guards against keys, values and indexes that change on the wire.
TEST(KvClient, RequestsAndEntriesFollowTheProtocol)
{
    std::vector<std::string> targets;
    withServer(
        [&](const jy::HttpRequest &request, jy::HttpResponder &responder) {
            targets.push_back(request.method + ' ' + request.target);
            responder.send(200, {{"X-Consul-Index", "9"}},
                           request.method == "GET" ? entry : "true");
        },
        [&](const jy::Endpoint &endpoint, const std::shared_ptr<jy::HttpClient> &http) {
            const auto client = jy::KvClient::create(http, settingsFor({endpoint}));
            const auto read = client->get("jy/a b/c").value();
            EXPECT_EQ(read->value, "x");
            EXPECT_EQ(read->modifyIndex, 7U);
            EXPECT_EQ(client->list("jy/").value().size(), 1U);
            EXPECT_EQ(client->watch("k", 8, 1000ms).value().index, 9U);
            // The index went back: the watch must start again.
            EXPECT_EQ(client->watch("k", 10, 1000ms).value().index, 0U);
            EXPECT_TRUE(client->remove("k", 7));
            EXPECT_FALSE(client->compareAndSwap("k", std::string(1000 * 1000 + 1, 'x'), 1));
        });
    EXPECT_EQ(targets,
              (std::vector<std::string>{
                  "GET /v1/kv/jy/a%20b/c?consistent", "GET /v1/kv/jy/?recurse&consistent",
                  "GET /v1/kv/k?index=8&wait=1000ms", "GET /v1/kv/k?index=10&wait=1000ms",
                  "DELETE /v1/kv/k?cas=7"}));
}

/** Answers lease calls; @p acquired and @p renewStatus choose the outcome. */
jy::HttpHandler leaseService(const std::string &acquired, int renewStatus,
                             std::chrono::milliseconds delay, int &destroyed)
{
    return [=, &destroyed](const jy::HttpRequest &request, jy::HttpResponder &responder) {
        const auto path = request.path();
        if (path == "/v1/session/create") {
            jy::EventLoop::sleepFor(delay);
            responder.send(200, {}, R"({"ID":"s"})");
        } else if (path.starts_with("/v1/session/renew/")) {
            responder.send(renewStatus, {}, "[]");
        } else if (request.queryParameter("acquire")) {
            responder.send(acquired == "lost" ? 502 : 200, {}, acquired);
        } else if (request.method == "GET") {
            responder.send(200, {}, entry);
        } else {
            destroyed += path.starts_with("/v1/session/destroy/") ? 1 : 0;
            responder.send(200, {}, "true");
        }
    };
}

// Guards against a holder that counts its lease from after the request, and so acts after another
// router has taken over.
TEST(KvLease, ValidityCountsFromBeforeTheRequest)
{
    int destroyed = 0;
    withServer(leaseService("true", 200, 100ms, destroyed),
               [](const auto &endpoint, const auto &http) {
                   const auto client = jy::KvClient::create(http, settingsFor({endpoint}));
                   const auto before = std::chrono::steady_clock::now();
                   auto lease = client->acquireLease("jy/l", "router-1", 10s).value();
                   EXPECT_EQ(lease.fencingToken, 2U);
                   EXPECT_LE(lease.validUntil, before + 10s + 50ms);
                   EXPECT_GE(lease.validUntil, before + 10s);
                   const auto first = lease.validUntil;
                   EXPECT_TRUE(client->renew(lease));
                   EXPECT_GE(lease.validUntil, first);
                   EXPECT_TRUE(client->release(lease));
                   EXPECT_LT(lease.validUntil, before);
               });
    EXPECT_EQ(destroyed, 1);
}

// Guards against a session that keeps a lease which nobody knows to hold.
TEST(KvLease, AFailedAcquisitionEndsItsSession)
{
    for (const auto &[answer, kind] : {std::pair{"false", ErrorKind::KvConflict},
                                       std::pair{"lost", ErrorKind::KvOutcomeUnknown}}) {
        int destroyed = 0;
        withServer(leaseService(answer, 200, 0ms, destroyed),
                   [kind = kind](const auto &endpoint, const auto &http) {
                       const auto client = jy::KvClient::create(http, settingsFor({endpoint}));
                       const auto lease = client->acquireLease("jy/l", "router-1", 10s);
                       ASSERT_FALSE(lease);
                       EXPECT_EQ(lease.error().kind, kind);
                   });
        EXPECT_EQ(destroyed, 1) << answer;
    }
}

// Guards against a holder that keeps acting after its session has ended, and against one that
// gives up a lease which is still valid because one renewal failed.
TEST(KvLease, OnlyAnEndedSessionLosesTheLease)
{
    for (const auto &[status, kind, valid] : {std::tuple{404, ErrorKind::LeaseLost, false},
                                              std::tuple{502, ErrorKind::KvOutcomeUnknown, true}}) {
        int destroyed = 0;
        withServer(leaseService("true", status, 0ms, destroyed),
                   [kind = kind, valid = valid](const auto &endpoint, const auto &http) {
                       const auto client = jy::KvClient::create(http, settingsFor({endpoint}));
                       auto lease = client->acquireLease("jy/l", "router-1", 10s).value();
                       const auto renewed = client->renew(lease);
                       ASSERT_FALSE(renewed);
                       EXPECT_EQ(renewed.error().kind, kind);
                       EXPECT_EQ(lease.validUntil > std::chrono::steady_clock::now(), valid);
                   });
    }
}

// Guards against one router that uses up the rate of the whole fleet.
TEST(CallRateLimit, SpreadsCallsAndRefusesLongWaits)
{
    jy::CallRateLimit limit(10, 2);
    const jy::TimePoint start{1h};
    EXPECT_EQ(limit.take(start, 1s), 0s);
    EXPECT_EQ(limit.take(start, 1s), 0s);
    EXPECT_EQ(limit.take(start, 1s), 100ms);
    EXPECT_EQ(limit.take(start, 1s), 200ms);
    EXPECT_LT(limit.take(start, 250ms), 0s);
    EXPECT_EQ(limit.take(start + 10s, 0s), 0s);
}

const std::string routerEntry =
    R"({"Node":{"Address":"10.0.0.9"},"Service":{"ID":"r1","Address":"","Port":80,)"
    R"("Meta":{"domain":"d","region":"r","gossip_port":"81","state":"leaving"}}})";
const std::string engineEntry =
    R"({"Service":{"ID":"e1","Address":"10.0.0.1","Port":90,"Meta":{"domain":"d","region":"r",)"
    R"("model":"m","version":"v","checks_fencing":"false"}}})";
const std::string serviceEntry =
    R"({"Service":{"ID":"s1","Address":"10.0.0.2","Port":91,"Meta":{"domain":"d","region":"r",)"
    R"("service":"booking"}}})";

// Guards against one malformed entry that hides all others, and against misread fields.
TEST(InstanceList, ReadsValidEntriesAndCountsTheOthers)
{
    withServer(
        [](const jy::HttpRequest &request, jy::HttpResponder &responder) {
            if (request.path().ends_with("router"))
                responder.send(200, {}, "[" + routerEntry + R"(,{"Service":{"ID":"r2"}},7])");
            else
                responder.send(200, {}, "[" + engineEntry + "," + serviceEntry + ",{}]");
        },
        [](const jy::Endpoint &endpoint, const std::shared_ptr<jy::HttpClient> &http) {
            jy::InstanceListSettings settings;
            settings.endpoints = {endpoint};
            settings.routerService = "router";
            settings.backendServices = {"all"};
            const auto snapshot = jy::InstanceList::create(http, settings)->fetch().value();
            EXPECT_EQ(snapshot.malformed, 3U);
            ASSERT_EQ(snapshot.routers.size(), 1U);
            EXPECT_EQ(snapshot.routers[0].gossip, (jy::Endpoint{"10.0.0.9", 81}));
            EXPECT_TRUE(snapshot.routers[0].leaving);
            ASSERT_EQ(snapshot.servers.size(), 2U);
            EXPECT_EQ(snapshot.servers[0].version, jy::VersionId("v"));
            EXPECT_FALSE(snapshot.servers[0].checksFencing);
            EXPECT_FALSE(snapshot.servers[0].leaving);
            EXPECT_EQ(snapshot.servers[1].kind, jy::ServerKind::Service);
        });
}

// Guards against taking a partial outage of the list for a fleet without servers.
TEST(InstanceList, APartialAnswerIsAnError)
{
    withServer(
        [](const jy::HttpRequest &request, jy::HttpResponder &responder) {
            responder.send(request.path().ends_with("engine") ? 500 : 200, {}, "[]");
        },
        [](const jy::Endpoint &endpoint, const std::shared_ptr<jy::HttpClient> &http) {
            jy::InstanceListSettings settings;
            settings.endpoints = {endpoint};
            settings.backendServices = {"service", "engine"};
            const auto snapshot = jy::InstanceList::create(http, settings)->fetch();
            ASSERT_FALSE(snapshot);
            EXPECT_EQ(snapshot.error().kind, ErrorKind::KvUnavailable);
        });
}

// Guards against planning loads with a rate or size that the store did not give.
TEST(WeightStore, ReadsRateAndSizesAndRejectsOtherAnswers)
{
    std::string rate = R"({"bytes_per_second": 5e8, "transfers": 2})";
    withServer(
        [&](const jy::HttpRequest &request, jy::HttpResponder &responder) {
            if (request.path() == "/v1/rate")
                responder.send(200, {}, rate);
            else if (request.path() == "/v1/weights/m/v1")
                responder.send(200, {}, R"({"bytes": 1000})");
            else
                responder.send(404, {}, "");
        },
        [&](const jy::Endpoint &endpoint, const std::shared_ptr<jy::HttpClient> &http) {
            jy::WeightStoreSettings settings;
            settings.endpoints = {endpoint};
            const auto store = jy::WeightStore::create(http, settings);
            EXPECT_EQ(store->rate().value().bytesPerSecond, 5e8);
            EXPECT_EQ(store->rate().value().transfers, 2U);
            const jy::ModelId model("m");
            EXPECT_EQ(store->manifest(model, jy::VersionId("v1")).value().bytes, 1000U);
            EXPECT_EQ(store->manifest(model, jy::VersionId("v2")).error().kind,
                      ErrorKind::UnknownModel);
            for (const auto *answer : {"{}", "[]", "x", R"({"bytes_per_second": 0})"}) {
                rate = answer;
                EXPECT_FALSE(store->rate()) << answer;
            }
        });
}

} // namespace
