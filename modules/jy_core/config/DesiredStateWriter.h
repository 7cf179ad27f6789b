#pragma once

#include "jy_core/model/DesiredState.h"

#include <boost/json/object.hpp>

#include <string>

namespace jy {

/** The sections of a desired-state file, in the format that DesiredStateReader.h reads. */
boost::json::object toJson(const GlobalSpec &global);
boost::json::object toJson(const DomainSpec &domain);
boost::json::object toJson(const ModelSpec &model);
boost::json::object toJson(const ServiceSpec &service);
boost::json::object toJson(const WorkspaceSpec &workspace);

/** An object of id to entry. */
template <class IdType, class Spec>
boost::json::object toJson(const std::map<IdType, Spec> &entries)
{
    boost::json::object object;
    for (const auto &[id, spec] : entries)
        object.emplace(id.value(), toJson(spec));
    return object;
}

/** A complete file with one line per entry, which parseDesiredState() reads back unchanged. */
std::string desiredStateText(const DesiredState &state);

/** Words of the file format. */
std::string_view toString(DomainState state);

} // namespace jy
