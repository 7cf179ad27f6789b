#pragma once

#include <boost/json/value.hpp>

#include <string>

namespace jy {

/**
 * Returns human-readable JSON: with a space after colons and commas, and with numbers such as 0.05
 * where Boost.JSON prints 5E-2.
 */
std::string jsonText(const boost::json::value &value);

} // namespace jy
