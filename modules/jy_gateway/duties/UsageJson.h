#pragma once

#include "jy_gateway/duties/UsageTable.h"

#include <boost/json/object.hpp>
#include <boost/json/value.hpp>

#include <optional>
#include <string>
#include <string_view>

namespace jy {

/** A JSON object with one number for each workspace. */
boost::json::object toJson(const WorkspaceCounts &counts);

/** @returns nothing if the value is not an object of whole numbers */
std::optional<WorkspaceCounts> countsFromJson(const boost::json::value &value);

/** Encodes a snapshot for the shared store as JSON. */
std::string encodeSnapshot(const UsageSnapshot &snapshot);
std::optional<UsageSnapshot> decodeSnapshot(std::string_view text);

} // namespace jy
