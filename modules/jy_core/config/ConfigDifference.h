#pragma once

#include "jy_core/model/DesiredState.h"

#include <string>
#include <vector>

namespace jy {

/** One value that differs between two states. */
struct ConfigChange
{
    /** Path from the root, with the keys joined by dots. */
    std::string path;

    /** Values as JSON; empty where the path does not exist. */
    std::string before;
    std::string after;

    bool operator==(const ConfigChange &) const = default;
};

using ConfigDifference = std::vector<ConfigChange>;

/** Returns all values that differ, except the revision, in the order of the file. */
ConfigDifference differenceOf(const DesiredState &before, const DesiredState &after);

/** One line per change: "+ path: value", "- path: value" or "~ path: before -> after". */
std::string toString(const ConfigDifference &difference, std::size_t mostLines = 50);

} // namespace jy
