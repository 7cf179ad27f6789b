#pragma once

#include "jy_base/errors/Error.h"
#include "jy_base/net/Endpoint.h"
#include "jy_http/client/HttpClient.h"

#include <boost/json/object.hpp>
#include <boost/json/value.hpp>

#include <chrono>
#include <cstdint>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

namespace jy {

/** One exchange with the Consul HTTP API. */
struct ConsulCall
{
    HttpRequest request;
    std::chrono::milliseconds timeout{1000};

    /** The call may change something, so a lost response leaves its effect unknown. */
    bool write = false;

    std::shared_ptr<Cancellation> cancellation;
};

/**
 * Performs exchanges with one of several equivalent agents and classifies their failures.
 *
 * A refused connection moves on to the next agent, because nothing was sent. Any other failure is
 * returned: KvUnavailable when the call has certainly not been applied, which includes every read,
 * and KvOutcomeUnknown for a write whose response was lost.
 */
class ConsulApi
{
public:
    ConsulApi(std::shared_ptr<HttpClient> http, std::vector<Endpoint> agents);

    /** @returns a response with status 200 or 404. */
    Result<HttpResponse> perform(const ConsulCall &call);

private:
    Result<HttpResponse> check(const ConsulCall &call, Result<HttpResponse> response) const;

    std::shared_ptr<HttpClient> http_;
    std::vector<Endpoint> agents_;
    std::size_t current_ = 0;
};

/** Value of the X-Consul-Index header, or 0. */
std::uint64_t consulIndex(const HttpResponse &response);

/** "index=N&wait=Nms" of a blocking query. */
std::string blockingQuery(std::uint64_t index, std::chrono::milliseconds wait);

/** Parses JSON; Internal when the body is none. */
Result<boost::json::value> parseJson(const std::string &body);

/** The text of a member, or the empty text. */
std::string jsonText(const boost::json::object &object, std::string_view name);

/** The number of a member, or 0. */
std::uint64_t jsonNumber(const boost::json::object &object, std::string_view name);

/** The object of a member, or an empty one. */
const boost::json::object &jsonObject(const boost::json::object &object, std::string_view name);

/** Decodes base64; BadRequest for other text. */
Result<std::string> decodeBase64(std::string_view text);

} // namespace jy
