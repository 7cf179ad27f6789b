#pragma once

#include "jy_base/errors/Error.h"
#include "jy_http/server/HttpServer.h"
#include "jy_router/operations/Explanation.h"
#include "jy_router/operations/FleetStatus.h"
#include "jy_router/operations/OperatorKeys.h"
#include "jy_runtime/events/EventBuffer.h"
#include "jy_runtime/metrics/Metrics.h"

#include <functional>
#include <memory>
#include <string>
#include <vector>

namespace jy {

/** A desired-state file in force. */
struct ConfigDocument
{
    std::uint64_t revision = 0;
    std::string author;

    /** Text in the format of parseDesiredState(). */
    std::string text;
};

/** A desired-state file to apply. */
struct ApplyRequest
{
    std::string text;

    /** Holder of the operator key. */
    std::string author;

    /** Applying the same request id again returns the result of the first time. */
    std::string requestId;

    /** Only check; change nothing. */
    bool checkOnly = false;
};

struct ApplyResult
{
    /** Revision of the applied file; the one in force for a check. */
    std::uint64_t revision = 0;

    /** For example that a move is unlikely to finish by its deadline. */
    std::vector<std::string> warnings;
};

/** Whether a router serves, and if not, why. */
struct Readiness
{
    bool ready = false;
    std::string reason;
};

/**
 * Operator API on its own port.
 *
 * `GET /ops/status`, `GET /ops/explain?chat=&workspace=&model=` or `?server=`,
 * `GET /ops/events?since=&limit=&chat=&server=&workspace=&move=&revision=&kind=`,
 * `GET /ops/config` and `PUT /ops/config[?check=1]` need a bearer key. `GET /healthz`, `/readyz`
 * and `/metrics` need none, so that the platform can call them.
 */
class OperatorApi
{
public:
    /** Everything that the API reads and changes; all hooks run in the fiber of the request. */
    struct Dependencies
    {
        OperatorKeys &keys;
        EventBuffer &events;
        Metrics &metrics;

        /** Start time of the process in ms; tells readers that event sequences start again. */
        std::uint64_t incarnation = 0;

        std::function<Readiness()> readiness;
        std::function<FleetStatus()> status;
        std::function<Result<ChatExplanation>(const ChatQuestion &)> explainChat;
        std::function<Result<ServerExplanation>(const ServerId &)> explainServer;
        std::function<Result<ConfigDocument>()> config;
        std::function<Result<ApplyResult>(const ApplyRequest &)> apply;
    };

    /**
     * Starts to listen.
     *
     * @returns SettingsInvalid when the address cannot be bound
     */
    static Result<std::unique_ptr<OperatorApi>> create(EventLoop &loop, HttpServerSettings settings,
                                                       Dependencies dependencies);

    /** Answers one request; public, so that it can be tested without a socket. */
    HttpResponse answer(const HttpRequest &request) const;

    Endpoint localEndpoint() const { return server_->localEndpoint(); }

    /** Closes every connection and waits for the handlers. */
    void stop() { server_->stop(); }

    explicit OperatorApi(Dependencies dependencies);

private:
    HttpResponse answerAuthenticated(const HttpRequest &request, const std::string &holder) const;
    HttpResponse refuseKey(const HttpRequest &request) const;
    HttpResponse readiness() const;
    HttpResponse metrics() const;
    HttpResponse status() const;
    HttpResponse explain(const HttpRequest &request) const;
    HttpResponse events(const HttpRequest &request) const;
    HttpResponse config() const;
    HttpResponse applyConfig(const HttpRequest &request, const std::string &holder) const;

    Dependencies dependencies_;
    std::unique_ptr<HttpServer> server_;
};

} // namespace jy
