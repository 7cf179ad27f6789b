#include "jy_http/messages/HttpMessage.h"

#include "jy_base/errors/ErrorTable.h"

#include <boost/json/object.hpp>
#include <boost/json/serialize.hpp>

#include <algorithm>

namespace jy {

namespace {

int hexDigit(char c)
{
    if (c >= '0' && c <= '9')
        return c - '0';
    if (c >= 'a' && c <= 'f')
        return c - 'a' + 10;
    if (c >= 'A' && c <= 'F')
        return c - 'A' + 10;
    return -1;
}

bool isUnreserved(char c)
{
    return (c >= 'a' && c <= 'z') || (c >= 'A' && c <= 'Z') || (c >= '0' && c <= '9') || c == '-'
        || c == '.' || c == '_' || c == '~';
}

} // namespace

std::string_view HttpRequest::path() const
{
    return std::string_view(target).substr(0, target.find('?'));
}

std::optional<std::string> HttpRequest::queryParameter(std::string_view name) const
{
    const auto question = target.find('?');
    if (question == std::string::npos)
        return std::nullopt;
    std::string_view rest = std::string_view(target).substr(question + 1);
    while (!rest.empty()) {
        const auto pair = rest.substr(0, rest.find('&'));
        rest.remove_prefix(std::min(rest.size(), pair.size() + 1));
        const auto equals = pair.find('=');
        if (percentDecode(pair.substr(0, equals), true) != name)
            continue;
        return equals == std::string_view::npos ? std::string()
                                                : percentDecode(pair.substr(equals + 1), true);
    }
    return std::nullopt;
}

std::string percentDecode(std::string_view text, bool plusIsSpace)
{
    std::string out;
    out.reserve(text.size());
    for (std::size_t i = 0; i < text.size(); ++i) {
        const bool escape = text[i] == '%' && i + 2 < text.size() && hexDigit(text[i + 1]) >= 0
            && hexDigit(text[i + 2]) >= 0;
        if (escape) {
            out += static_cast<char>(hexDigit(text[i + 1]) * 16 + hexDigit(text[i + 2]));
            i += 2;
        } else {
            out += plusIsSpace && text[i] == '+' ? ' ' : text[i];
        }
    }
    return out;
}

std::string percentEncode(std::string_view text)
{
    constexpr std::string_view digits = "0123456789ABCDEF";
    std::string out;
    for (const char c : text) {
        if (isUnreserved(c)) {
            out += c;
            continue;
        }
        const auto byte = static_cast<unsigned char>(c);
        out += '%';
        out += digits[byte >> 4U];
        out += digits[byte & 0xFU];
    }
    return out;
}

std::string errorBody(const Error &error, std::string_view requestId)
{
    const auto &answer = answerFor(error.kind);
    boost::json::object fields;
    fields["kind"] = answer.name;
    fields["effect"] = toString(answer.effect);
    fields["message"] = error.message;
    fields["retry_after_ms"] = error.retryAfter.count();
    fields["request_id"] = requestId;
    return boost::json::serialize(boost::json::object{{"error", std::move(fields)}});
}

HttpResponse errorResponse(const Error &error, std::string_view requestId)
{
    HttpResponse response;
    response.status = answerFor(error.kind).httpStatus;
    response.headers.add("Content-Type", "application/json");
    if (error.retryAfter.count() > 0) {
        const auto seconds = std::chrono::ceil<std::chrono::seconds>(error.retryAfter);
        response.headers.add("Retry-After", std::to_string(seconds.count()));
    }
    if (!requestId.empty())
        response.headers.add("X-Request-Id", requestId);
    response.body = errorBody(error, requestId);
    return response;
}

} // namespace jy
