#pragma once

#include "jy_base/errors/Error.h"

#include <string>
#include <vector>

namespace jy {

/** An invalid or missing value in a desired-state file. */
struct ConfigIssue
{
    /** Path from the root, with the keys joined by dots, such as "models.m1.serve". */
    std::string path;

    /** The value found, as JSON; empty for a missing key. */
    std::string value;

    /** Description of the values that are allowed. */
    std::string allowed;

    auto operator<=>(const ConfigIssue &) const = default;
};

using ConfigIssues = std::vector<ConfigIssue>;

/** @returns "path: found value; allowed: ...". */
std::string toString(const ConfigIssue &issue);

/** Combines all issues into one ConfigInvalid error, one issue per line. */
Error toError(const ConfigIssues &issues);

} // namespace jy
