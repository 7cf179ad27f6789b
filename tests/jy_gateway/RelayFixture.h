#pragma once

#include "FleetFixture.h"

#include "jy_gateway/relay/RequestRelay.h"
#include "jy_http/HttpTestServer.h"

#include <absl/strings/str_split.h>
#include <gtest/gtest.h>

namespace jy::test {

inline constexpr seconds callLimit{5};

/** Protocol with header names private to these tests, as the relay itself defines none. */
inline CallerProtocol testProtocol()
{
    CallerProtocol protocol;
    protocol.readRequestMetadata = [](const HttpHeaders &headers, std::size_t) {
        RequestMetadata metadata;
        metadata.id = RequestId(std::string(headers.value("Id")));
        metadata.credential = headers.value("Key");
        if (const auto shared = headers.find("Shared")) {
            const std::vector<std::string> parts = absl::StrSplit(std::string(*shared), ',');
            for (const auto &part : parts)
                metadata.prompt.push_back({part, longPrefix});
            metadata.prompt.push_back({"own", 10});
        }
        if (headers.find("Patience"))
            metadata.callerTimeout =
                milliseconds(std::stoi(std::string(headers.value("Patience"))));
        return metadata;
    };
    protocol.headersForServer = [](const HttpHeaders &headers, const ForwardMetadata &metadata) {
        HttpHeaders result{{"Id", std::string(headers.value("Id"))}};
        result.add("Workspace", metadata.workspace.value());
        result.add("Last-Event", metadata.lastEventId);
        return result;
    };
    protocol.readResponseMetadata = [](int status, const HttpHeaders &headers) {
        ResponseMetadata metadata;
        metadata.requestId = headers.value("Id");
        metadata.sealed = headers.find("Seal").has_value();
        metadata.notRun = headers.find("Not-Run").has_value();
        metadata.misdirected = status == 421;
        metadata.leaving = headers.find("Leaving").has_value();
        if (headers.find("Pause"))
            metadata.retryAfter = milliseconds(std::stoi(std::string(headers.value("Pause"))));
        metadata.eventStream = headers.value("Content-Type") == "text/event-stream";
        return metadata;
    };
    protocol.setRetryAfter = [](HttpHeaders &headers, milliseconds time) {
        headers.set("Retry-After", std::to_string(time.count()));
    };
    return protocol;
}

/** A relay behind a real HTTP server, in front of scripted backend servers. */
class RelayFixture
{
public:
    /** @param admission limits of the requests that wait for places; nothing if none do */
    explicit RelayFixture(EventLoop &loop,
                          std::optional<AdmissionQueue::Limits> admission = std::nullopt)
        : loop_(loop)
        , client_(HttpClient::create(loop, {.connectTimeout = milliseconds(300)}))
        , cold_(InstanceId("self"))
        , rateLimits_(InstanceId("self"))
        , chooser_(fleet, loads_, health_, backoff_, stalls, cold_, rateLimits_, reports_)
        , protocol_(testProtocol())
        , admission_(loop, metrics_, admission.value_or(AdmissionQueue::Limits{}), 1)
        , relay_({.loop = loop_,
                  .client = *client_,
                  .fleet = fleet,
                  .loads = loads_,
                  .health = health_,
                  .backoff = backoff_,
                  .chooser = chooser_,
                  .prompts = prompts_,
                  .stalls = stalls,
                  .quarantine = quarantine_,
                  .rateLimits = rateLimits_,
                  .reports = reports_,
                  .rollouts = rollouts,
                  .protocol = protocol_,
                  .metrics = metrics_,
                  .admission = admission ? &admission_ : nullptr,
                  .bodyBudget = budget,
                  .awaitConfig = [this](milliseconds longest) { awaitConfig(longest); },
                  .readyAfter = [] { return milliseconds(700); },
                  .minimumRetryRate = [this] { return retryRate; },
                  .admits = [this](auto, auto deadline) { return deadline <= latestEnd; }},
                 {.resumeSilence = milliseconds(200)}, 1)
    {
        server_ = HttpServer::create(loop, {}, [this](const auto &request, auto &responder) {
                      relay_.handle(request, responder);
                  }).value();
    }

    ~RelayFixture()
    {
        server_->stop();
        for (auto &backend : backends_)
            backend->stop();
        EXPECT_TRUE(loads_.own().empty()) << "a request in flight was not counted as finished";
        admission_.retain([](const ServiceId &) { return false; });
        EXPECT_TRUE(admission_.demands(std::chrono::steady_clock::now()).empty())
            << "a place was not given back";
    }

    ServiceAdmission &admission() { return admission_; }

    /** Makes the service contended, with places for so many requests. */
    void limitTo(int places)
    {
        const auto now = std::chrono::steady_clock::now();
        admission_.update(desk, {.places = places}, now);
        admission_.serverFull(desk, now);
    }

    /** Ends the requests of callers, as the end of a shutdown does. */
    void interrupt() { server_->interrupt(milliseconds(100)); }

