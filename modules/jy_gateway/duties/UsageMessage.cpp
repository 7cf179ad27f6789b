#include "jy_gateway/duties/UsageMessage.h"

namespace jy {

namespace {

// Encoded size of a workspace's count without the name, and of the number of its window.
constexpr std::size_t entryBytes = 8;
constexpr std::size_t windowBytes = 12;

} // namespace

std::vector<UsageMessage> splitUsage(const UsageMessage &message, std::size_t maxBytes)
{
    const UsageMessage empty{.instance = message.instance, .incarnation = message.incarnation};
    std::vector<UsageMessage> parts{empty};
    std::size_t used = 0;
    for (const auto &[window, counts] : message.windows) {
        used += windowBytes;
        for (const auto &[workspace, count] : counts) {
            const auto size = entryBytes + workspace.value().size();
            if (used + size > maxBytes) {
                parts.push_back(empty);
                used = windowBytes;
            }
            used += size;
            parts.back().windows[window][workspace] = count;
        }
    }
    parts.back().countedUntil = message.countedUntil;
    return parts;
}

} // namespace jy
