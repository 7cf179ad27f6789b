#pragma once

#include "jy_core/model/DesiredState.h"

#include <boost/json/object.hpp>

#include <string>

namespace jy {

/** Converts entries of a desired-state file to the format that DesiredStateReader.h reads. */
boost::json::object toJson(const GlobalSpec &global);
boost::json::object toJson(const DomainSpec &domain);
boost::json::object toJson(const ModelSpec &model);
boost::json::object toJson(const ServiceSpec &service);
boost::json::object toJson(const WorkspaceSpec &workspace);

/** Converts a section to an object with the ids as keys. */
template <class IdType, class Spec>
boost::json::object toJson(const std::map<IdType, Spec> &entries)
{
    boost::json::object object;
    for (const auto &[id, spec] : entries)
        object.emplace(id.value(), toJson(spec));
    return object;
}

/** Writes a file with one line per entry, which parseDesiredState() reads back unchanged. */
std::string desiredStateText(const DesiredState &state);

/** Returns the name of a state in the file format. */
std::string_view toString(DomainState state);

} // namespace jy