    bool contended() const { return admission_.contended(desk, std::chrono::steady_clock::now()); }

    void configure(Route route, bool withKey = false)
    {
        auto config = twoServices();
        route.host = "h";
        route.prefix = "/";
        route.shares = {{desk, 1}};
        config->addRoute(std::move(route));
        config->hasWorkspaces = withKey;
        config->addKey("secret", {WorkspaceId("w"), std::nullopt});
        fleet.apply(ConfigWritten{std::move(config)}, std::chrono::steady_clock::now());
    }

    void addBackend(HttpHandler handler)
    {
        backends_.push_back(HttpServer::create(loop_, {}, std::move(handler)).value());
        addRegistration(backends_.back()->localEndpoint());
    }

    /** Registers a backend server whose address refuses connections. */
    void addUnreachableBackend()
    {
        auto stopped = HttpServer::create(loop_, {}, {}).value();
        const auto endpoint = stopped->localEndpoint();
        stopped.reset();
        addRegistration(endpoint);
    }

    Result<HttpResponse> call(HttpHeaders headers = {{"Id", "r1"}}, const std::string &path = "/x",
                              milliseconds limit = callLimit)
    {
        headers.add("Host", "h");
        return client_->request(server_->localEndpoint(),
                                {.method = "POST", .target = path, .headers = headers}, limit,
                                {.keepHost = true});
    }

    /** What a caller received of a response, and whether it ended properly. */
    struct Received
    {
        int status = 0;
        std::string body;
        bool complete = false;
    };

    Received receive(HttpHeaders headers = {{"Id", "r1"}})
    {
        headers.add("Host", "h");
        auto stream = client_->open(server_->localEndpoint(),
                                    {.method = "POST", .target = "/x", .headers = headers},
                                    callLimit, {.keepHost = true});
        Received received;
        if (stream)
            received.status = stream.value()->status();
        while (stream) {
            auto part = stream.value()->readSome(callLimit);
            received.complete = part && part.value().empty();
            if (!part || received.complete)
                break;
            received.body += part.value();
        }
        return received;
    }

    /** Sets the requests in flight that another instance reports, by server. */
    void setPeerRequests(RequestCountsByServer requests)
    {
        loads_.setPeerRequests(InstanceId("other"), std::move(requests),
                               std::chrono::steady_clock::now());
    }

    FleetView fleet;

    RolloutTraffic rollouts{fleet, {}};

    /** Called while a request waits for the first configuration. */
    std::function<void(milliseconds longest)> awaitConfig = [](milliseconds) {};
    double retryRate = 10;

    /** Requests that may last longer are not passed on. */
    TimePoint latestEnd = TimePoint::max();
    StallDetector stalls{[](const ServerId &) { return false; }};
    std::shared_ptr<ByteBudget> budget = std::make_shared<ByteBudget>(256 * 1024);

    void registerBackend(const Endpoint &endpoint) { addRegistration(endpoint); }

private:
    void addRegistration(const Endpoint &endpoint)
    {
        auto registered = server("s" + std::to_string(registered_++), desk);
        registered.endpoint = endpoint;
        fleet.apply(ServerWritten{registered}, std::chrono::steady_clock::now());
    }

    EventLoop &loop_;
    std::unique_ptr<HttpClient> client_;
    LoadTable loads_;
    ServerHealth health_;
    ServerBackoff backoff_;
    ColdAllowance cold_;
    ServerRateLimits rateLimits_;
    ServerReports reports_;
    PromptQuarantine quarantine_{InstanceId("self")};
    ServerChooser chooser_;
    PromptCacheIndex prompts_;
    CallerProtocol protocol_;
    Metrics metrics_;
    ServiceAdmission admission_;
    RequestRelay relay_;
    std::unique_ptr<HttpServer> server_;
    std::vector<std::unique_ptr<HttpServer>> backends_;
    int registered_ = 0;
};

/** Runs a test body in a fiber with a fixture. */
inline void withRelay(const std::function<void(RelayFixture &)> &body,
                      std::optional<AdmissionQueue::Limits> admission = std::nullopt)
{
    EventLoop loop;
    loop.run([&] {
        RelayFixture fixture(loop, admission);
        body(fixture);
    });
}

/** Handler that counts its calls and always sends the same response. */
inline HttpHandler respondWith(int status, const HttpHeaders &headers, int &calls)
{
    return [=, &calls](const HttpRequest &, HttpResponder &out) {
        ++calls;
        out.send(status, headers, "body");
    };
}

/** Head of a valid response to the request r1. */
inline const HttpHeaders sealed{{"Id", "r1"}, {"Seal", "s"}};

/** Head of a refusal of the request r1. */
inline const HttpHeaders notRun{{"Id", "r1"}, {"Not-Run", "1"}};

inline HttpHeaders streamHead()
{
    auto headers = sealed;
    headers.add("Content-Type", "text/event-stream");
    return headers;
}

} // namespace jy::test
