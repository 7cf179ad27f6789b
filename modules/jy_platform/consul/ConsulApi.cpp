#include "jy_platform/consul/ConsulApi.h"

#include <boost/json/parse.hpp>
#include <openssl/evp.h>

#include <charconv>

namespace jy {

namespace {

constexpr int statusOk = 200;
constexpr int statusNotFound = 404;
constexpr int statusTooLarge = 413;
constexpr int statusTooMany = 429;
constexpr int statusServerError = 500;

constexpr std::chrono::milliseconds rateLimitedRetryAfter{1000};

/** Consul sends this before it hands a write to the leader, so the write is not applied. */
constexpr std::string_view noLeader = "No cluster leader";

Error unavailable(std::string message)
{
    return {ErrorKind::KvUnavailable, std::move(message)};
}

} // namespace

ConsulApi::ConsulApi(std::shared_ptr<HttpClient> http, std::vector<Endpoint> agents)
    : http_(std::move(http))
    , agents_(std::move(agents))
{ }

Result<HttpResponse> ConsulApi::perform(const ConsulCall &call)
{
    // An idle connection may be closed by the agent while the request is on its way, which would
    // leave the effect of a write unknown more often than necessary.
    const HttpCallOptions options{.freshConnection = call.write, .cancellation = call.cancellation};
    for (std::size_t attempt = 0; attempt < agents_.size(); ++attempt) {
        auto response = http_->request(agents_[current_], call.request, call.timeout, options);
        const bool refused = !response && response.error().kind == ErrorKind::ConnectFailed;
        if (!refused)
            return check(call, std::move(response));
        current_ = (current_ + 1) % agents_.size();
    }
    return boost::outcome_v2::failure(unavailable("no agent of the service accepts connections"));
}

Result<HttpResponse> ConsulApi::check(const ConsulCall &call, Result<HttpResponse> response) const
{
    const auto where = call.request.method + ' ' + std::string(call.request.path());
    const auto lost = call.write ? ErrorKind::KvOutcomeUnknown : ErrorKind::KvUnavailable;
    if (!response) {
        const auto &error = response.error();
        if (error.kind == ErrorKind::BadRequest)
            return response;
        return failure(lost, where + " got no response: " + error.message);
    }
    const auto &answer = response.value();
    if (answer.status == statusOk || answer.status == statusNotFound)
        return response;
    const auto status = where + " failed with status " + std::to_string(answer.status);
    if (answer.status == statusTooLarge)
        return failure(ErrorKind::PayloadTooLarge, status);
    if (answer.status == statusTooMany)
        return failure(ErrorKind::KvUnavailable, status, rateLimitedRetryAfter);
    if (answer.body.starts_with(noLeader))
        return boost::outcome_v2::failure(unavailable(status));
    if (answer.status >= statusServerError)
        return failure(lost, status);
    return failure(ErrorKind::Internal, status);
}

std::uint64_t consulIndex(const HttpResponse &response)
{
    const auto text = response.headers.value("X-Consul-Index");
    std::uint64_t index = 0;
    std::from_chars(text.data(), text.data() + text.size(), index);
    return index;
}

std::string blockingQuery(std::uint64_t index, std::chrono::milliseconds wait)
{
    return "index=" + std::to_string(index) + "&wait=" + std::to_string(wait.count()) + "ms";
}

Result<boost::json::value> parseJson(const std::string &body)
{
    boost::system::error_code error;
    auto value = boost::json::parse(body, error);
    if (error)
        return failure(ErrorKind::Internal, "the response is not JSON: " + error.message());
    return value;
}

std::string jsonText(const boost::json::object &object, std::string_view name)
{
    const auto *value = object.if_contains(name);
    return value != nullptr && value->is_string() ? std::string(value->as_string()) : std::string();
}

std::uint64_t jsonNumber(const boost::json::object &object, std::string_view name)
{
    const auto *value = object.if_contains(name);
    if (value == nullptr || !value->is_number())
        return 0;
    boost::system::error_code error;
    const auto number = value->to_number<std::uint64_t>(error);
    return error ? 0 : number;
}

const boost::json::object &jsonObject(const boost::json::object &object, std::string_view name)
{
    static const boost::json::object empty;
    const auto *value = object.if_contains(name);
    return value != nullptr && value->is_object() ? value->as_object() : empty;
}

Result<std::string> decodeBase64(std::string_view text)
{
    if (text.size() % 4 != 0)
        return failure(ErrorKind::BadRequest, "the length of base64 text is no multiple of 4");
    std::string decoded(text.size() / 4 * 3, '\0');
    const int size = EVP_DecodeBlock(reinterpret_cast<unsigned char *>(decoded.data()),
                                     reinterpret_cast<const unsigned char *>(text.data()),
                                     static_cast<int>(text.size()));
    if (size < 0)
        return failure(ErrorKind::BadRequest, "the text is not base64");
    // EVP_DecodeBlock counts the padding as zero bytes.
    const std::size_t padding = text.ends_with("==") ? 2 : text.ends_with('=') ? 1 : 0;
    decoded.resize(static_cast<std::size_t>(size) - padding);
    return decoded;
}

} // namespace jy
