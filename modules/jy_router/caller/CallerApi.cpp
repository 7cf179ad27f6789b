#include "jy_router/caller/CallerApi.h"

#include "jy_base/errors/ErrorTable.h"
#include "jy_router/caller/ChatRelay.h"
#include "jy_router/caller/RequestContext.h"
#include "jy_router/caller/ServiceRelay.h"

#include <boost/json/array.hpp>
#include <boost/json/object.hpp>
#include <boost/json/serialize.hpp>

namespace jy {

using Clock = std::chrono::steady_clock;

namespace {

constexpr std::string_view chatPath = "/v1/chat/completions";
constexpr std::string_view servicePrefix = "/v1/services/";

} // namespace

void CallerApi::handle(const HttpRequest &request, HttpResponder &responder)
{
    if (handleProbe(request, responder))
        return;
    const auto path = request.path();
    if (path == "/v1/lookup" && request.method == "GET")
        return lookup(request, responder);
    if ((path == chatPath && request.method == "POST") || path.starts_with(servicePrefix))
        return work(request, responder);
    refuse(responder,
           {ErrorKind::UnknownTarget, "no target " + request.method + ' ' + std::string(path)},
           request.headers.value("X-Request-Id"));
}

bool CallerApi::handleProbe(const HttpRequest &request, HttpResponder &responder)
{
    const auto path = request.path();
    const HttpHeaders text{{"Content-Type", "text/plain; charset=utf-8"}};
    if (path == "/healthz") {
        responder.send(200, text, "ok\n");
    } else if (path == "/readyz") {
        const bool ready = dependencies_.ready();
        responder.send(ready ? 200 : 503, text, ready ? "ready\n" : "not ready\n");
    } else if (path == "/metrics") {
        responder.send(200, {{"Content-Type", "text/plain; version=0.0.4"}},
                       dependencies_.metricsText());
    } else {
        return false;
    }
    return true;
}

void CallerApi::lookup(const HttpRequest &request, HttpResponder &responder)
{
    const auto requestId = request.headers.value("X-Request-Id");
    const auto workspace = request.queryParameter("workspace").value_or("");
    if (workspace.empty())
        return refuse(responder, {ErrorKind::BadRequest, "the parameter workspace is missing"},
                      requestId);
    const LookupQuery query{WorkspaceId(workspace),
                            ModelId(request.queryParameter("model").value_or("")),
                            ChatId(request.queryParameter("chat").value_or(""))};
    const auto answer = dependencies_.lookup(query);
    if (!answer)
        return refuse(responder, answer.error(), requestId);
    boost::json::array addresses;
    for (const auto &address : answer.value().addresses)
        addresses.emplace_back(toString(address));
    const boost::json::object body{{"addresses", std::move(addresses)},
                                   {"lifetime_ms", answer.value().lifetime.count()},
                                   {"revision", answer.value().revision}};
    responder.send(200, {{"Content-Type", "application/json"}}, boost::json::serialize(body));
}

void CallerApi::work(const HttpRequest &request, HttpResponder &responder)
{
    const auto now = Clock::now();
    const auto context = readContext(request, settings_, dependencies_.newRequestId, now);
    if (!context)
        return refuse(responder, context.error(), request.headers.value("X-Request-Id"));
    if (const auto error = dependencies_.refusal())
        return refuse(responder, *error, context.value().requestId.value());
    if (dependencies_.ownDomainOut())
        return redirect(request, context.value(), responder);
    CallRecord record{.context = context.value()};
    record.error = dispatch(request, context.value(), responder, record);
    record.duration = std::chrono::duration_cast<std::chrono::milliseconds>(Clock::now() - now);
    dependencies_.finished(record);
    if (record.error && !responder.started())
        refuse(responder, *record.error, context.value().requestId.value());
}

std::optional<Error> CallerApi::dispatch(const HttpRequest &request, const CallContext &context,
                                         HttpResponder &responder, CallRecord &record)
{
    if (request.path() == chatPath) {
        ChatRelay relay(dependencies_, settings_, context, responder);
        record.route = "chat";
        auto error = relay.run(request);
        record.attempts = relay.attempts();
        return error;
    }
    ServiceRelay relay(dependencies_, settings_, context, responder);
    record.route = "service";
    auto error = relay.run(request);
    record.attempts = relay.attempts();
    return error;
}

void CallerApi::redirect(const HttpRequest &request, const CallContext &context,
                         HttpResponder &responder)
{
    const auto target = dependencies_.routerElsewhere(context);
    const auto requestId = context.requestId.value();
    if (!target)
        return refuse(responder,
                      {ErrorKind::NoCapacity,
                       "the failure domain is out of service and no router elsewhere is known"},
                      requestId);
    auto response = errorResponse(
        {ErrorKind::DomainOut, "the failure domain is out of service, continue elsewhere"},
        requestId);
    response.headers.set("Location", "http://" + toString(*target) + request.target);
    responder.send(response);
}

void CallerApi::refuse(HttpResponder &responder, Error error, std::string_view requestId)
{
    const auto advice = answerFor(error.kind).advice;
    if (error.retryAfter.count() == 0 && advice != RetryAdvice::Never)
        error.retryAfter = settings_.defaultRetryAfter;
    responder.send(errorResponse(error, requestId));
}

} // namespace jy
