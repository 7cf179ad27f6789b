#pragma once

#include "jy_core/config/JsonFields.h"
#include "jy_core/model/DesiredState.h"

#include <boost/json/value.hpp>

#include <string_view>

namespace jy {

/**
 * Parses a desired-state file of the operators: JSON with comments and trailing commas.
 *
 * Checks types, ranges, unknown keys and duplicate keys, and reports all faults at once. The key
 * "revision" is optional and names the revision that the file was derived from; apply refuses the
 * file when another one is in force.
 *
 * @returns ConfigInvalid with one line per issue
 * @see validateDesiredState() for references between entries and for deadlines
 */
Result<DesiredState> parseDesiredState(std::string_view text);

/** As parseDesiredState(), with the issues instead of an error. The state is partial if any. */
ConfigIssues readDesiredState(std::string_view text, DesiredState &state);

/** Parses JSON with comments. @returns ConfigInvalid that names the position of a syntax error. */
Result<boost::json::value> parseConfigJson(std::string_view text);

/** Readers of one section each; they add to @p state. */
void readGlobal(const boost::json::value &value, JsonReadContext &context, DesiredState &state);
void readDomains(const boost::json::value &value, JsonReadContext &context, DesiredState &state);
void readModels(const boost::json::value &value, JsonReadContext &context, DesiredState &state);
void readServices(const boost::json::value &value, JsonReadContext &context, DesiredState &state);
void readWorkspaces(const boost::json::value &value, JsonReadContext &context, DesiredState &state);

} // namespace jy
