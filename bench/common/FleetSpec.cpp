#include "common/FleetSpec.h"

#include <fstream>
#include <iterator>
#include <stdexcept>

namespace jy::bench {

FleetSpec loadFleetSpec(const std::string &name)
{
    std::ifstream file(JY_SOURCE_DIR "/bench/settings/" + name + ".json");
    if (!file)
        throw std::runtime_error("no file bench/settings/" + name + ".json");
    const std::string text{std::istreambuf_iterator<char>(file), {}};
    boost::json::parse_options options;
    options.allow_comments = true;
    const auto json = boost::json::parse(text, {}, options).as_object();
    const auto textOf = [&](const char *field) {
        return boost::json::value_to<std::string>(json.at(field));
    };
    const auto numberOf = [&](const char *field) { return json.at(field).to_number<int>(); };
    FleetSpec spec;
    spec.name = textOf("name");
    spec.region = textOf("region");
    spec.domains = boost::json::value_to<std::vector<std::string>>(json.at("domains"));
    spec.routers = numberOf("routers");
    spec.engines = numberOf("engines");
    spec.services = numberOf("services");
    spec.model = textOf("model");
    spec.service = textOf("service");
    spec.engineKnobs = json.at("engine").as_object();
    spec.desiredState = json.at("desired_state").as_object();
    return spec;
}

} // namespace jy::bench
