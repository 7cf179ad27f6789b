#pragma once

#include "jy_router/ScriptedEngine.h"
#include "jy_router/caller/CallerApi.h"

#include <map>
#include <set>

namespace jy::test {

/** A CallerApi behind a real server, with hooks that record and refuse as a test demands. */
class CallerFixture
{
public:
    explicit CallerFixture(EventLoop &loop)
        : loop_(loop)
        , client(HttpClient::create(loop, clientSettings()))
        , engines_(EngineClient::create(client, {.resumeDelay = std::chrono::milliseconds(1)}))
    {
        state->workspaces[WorkspaceId("w")] = {.id = WorkspaceId("w"),
                                               .services = {ServiceId("desk")}};
        state->services[ServiceId("desk")] = {.id = ServiceId("desk"),
                                              .protectedCalls = {{"POST", "/bookings"}}};
        api_ = std::make_unique<CallerApi>(dependencies(), CallerSettings{});
        server_ = HttpServer::create(loop, {}, [this](const auto &request, auto &responder) {
                      api_->handle(request, responder);
                  }).value();
    }

    /** Every reservation must be released exactly once, whatever happened. */
    ~CallerFixture()
    {
        server_->stop();
        EXPECT_TRUE(open_.empty()) << "reservations were not released";
    }

    Endpoint endpoint() const { return server_->localEndpoint(); }

    void addServer(const Endpoint &endpoint)
    {
        const auto name = "s" + std::to_string(servers.size());
        servers.push_back({.id = ServerId(name), .endpoint = endpoint});
    }

    HttpResponse call(HttpRequest request)
    {
        if (!request.headers.find("X-Workspace"))
            request.headers.add("X-Workspace", "w");
        request.headers.add("X-Request-Id", "r1");
        return client->request(endpoint(), request, std::chrono::seconds(5)).value();
    }

    HttpResponse chat(bool stream, HttpHeaders headers = {})
    {
        return call({.method = "POST",
                     .target = "/v1/chat/completions",
                     .headers = std::move(headers),
                     .body = stream ? R"({"model":"m","stream":true})" : R"({"model":"m"})"});
    }

private:
    CallerDependencies dependencies()
    {
        CallerDependencies hooks;
        hooks.client = client;
        hooks.engines = engines_.get();
        hooks.desiredState = [this] { return state; };
        hooks.ready = [] { return true; };
        hooks.refusal = [this] { return refusal; };
        hooks.ownDomainOut = [this] { return domainOut; };
        hooks.routerElsewhere = [this](const CallContext &) { return elsewhere; };
        hooks.lookup = [](const LookupQuery &) {
            return LookupAnswer{
                {{"10.0.0.1", 80}, {"10.0.0.2", 81}}, std::chrono::milliseconds(5000), 7};
        };
        hooks.rankEngines = [this](const CallContext &, const ModelId &) { return servers; };
        hooks.rankServices = [this](const CallContext &, const ServiceId &) { return servers; };
        hooks.reserve = [this](const ReserveCall &call) { return reserve(call); };
        hooks.release = [this](const Reservation &reservation, const CallOutcome &outcome) {
            EXPECT_EQ(open_.erase(reservation.key.sequence), 1U) << "released twice";
            outcomes.push_back(outcome);
        };
        hooks.recordFirstAttempt = [] {};
        hooks.tryRetry = [this] { return retries-- > 0; };
        hooks.protectedCall = [this](const ProtectedCallInput &input, const auto &send) {
            claimed.push_back(input.key);
            return send();
        };
        hooks.metricsText = [] { return std::string("metric 1\n"); };
        hooks.newRequestId = [] { return RequestId("generated"); };
        hooks.finished = [this](const CallRecord &record) { records.push_back(record); };
        return hooks;
    }

    Result<Reservation> reserve(const ReserveCall &call)
    {
        asked.push_back(call.server.id.value() + (call.lastResort ? "!" : ""));
        EventLoop::sleepFor(queueDelay);
        const auto refused = refusals.find(call.server.id.value());
        if (refused != refusals.end())
            return failure(refused->second, "scripted", std::chrono::milliseconds(1500));
        Reservation reservation{
            .server = call.server, .route = call.route, .context = call.context};
        reservation.key.sequence = ++sequence_;
        open_.insert(sequence_);
        return reservation;
    }

    EventLoop &loop_;

public:
    std::shared_ptr<HttpClient> client;
    std::shared_ptr<DesiredState> state = std::make_shared<DesiredState>();
    std::vector<BackendServer> servers;
    std::map<std::string, ErrorKind> refusals;
    std::vector<std::string> asked;
    std::vector<std::string> claimed;
    std::vector<CallOutcome> outcomes;
    std::vector<CallRecord> records;
    std::optional<Error> refusal;
    std::optional<Endpoint> elsewhere;
    std::chrono::milliseconds queueDelay{0};
    bool domainOut = false;
    int retries = 1;

private:
    std::unique_ptr<EngineClient> engines_;
    std::unique_ptr<CallerApi> api_;
    std::unique_ptr<HttpServer> server_;
    std::set<std::uint64_t> open_;
    std::uint64_t sequence_ = 0;
};

} // namespace jy::test
