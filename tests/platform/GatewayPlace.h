#pragma once

#include "jy_base/net/Endpoint.h"
#include "jy_runtime/fibers/EventLoop.h"

#include <string>

namespace jy::platform::test {

/** A loopback address that no program of this machine has bound, for TCP and UDP. */
Endpoint freeEndpoint(EventLoop &loop);

/** Addresses of one gateway on loopback. */
struct GatewayPlace
{
    std::string id;
    std::string domain;
    Endpoint caller;
    Endpoint directory;
    Endpoint readiness;
    Endpoint control;
    Endpoint peer;
    Endpoint metrics;

    static GatewayPlace create(EventLoop &loop, std::string id, std::string domain = "a");

    /** Writes the settings file of a gateway that listens here. */
    void writeSettings(const std::string &file, const Endpoint &store, const Endpoint &seed) const;
};

} // namespace jy::platform::test
