#pragma once

#include <boost/json.hpp>

#include <string>
#include <vector>

namespace jy::bench {

/** Size and behaviour of a fleet on loopback addresses; read from a file of bench/settings. */
struct FleetSpec
{
    std::string name;
    std::string region;
    std::vector<std::string> domains;

    /** Totals, spread evenly over the domains. */
    int routers = 3;
    int engines = 9;
    int services = 3;

    std::string model;
    std::string service;

    /** Initial behaviour of engines; see EngineKnobs. */
    boost::json::object engineKnobs;

    /** First desired state. */
    boost::json::object desiredState;

    /** Overrides of router settings, merged into each generated file. */
    boost::json::object routerSettings;

    /** Routers reach engines through the fault proxy; link names are "engine-N". */
    bool proxyEngines = false;

    int domainOf(int index, int total) const
    {
        return index * static_cast<int>(domains.size()) / total;
    }
};

/** Reads a file of bench/settings by its name, such as "cedar-drift". Throws when it is wrong. */
FleetSpec loadFleetSpec(const std::string &name);

} // namespace jy::bench
