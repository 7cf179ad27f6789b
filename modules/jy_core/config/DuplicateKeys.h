#pragma once

#include "jy_core/config/ConfigIssue.h"

#include <string_view>

namespace jy {

/**
 * Finds keys that occur more than once in an object of a JSON document. Boost.JSON silently keeps
 * the last value, so the first entry of a workspace that is listed twice would be lost.
 *
 * @param text a document that boost::json::parse() accepts
 */
ConfigIssues findDuplicateKeys(std::string_view text);

} // namespace jy
