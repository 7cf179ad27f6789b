#pragma once

#include "jy_core/config/ConfigIssue.h"

#include <string_view>

namespace jy {

/**
 * Finds keys that occur twice in one object of a JSON document. Boost.JSON keeps the last value
 * without a word, so a workspace listed twice would silently lose its first entry.
 *
 * @param text a document that boost::json::parse() accepts
 */
ConfigIssues findDuplicateKeys(std::string_view text);

} // namespace jy
