#pragma once

#include "jy_base/errors/Error.h"
#include "jy_base/net/Endpoint.h"
#include "jy_http/messages/HttpHeaders.h"

#include <optional>
#include <string>
#include <string_view>

namespace jy {

/** A request with its complete body. */
struct HttpRequest
{
    /** Upper-case method. */
    std::string method = "GET";

    /** Path and query in origin form, percent-encoded as on the wire. */
    std::string target = "/";

    HttpHeaders headers;
    std::string body;

    /** Address of the sender; set by HttpServer, ignored by HttpClient. */
    Endpoint source;

    /** @returns the target without its query. */
    std::string_view path() const;

    /** @returns the first query parameter of that name, percent-decoded. */
    std::optional<std::string> queryParameter(std::string_view name) const;
};

/** A response with its complete body. */
struct HttpResponse
{
    int status = 200;
    HttpHeaders headers;
    std::string body;
};

/** Decodes %XX and, in queries, '+'. Malformed escapes are kept as they are. */
std::string percentDecode(std::string_view text, bool plusIsSpace = false);

/** Encodes everything but the unreserved characters of RFC 3986. */
std::string percentEncode(std::string_view text);

/**
 * Builds the response of section 9 of the design page for an error: status, retry-after header
 * and a JSON body with kind, effect, message, retry_after_ms and request_id.
 */
HttpResponse errorResponse(const Error &error, std::string_view requestId = {});

/** The JSON body of errorResponse(); also the data of a stream's `event: error`. */
std::string errorBody(const Error &error, std::string_view requestId = {});

} // namespace jy
