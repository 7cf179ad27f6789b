#pragma once

#include "jy_base/errors/Error.h"

#include <string>
#include <vector>

namespace jy {

/** One fault of a desired-state file. */
struct ConfigIssue
{
    /** Keys from the root, joined by dots, such as "models.m1.serve". */
    std::string path;

    /** The value found, as JSON; empty for a missing key. */
    std::string value;

    /** What would be accepted. */
    std::string allowed;

    auto operator<=>(const ConfigIssue &) const = default;
};

using ConfigIssues = std::vector<ConfigIssue>;

/** @returns "path: found value; allowed: ...". */
std::string toString(const ConfigIssue &issue);

/** Combines all issues into one ConfigInvalid error, one issue per line. */
Error toError(const ConfigIssues &issues);

} // namespace jy
