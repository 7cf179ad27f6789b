#pragma once

#include <boost/json/value.hpp>

#include <string>

namespace jy {

/** Responses of the operator API as text for people; unknown and missing members are skipped. */
std::string statusText(const boost::json::value &status);
std::string chatExplanationText(const boost::json::value &explanation);
std::string serverExplanationText(const boost::json::value &explanation);

} // namespace jy
