#include "jy_router/operations/OperatorApi.h"

#include "jy_router/operations/OperatorJson.h"
#include "jy_runtime/events/EventJson.h"
#include "jy_runtime/logging/Log.h"

#include <boost/json/array.hpp>
#include <boost/json/serialize.hpp>

#include <algorithm>
#include <charconv>

namespace jy {

namespace {

namespace json = boost::json;

constexpr std::size_t maxEventsPerPage = 1000;

HttpResponse jsonResponse(const json::object &body)
{
    return {200, {{"Content-Type", "application/json"}}, json::serialize(body) + '\n'};
}

HttpResponse textResponse(int status, std::string body)
{
    return {status, {{"Content-Type", "text/plain; charset=utf-8"}}, std::move(body)};
}

HttpResponse errorFor(const HttpRequest &request, ErrorKind kind, std::string message)
{
    return errorResponse(Error{kind, std::move(message)}, request.headers.value("X-Request-Id"));
}

HttpResponse wrongMethod(std::string_view allowed)
{
    auto response = textResponse(405, "allowed: " + std::string(allowed) + '\n');
    response.headers.add("Allow", allowed);
    return response;
}

std::string parameter(const HttpRequest &request, std::string_view name)
{
    return request.queryParameter(name).value_or(std::string());
}

/** Reads a whole number; absent gives @p fallback. */
Result<std::uint64_t> numberParameter(const HttpRequest &request, std::string_view name,
                                      std::uint64_t fallback)
{
    const auto text = parameter(request, name);
    if (text.empty())
        return fallback;
    std::uint64_t number = 0;
    const auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), number);
    if (error != std::errc{} || end != text.data() + text.size()) {
        return failure(ErrorKind::BadRequest,
                       std::string(name) + "=\"" + text
                           + "\" is not allowed; allowed: a whole number");
    }
    return number;
}

template <class Explanation>
HttpResponse explanationResponse(const HttpRequest &request, const Result<Explanation> &explanation)
{
    if (!explanation)
        return errorResponse(explanation.error(), request.headers.value("X-Request-Id"));
    return jsonResponse(toJson(explanation.value()));
}

} // namespace

Result<std::unique_ptr<OperatorApi>>
OperatorApi::create(EventLoop &loop, HttpServerSettings settings, Dependencies dependencies)
{
    auto api = std::make_unique<OperatorApi>(std::move(dependencies));
    const auto handler = [self = api.get()](const HttpRequest &request, HttpResponder &responder) {
        responder.send(self->answer(request));
    };
    BOOST_OUTCOME_TRY(api->server_, HttpServer::create(loop, std::move(settings), handler));
    return api;
}

OperatorApi::OperatorApi(Dependencies dependencies)
    : dependencies_(std::move(dependencies))
{ }

HttpResponse OperatorApi::answer(const HttpRequest &request) const
{
    const auto path = request.path();
    if (path == "/healthz" || path == "/readyz" || path == "/metrics") {
        if (request.method != "GET")
            return wrongMethod("GET");
        if (path == "/healthz")
            return textResponse(200, "ok\n");
        return path == "/readyz" ? readiness() : metrics();
    }
    const auto holder = dependencies_.keys.holder(request.headers.value("Authorization"));
    if (!holder)
        return refuseKey(request);
    return answerAuthenticated(request, *holder);
}

HttpResponse OperatorApi::answerAuthenticated(const HttpRequest &request,
                                              const std::string &holder) const
{
    const auto path = request.path();
    if (path == "/ops/config") {
        if (request.method == "PUT")
            return applyConfig(request, holder);
        return request.method == "GET" ? config() : wrongMethod("GET, PUT");
    }
    const bool known = path == "/ops/status" || path == "/ops/explain" || path == "/ops/events";
    if (!known)
        return errorFor(request, ErrorKind::UnknownTarget, "no such path: " + std::string(path));
    if (request.method != "GET")
        return wrongMethod("GET");
    if (path == "/ops/status")
        return status();
    return path == "/ops/explain" ? explain(request) : events(request);
}

