#pragma once

#include "jy_router/operations/Explanation.h"
#include "jy_router/operations/FleetStatus.h"

#include <boost/json/object.hpp>

namespace jy {

/**
 * Response bodies of the operator API. Keys are in snake_case like those of the caller API.
 *
 * The status has two derived members: "in_force_on" counts the live routers whose applied revision
 * is at least the revision of the answering router, and "lagging" names the others.
 */
boost::json::object toJson(const FleetStatus &status);
boost::json::object toJson(const ChatExplanation &explanation);
boost::json::object toJson(const ServerExplanation &explanation);

} // namespace jy
