#include "jy_platform/engine/EngineClient.h"

#include <boost/json/parse.hpp>
#include <boost/json/serialize.hpp>
#include <boost/json/value.hpp>

#include <algorithm>
#include <cmath>

namespace jy {

using Clock = std::chrono::steady_clock;
namespace json = boost::json;

namespace {

bool isEngineFailure(int status)
{
    return status == 429 || status >= 500;
}

Error failedStatus(const Endpoint &engine, int status)
{
    return {ErrorKind::BackendFailed,
            "engine " + toString(engine) + " answered status " + std::to_string(status)};
}

std::chrono::milliseconds timeLeft(TimePoint deadline)
{
    return std::chrono::duration_cast<std::chrono::milliseconds>(deadline - Clock::now());
}

// Errors after which the engine may still be generating.
bool mayBeRunning(ErrorKind kind)
{
    return kind == ErrorKind::Cancelled || kind == ErrorKind::DeadlineExceeded
        || kind == ErrorKind::BackendBroken;
}

Result<json::object> parseObject(const std::string &body)
{
    boost::system::error_code error;
    auto value = json::parse(body, error);
    if (error || !value.is_object())
        return failure(ErrorKind::BackendFailed, "the engine did not answer with a JSON object");
    return std::move(value.as_object());
}

std::string textField(const json::object &object, std::string_view name)
{
    const auto *value = object.if_contains(name);
    return value != nullptr && value->is_string() ? std::string(value->as_string()) : std::string();
}

double numberField(const json::object &object, std::string_view name)
{
    const auto *value = object.if_contains(name);
    if (value == nullptr || !value->is_number())
        return 0;
    const auto number = value->to_number<double>();
    return std::isfinite(number) ? std::clamp(number, 0.0, 1e15) : 0;
}

bool flagField(const json::object &object, std::string_view name)
{
    const auto *value = object.if_contains(name);
    return value != nullptr && value->is_bool() && value->as_bool();
}

json::array arrayField(const json::object &object, std::string_view name)
{
    const auto *value = object.if_contains(name);
    return value != nullptr && value->is_array() ? value->as_array() : json::array();
}

LoadReport toLoadReport(const json::object &object)
{
    LoadReport report;
    report.startIdentity = textField(object, "start_identity");
    report.inFlight = static_cast<int>(std::min(numberField(object, "in_flight"), 1e9));
    report.queued = static_cast<int>(std::min(numberField(object, "queued"), 1e9));
    report.cacheHitRate = std::min(numberField(object, "cache_hit_rate"), 1.0);
    report.firstToken =
        std::chrono::milliseconds(std::llround(numberField(object, "first_token_ms")));
    for (const auto &entry : arrayField(object, "loaded")) {
        if (const auto *loaded = entry.if_object())
            report.loaded.push_back({ModelId(textField(*loaded, "model")),
                                     VersionId(textField(*loaded, "version")),
                                     flagField(*loaded, "ready")});
    }
    return report;
}

HttpRequest jsonRequest(std::string target, const json::object &body)
{
    HttpRequest request{.method = "POST", .target = std::move(target)};
    request.headers.add("Content-Type", "application/json");
    request.body = json::serialize(body);
    return request;
}

} // namespace

EngineClient::EngineClient(std::shared_ptr<HttpClient> client, EngineClientSettings settings)
    : client_(std::move(client))
    , settings_(settings)
{ }

std::unique_ptr<EngineClient> EngineClient::create(std::shared_ptr<HttpClient> client,
                                                   EngineClientSettings settings)
{
    return std::unique_ptr<EngineClient>(new EngineClient(std::move(client), settings));
}

Result<HttpResponse> EngineClient::complete(const Endpoint &engine, const ChatCall &call,
                                            const std::shared_ptr<Cancellation> &cancellation)
{
    const auto left = timeLeft(call.deadline);
    if (left.count() <= 0)
        return failure(ErrorKind::DeadlineTooShort, "no time is left for the request");
    auto result = client_->request(engine, chatRequest(call, Clock::now()), left,
                                   {.cancellation = cancellation, .body = call.body});
    if (!result) {
        if (mayBeRunning(result.error().kind))
            cancelDetached(client_, engine, call.requestId, settings_.controlTimeout);
        return result;
    }
    if (isEngineFailure(result.value().status))
        return failedStatus(engine, result.value().status);
    return result;
}

Result<std::unique_ptr<ChatStream>>
EngineClient::openStream(const Endpoint &engine, const ChatCall &call,
                         const std::shared_ptr<Cancellation> &cancellation)
{
    const auto left = timeLeft(call.deadline);
    if (left.count() <= 0)
        return failure(ErrorKind::DeadlineTooShort, "no time is left for the request");
    auto request = chatRequest(call, Clock::now());
    request.headers.add("Accept", "text/event-stream");
    auto response =
        client_->open(engine, request, left, {.cancellation = cancellation, .body = call.body});
    if (!response) {
        if (mayBeRunning(response.error().kind))
            cancelDetached(client_, engine, call.requestId, settings_.controlTimeout);
        return response.error();
    }
    if (isEngineFailure(response.value()->status()))
        return failedStatus(engine, response.value()->status());
    return std::make_unique<ChatStream>(client_, settings_, engine, call, cancellation,
                                        std::move(response.value()));
}

Result<HttpResponse> EngineClient::control(const Endpoint &engine, const HttpRequest &request)
{
    BOOST_OUTCOME_TRY(auto response, client_->request(engine, request, settings_.controlTimeout));
    if (response.status / 100 == 2)
        return response;
    if (isEngineFailure(response.status))
        return failedStatus(engine, response.status);
    const auto message = "engine " + toString(engine) + " answered " + request.method + ' '
        + std::string(request.path()) + " with status " + std::to_string(response.status);
    return failure(response.status == 404 ? ErrorKind::UnknownTarget : ErrorKind::BadRequest,
                   message);
}

Result<void> EngineClient::cancel(const Endpoint &engine, const RequestId &request)
{
    BOOST_OUTCOME_TRYV2(
        auto &&,
        control(engine,
                {.method = "DELETE", .target = "/v1/requests/" + percentEncode(request.value())}));
    return success();
}

Result<LoadReport> EngineClient::load(const Endpoint &engine)
{
    BOOST_OUTCOME_TRY(auto response, control(engine, {.target = "/v1/load"}));
    BOOST_OUTCOME_TRY(auto object, parseObject(response.body));
    auto report = toLoadReport(object);
    if (report.startIdentity.empty())
        return failure(ErrorKind::BackendFailed, "the load report has no start_identity");
    return report;
}

Result<void> EngineClient::order(const Endpoint &engine, const EngineOrder &order)
{
    const json::object body{
        {"fencing_token", order.fencingToken},
        {"action", order.action == EngineOrder::Action::Load ? "load" : "unload"},
        {"model", order.model.value()},
        {"version", order.version.value()}};
    BOOST_OUTCOME_TRY(
        auto response,
        client_->request(engine, jsonRequest("/v1/orders", body), settings_.controlTimeout));
    if (response.status == 409)
        return failure(ErrorKind::LeaseLost,
                       "engine " + toString(engine) + " rejected the fencing token "
                           + std::to_string(order.fencingToken));
    if (response.status / 100 == 2)
        return success();
    if (isEngineFailure(response.status))
        return failedStatus(engine, response.status);
    return failure(ErrorKind::BadRequest,
                   "engine " + toString(engine) + " rejected the order with status "
                       + std::to_string(response.status));
}

Result<KvExport> EngineClient::exportKv(const Endpoint &engine, const ChatId &chat)
{
    BOOST_OUTCOME_TRY(auto response,
                      control(engine, jsonRequest("/v1/kv/export", {{"chat", chat.value()}})));
    BOOST_OUTCOME_TRY(auto object, parseObject(response.body));
    return KvExport{textField(object, "handle"),
                    static_cast<std::uint64_t>(numberField(object, "bytes"))};
}

Result<void> EngineClient::importKv(const Endpoint &engine, const ChatId &chat,
                                    const KvExport &entry, const Endpoint &source)
{
    const json::object body{
        {"chat", chat.value()}, {"handle", entry.handle}, {"source", toString(source)}};
    BOOST_OUTCOME_TRYV2(auto &&, control(engine, jsonRequest("/v1/kv/import", body)));
    return success();
}

Result<CacheEvents> EngineClient::cacheEvents(const Endpoint &engine, std::uint64_t since)
{
    BOOST_OUTCOME_TRY(
        auto response,
        control(engine, {.target = "/v1/cache-events?since=" + std::to_string(since)}));
    BOOST_OUTCOME_TRY(auto object, parseObject(response.body));
    CacheEvents out;
    out.next = std::max(since, static_cast<std::uint64_t>(numberField(object, "next")));
    out.truncated = flagField(object, "truncated");
    for (const auto &entry : arrayField(object, "events")) {
        const auto *event = entry.if_object();
        if (event == nullptr)
            continue;
        out.events.push_back({static_cast<std::uint64_t>(numberField(*event, "sequence")),
                              textField(*event, "type") == "evicted" ? CacheEvent::Type::Evicted
                                                                     : CacheEvent::Type::Stored,
                              ChatId(textField(*event, "chat"))});
    }
    return out;
}

} // namespace jy
