#include "jy_core/config/ConfigIssue.h"

namespace jy {

std::string toString(const ConfigIssue &issue)
{
    const std::string path = issue.path.empty() ? "file" : issue.path;
    const std::string found = issue.value.empty() ? "missing" : "found " + issue.value;
    return path + ": " + found + "; allowed: " + issue.allowed;
}

Error toError(const ConfigIssues &issues)
{
    std::string message;
    for (const auto &issue : issues) {
        if (!message.empty())
            message += '\n';
        message += toString(issue);
    }
    return {ErrorKind::ConfigInvalid, std::move(message)};
}

} // namespace jy
