#pragma once

#include <boost/json/value.hpp>

#include <string>
#include <vector>

namespace jy {

/**
 * Differences between two JSON documents, one line each, ordered by path:
 * "~ path: old -> new", "+ path: new" and "- path: old". Objects are compared key by key, arrays as
 * a whole.
 */
std::vector<std::string> jsonDifference(const boost::json::value &before,
                                        const boost::json::value &after);

} // namespace jy
