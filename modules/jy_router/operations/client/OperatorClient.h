#pragma once

#include "jy_base/errors/Error.h"
#include "jy_http/client/HttpClient.h"

#include <boost/json/value.hpp>

#include <chrono>
#include <memory>
#include <string>
#include <vector>

namespace jy {

/** Calls the operator API of routers. */
class OperatorClient
{
public:
    /**
     * @param key bearer key
     * @param timeout of one call
     */
    OperatorClient(EventLoop &loop, std::string key, std::chrono::milliseconds timeout);

    /**
     * Performs one call.
     *
     * @returns the response if its status is 200; otherwise the error of the body, or BackendFailed
     *          for a body that holds none
     */
    Result<HttpResponse> call(const Endpoint &router, HttpRequest request);

    /** GET with a JSON response. */
    Result<boost::json::value> getJson(const Endpoint &router, const std::string &target);

private:
    std::unique_ptr<HttpClient> client_;
    std::string key_;
    std::chrono::milliseconds timeout_;
};

/** The error that an operator API response holds. */
Error errorFromResponse(const HttpResponse &response);

/** Reads "address:port,address:port". @returns BadRequest that names the wrong part. */
Result<std::vector<Endpoint>> endpointsFromList(const std::string &text);

/**
 * The bearer key: first line of @p file, or the environment variable JY_OPERATOR_KEY when @p file
 * is empty. A key given on the command line would be visible to other users of the machine.
 */
Result<std::string> readOperatorKey(const std::string &file);

} // namespace jy
