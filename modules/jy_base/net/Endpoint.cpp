#include "jy_base/net/Endpoint.h"

#include <arpa/inet.h>

#include <charconv>

namespace jy {

namespace {

bool isAddress(int family, const std::string &text)
{
    in6_addr parsed{};
    return inet_pton(family, text.c_str(), &parsed) == 1;
}

} // namespace

Result<Endpoint> endpointFromString(std::string_view text)
{
    const auto malformed = [text] {
        return failure(ErrorKind::BadRequest,
                       "\"" + std::string(text) + "\" is not an IP address and port");
    };
    const auto colon = text.rfind(':');
    if (colon == std::string_view::npos)
        return malformed();
    auto address = text.substr(0, colon);
    const auto portText = text.substr(colon + 1);
    const bool bracketed = address.size() > 2 && address.front() == '[' && address.back() == ']';
    if (bracketed)
        address = address.substr(1, address.size() - 2);

    Endpoint endpoint{std::string(address), 0};
    const auto [end, error] =
        std::from_chars(portText.data(), portText.data() + portText.size(), endpoint.port);
    if (error != std::errc{} || end != portText.data() + portText.size())
        return malformed();
    if (!isAddress(bracketed ? AF_INET6 : AF_INET, endpoint.address))
        return malformed();
    return endpoint;
}

} // namespace jy
