#pragma once

#include "jy_core/config/JsonFields.h"
#include "jy_core/model/DesiredState.h"

#include <boost/json/value.hpp>

#include <string_view>

namespace jy {

/**
 * Parses a desired-state file, which is JSON with comments and trailing commas.
 *
 * Checks types, ranges, unknown keys and duplicate keys, and reports all issues at once. The
 * optional key "revision" is the revision that the file was derived from; the file cannot be
 * applied when another one is in force.
 *
 * @returns ConfigInvalid with one line per issue
 * @see validateDesiredState() for references between entries and for deadlines
 */
Result<DesiredState> parseDesiredState(std::string_view text);

/** Like parseDesiredState(), but returns the issues. If there are any, @p state is incomplete. */
ConfigIssues readDesiredState(std::string_view text, DesiredState &state);

/** Parses JSON with comments. @returns ConfigInvalid with the line of a syntax error. */
Result<boost::json::value> parseConfigJson(std::string_view text);

/** Each function reads one section of the file into @p state. */
void readGlobal(const boost::json::value &value, JsonReadContext &context, DesiredState &state);
void readDomains(const boost::json::value &value, JsonReadContext &context, DesiredState &state);
void readModels(const boost::json::value &value, JsonReadContext &context, DesiredState &state);
void readServices(const boost::json::value &value, JsonReadContext &context, DesiredState &state);
void readWorkspaces(const boost::json::value &value, JsonReadContext &context, DesiredState &state);

} // namespace jy
