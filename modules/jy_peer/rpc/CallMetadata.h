#pragma once

#include "jy_core/model/Endpoint.h"

namespace jy {

/** gRPC metadata keys of CallCredentials; a key that ends in "-bin" may hold any bytes. */
namespace call_metadata {
constexpr const char *keyId = "jy-key-id";
constexpr const char *time = "jy-time-ms";
constexpr const char *peer = "jy-peer";
constexpr const char *code = "jy-code-bin";
} // namespace call_metadata

/** "address:port" with brackets around an IPv6 address, as gRPC expects it. */
inline std::string hostAndPort(const Endpoint &endpoint)
{
    if (endpoint.address.find(':') == std::string::npos)
        return toString(endpoint);
    return '[' + endpoint.address + "]:" + std::to_string(endpoint.port);
}

} // namespace jy
