#pragma once

#include <compare>
#include <cstdint>
#include <string>

namespace jy {

/** An IP address and port. */
struct Endpoint
{
    std::string address;
    std::uint16_t port = 0;

    auto operator<=>(const Endpoint &) const = default;
};

/** @returns "address:port". */
inline std::string toString(const Endpoint &endpoint)
{
    return endpoint.address + ':' + std::to_string(endpoint.port);
}

} // namespace jy
