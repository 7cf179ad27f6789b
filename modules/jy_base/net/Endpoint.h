#pragma once

#include "jy_base/errors/Error.h"

#include <compare>
#include <cstdint>
#include <string>
#include <string_view>

namespace jy {

/** An IP address and port. */
struct Endpoint
{
    std::string address;
    std::uint16_t port = 0;

    auto operator<=>(const Endpoint &) const = default;
};

/** @returns "address:port", with an IPv6 address in brackets. */
inline std::string toString(const Endpoint &endpoint)
{
    if (endpoint.address.find(':') != std::string::npos)
        return '[' + endpoint.address + "]:" + std::to_string(endpoint.port);
    return endpoint.address + ':' + std::to_string(endpoint.port);
}

/**
 * Reads "address:port" or "[IPv6 address]:port". Names are refused, because instances are reached
 * by IP address only.
 *
 * @returns BadRequest when the text is neither
 */
Result<Endpoint> endpointFromString(std::string_view text);

} // namespace jy
