#pragma once

#include "jy_http/messages/HttpMessage.h"

#include <string>
#include <string_view>

namespace jy {

/** How the length of a message body is announced. */
enum class BodyFraming {
    Length, /**< Content-Length */
    Chunked, /**< Transfer-Encoding: chunked */
    None, /**< the message cannot have a body */
};

/**
 * Serialises a request head. Framing and connection fields of @p request are replaced.
 *
 * @param bodySize of the body that follows, which need not be that of @p request
 * @returns BadRequest when a method, target or header field contains characters that would change
 *          the structure of the message (request smuggling, header injection)
 */
Result<std::string> requestHead(const HttpRequest &request, std::string_view host,
                                std::size_t bodySize);

/** Serialises a response head; invalid header fields are dropped. */
std::string responseHead(int status, const HttpHeaders &headers, BodyFraming framing,
                         std::size_t bodySize, bool keepAlive);

/** @returns whether name and value contain only characters allowed in a header field. */
bool isValidField(std::string_view name, std::string_view value);

/** Standard reason phrase of a status. */
std::string_view reasonPhrase(int status);

} // namespace jy
