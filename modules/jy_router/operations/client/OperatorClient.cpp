#include "jy_router/operations/client/OperatorClient.h"

#include "jy_base/errors/ErrorTable.h"
#include "jy_runtime/settings/Settings.h"

#include <boost/json/parse.hpp>

#include <cstdlib>

namespace jy {

namespace {

constexpr std::string_view keyVariable = "JY_OPERATOR_KEY";

std::string textOf(const boost::json::object &object, std::string_view key)
{
    const auto *value = object.if_contains(key);
    return value && value->is_string() ? std::string(value->get_string()) : std::string();
}

} // namespace

OperatorClient::OperatorClient(EventLoop &loop, std::string key, std::chrono::milliseconds timeout)
    : client_(HttpClient::create(loop, {.connectTimeout = timeout}))
    , key_(std::move(key))
    , timeout_(timeout)
{ }

Result<HttpResponse> OperatorClient::call(const Endpoint &router, HttpRequest request)
{
    request.headers.set("Authorization", "Bearer " + key_);
    BOOST_OUTCOME_TRY(auto response, client_->request(router, request, timeout_));
    if (response.status != 200) {
        auto error = errorFromResponse(response);
        return failure(error.kind, std::move(error.message), error.retryAfter);
    }
    return response;
}

Result<boost::json::value> OperatorClient::getJson(const Endpoint &router,
                                                   const std::string &target)
{
    BOOST_OUTCOME_TRY(const auto response, call(router, {.method = "GET", .target = target}));
    boost::system::error_code error;
    auto value = boost::json::parse(response.body, error);
    if (error) {
        return failure(ErrorKind::BackendFailed,
                       toString(router) + target + ": response is not JSON: " + error.message());
    }
    return value;
}

Error errorFromResponse(const HttpResponse &response)
{
    boost::system::error_code parseError;
    const auto body = boost::json::parse(response.body, parseError);
    const auto *root = parseError ? nullptr : body.if_object();
    const auto *found = root ? root->if_contains("error") : nullptr;
    if (!found || !found->is_object()) {
        return {ErrorKind::BackendFailed,
                "status " + std::to_string(response.status) + ": " + response.body.substr(0, 200)};
    }
    const auto &error = found->get_object();
    return {errorKindFromName(textOf(error, "kind")).value_or(ErrorKind::BackendFailed),
            textOf(error, "message")};
}

Result<std::vector<Endpoint>> endpointsFromList(const std::string &text)
{
    std::vector<Endpoint> endpoints;
    for (std::size_t start = 0; start <= text.size();) {
        const auto comma = std::min(text.find(',', start), text.size());
        BOOST_OUTCOME_TRY(auto endpoint, endpointFromString(text.substr(start, comma - start)));
        endpoints.push_back(std::move(endpoint));
        start = comma + 1;
    }
    return endpoints;
}

Result<std::string> readOperatorKey(const std::string &file)
{
    std::string key;
    if (file.empty()) {
        const char *value = std::getenv(keyVariable.data());
        key = value ? value : "";
    } else {
        BOOST_OUTCOME_TRY(const auto content, readTextFile(file));
        key = content.substr(0, content.find_first_of("\r\n"));
    }
    if (key.empty()) {
        return failure(ErrorKind::BadRequest,
                       file.empty()
                           ? "no operator key: give --key-file or set " + std::string(keyVariable)
                           : file + ": the first line holds no operator key");
    }
    return key;
}

} // namespace jy