HttpResponse OperatorApi::refuseKey(const HttpRequest &request) const
{
    dependencies_.metrics
        .counter("jy_operator_keys_refused_total", "Operator requests without a valid key.")
        .add();
    logEvent(LogLevel::Warn, "operator-key-refused",
             {{"source", request.source.address}, {"path", request.path()}});
    auto response = errorFor(request, ErrorKind::Unauthenticated,
                             "the Authorization header holds no valid operator key");
    response.headers.set("WWW-Authenticate", "Bearer");
    return response;
}

HttpResponse OperatorApi::readiness() const
{
    const auto readiness = dependencies_.readiness();
    return readiness.ready ? textResponse(200, "ready\n")
                           : textResponse(503, "not ready: " + readiness.reason + '\n');
}

HttpResponse OperatorApi::metrics() const
{
    return {200,
            {{"Content-Type", "text/plain; version=0.0.4; charset=utf-8"}},
            dependencies_.metrics.prometheusText()};
}

HttpResponse OperatorApi::status() const
{
    return jsonResponse(toJson(dependencies_.status()));
}

HttpResponse OperatorApi::explain(const HttpRequest &request) const
{
    const ServerId server(parameter(request, "server"));
    const ChatQuestion question{ChatId(parameter(request, "chat")),
                                WorkspaceId(parameter(request, "workspace")),
                                ModelId(parameter(request, "model"))};
    if (server.empty() == question.chat.empty()) {
        return errorFor(request, ErrorKind::BadRequest,
                        "give exactly one of the parameters chat and server");
    }
    if (!server.empty())
        return explanationResponse(request, dependencies_.explainServer(server));
    if (question.workspace.empty())
        return errorFor(request, ErrorKind::BadRequest, "a chat needs the parameter workspace");
    return explanationResponse(request, dependencies_.explainChat(question));
}

HttpResponse OperatorApi::events(const HttpRequest &request) const
{
    const auto since = numberParameter(request, "since", 0);
    const auto limit = numberParameter(request, "limit", maxEventsPerPage);
    if (!since || !limit) {
        return errorResponse(since ? limit.error() : since.error(),
                             request.headers.value("X-Request-Id"));
    }
    const EventFilter filter{.chat = parameter(request, "chat"),
                             .server = parameter(request, "server"),
                             .workspace = parameter(request, "workspace"),
                             .move = parameter(request, "move"),
                             .revision = parameter(request, "revision"),
                             .kind = parameter(request, "kind")};
    const auto bounded = std::clamp<std::uint64_t>(limit.value(), 1, maxEventsPerPage);
    const auto page = dependencies_.events.since(since.value(), filter, bounded);
    json::array list;
    for (const auto &event : page.events)
        list.push_back(toJson(event));
    return jsonResponse({{"process", dependencies_.events.process()},
                         {"incarnation", dependencies_.incarnation},
                         {"next", page.nextSequence},
                         {"lost", page.lost},
                         {"events", std::move(list)}});
}

HttpResponse OperatorApi::config() const
{
    const auto document = dependencies_.config();
    if (!document)
        return errorResponse(document.error());
    return {200,
            {{"Content-Type", "application/json"},
             {"X-Config-Revision", std::to_string(document.value().revision)},
             {"X-Config-Author", document.value().author}},
            document.value().text};
}

HttpResponse OperatorApi::applyConfig(const HttpRequest &request, const std::string &holder) const
{
    const ApplyRequest apply{.text = request.body,
                             .author = holder,
                             .requestId = std::string(request.headers.value("X-Request-Id")),
                             .checkOnly = parameter(request, "check") == "1"};
    if (apply.requestId.empty() && !apply.checkOnly) {
        return errorFor(request, ErrorKind::BadRequest,
                        "the header X-Request-Id is missing; it makes a repeated PUT harmless");
    }
    const auto result = dependencies_.apply(apply);
    logEvent(LogLevel::Info, apply.checkOnly ? "config-check" : "config-apply",
             {{"request", apply.requestId},
              {"author", holder},
              {"ok", result.has_value()},
              {"revision", result ? result.value().revision : 0},
              {"error", result ? std::string() : result.error().message}});
    if (!result)
        return errorResponse(result.error(), apply.requestId);
    const auto &warnings = result.value().warnings;
    return jsonResponse({{"revision", result.value().revision},
                         {"warnings", json::array(warnings.begin(), warnings.end())}});
}

} // namespace jy
