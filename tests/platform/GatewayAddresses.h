#pragma once

#include "jy_base/net/Endpoint.h"
#include "jy_runtime/fibers/EventLoop.h"

#include <string>
#include <vector>

namespace jy::platform::test {

/** Finds a loopback port that is free for both TCP and UDP. */
Endpoint freeEndpoint(EventLoop &loop);

/** Id, failure domain and loopback addresses of one gateway under test. */
struct GatewayAddresses
{
    std::string id;
    std::string domain;
    Endpoint caller;
    Endpoint directory;
    Endpoint readiness;
    Endpoint control;
    Endpoint peer;
    Endpoint metrics;

    static GatewayAddresses create(EventLoop &loop, std::string id, std::string domain = "a");

    /** Writes the settings file of a gateway that listens on these addresses.
     *
     * @param more further settings, as members of a JSON object with a leading comma */
    void writeSettings(const std::string &file, const Endpoint &store,
                       const std::vector<Endpoint> &seeds, const std::string &more = {}) const;
};

} // namespace jy::platform::test
