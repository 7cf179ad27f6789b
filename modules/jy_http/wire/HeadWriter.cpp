#include "jy_http/wire/HeadWriter.h"

#include <boost/beast/http/status.hpp>

#include <algorithm>
#include <array>

namespace jy {

namespace {

constexpr std::array<std::string_view, 7> hopByHopFields = {
    "Content-Length", "Transfer-Encoding", "Connection", "Keep-Alive", "Proxy-Connection", "TE",
    "Upgrade"};

bool isHopByHopField(std::string_view name)
{
    return std::ranges::any_of(
        hopByHopFields, [name](std::string_view hop) { return equalsIgnoringCase(hop, name); });
}

// The Connection field may list further hop-by-hop fields (RFC 9110, section 7.6.1).
bool isListedInConnection(const HttpHeaders &headers, std::string_view name)
{
    auto rest = headers.value("Connection");
    while (!rest.empty()) {
        const auto end = std::min(rest.find(','), rest.size());
        auto option = rest.substr(0, end);
        rest.remove_prefix(std::min(end + 1, rest.size()));
        while (option.starts_with(' '))
            option.remove_prefix(1);
        while (option.ends_with(' '))
            option.remove_suffix(1);
        if (equalsIgnoringCase(option, name))
            return true;
    }
    return false;
}

bool isTokenCharacter(char c)
{
    return (c >= '0' && c <= '9') || (c >= 'A' && c <= 'Z') || (c >= 'a' && c <= 'z')
        || std::string_view("!#$%&'*+-.^_`|~").find(c) != std::string_view::npos;
}

bool isToken(std::string_view text)
{
    return !text.empty() && std::ranges::all_of(text, isTokenCharacter);
}

bool isVisible(char c)
{
    const auto byte = static_cast<unsigned char>(c);
    return byte > 0x20 && byte != 0x7F;
}

bool isFieldCharacter(char c)
{
    return isVisible(c) || c == ' ' || c == '\t';
}

void appendField(std::string &out, std::string_view name, std::string_view value)
{
    out.append(name).append(": ").append(value).append("\r\n");
}

} // namespace

bool isValidField(std::string_view name, std::string_view value)
{
    return isToken(name) && std::ranges::all_of(value, isFieldCharacter);
}

std::string_view reasonPhrase(int status)
{
    return boost::beast::http::obsolete_reason(
        boost::beast::http::int_to_status(static_cast<unsigned>(status)));
}

Result<std::string> requestHead(const HttpRequest &request, std::string_view host,
                                std::size_t bodySize)
{
    if (!isToken(request.method))
        return failure(ErrorKind::BadRequest, "the request method is not a token");
    if (request.target.empty() || !std::ranges::all_of(request.target, isVisible))
        return failure(ErrorKind::BadRequest, "the request target contains invalid characters");
    std::string out = request.method + ' ' + request.target + " HTTP/1.1\r\n";
    appendField(out, "Host", host);
    for (const auto &[name, value] : request.headers) {
        if (!isValidField(name, value))
            return failure(ErrorKind::BadRequest, "a header field contains invalid characters");
        const bool hop = isHopByHopField(name) || isListedInConnection(request.headers, name);
        if (!hop && !equalsIgnoringCase(name, "Host"))
            appendField(out, name, value);
    }
    if (bodySize > 0 || (request.method != "GET" && request.method != "HEAD"))
        appendField(out, "Content-Length", std::to_string(bodySize));
    return out + "\r\n";
}

std::string responseHead(int status, const HttpHeaders &headers, BodyFraming framing,
                         std::size_t bodySize, bool keepAlive)
{
    std::string out = "HTTP/1.1 " + std::to_string(status) + ' ';
    out.append(reasonPhrase(status)).append("\r\n");
    for (const auto &[name, value] : headers) {
        const bool hop = isHopByHopField(name) || isListedInConnection(headers, name);
        if (!hop && isValidField(name, value))
            appendField(out, name, value);
    }
    if (framing == BodyFraming::Length)
        appendField(out, "Content-Length", std::to_string(bodySize));
    else if (framing == BodyFraming::Chunked)
        appendField(out, "Transfer-Encoding", "chunked");
    appendField(out, "Connection", keepAlive ? "keep-alive" : "close");
    return out + "\r\n";
}

} // namespace jy
