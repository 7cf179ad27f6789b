#include "jy_gateway/duties/UsageJson.h"

#include "jy_base/time/UnixTime.h"

#include <absl/strings/numbers.h>
#include <boost/json/parse.hpp>
#include <boost/json/serialize.hpp>

namespace jy {

boost::json::object toJson(const WorkspaceCounts &counts)
{
    boost::json::object object;
    for (const auto &[workspace, count] : counts)
        object[workspace.value()] = count;
    return object;
}

std::optional<WorkspaceCounts> countsFromJson(const boost::json::value &value)
{
    if (!value.is_object())
        return std::nullopt;
    WorkspaceCounts counts;
    for (const auto &[workspace, count] : value.get_object()) {
        boost::system::error_code error;
        const auto number = count.to_number<std::uint64_t>(error);
        if (error)
            return std::nullopt;
        counts[WorkspaceId(std::string(workspace))] = number;
    }
    return counts;
}

std::string encodeSnapshot(const UsageSnapshot &snapshot)
{
    boost::json::object windows;
    for (const auto &[window, counts] : snapshot.windows)
        windows[std::to_string(window)] = toJson(counts);
    return boost::json::serialize(
        boost::json::object{{"taken_ms", toUnixMs(snapshot.taken)}, {"windows", windows}});
}

std::optional<UsageSnapshot> decodeSnapshot(std::string_view text)
{
    boost::system::error_code error;
    const auto value = boost::json::parse(text, error);
    const auto *object = error ? nullptr : value.if_object();
    const auto *taken = object ? object->if_contains("taken_ms") : nullptr;
    const auto *windows = object ? object->if_contains("windows") : nullptr;
    if (!taken || !taken->is_int64() || !windows || !windows->is_object())
        return std::nullopt;
    UsageSnapshot snapshot{.taken = fromUnixMs(taken->get_int64())};
    for (const auto &[name, entry] : windows->get_object()) {
        UsageWindow window = 0;
        auto counts = countsFromJson(entry);
        if (!absl::SimpleAtoi({name.data(), name.size()}, &window) || !counts)
            return std::nullopt;
        snapshot.windows[window] = std::move(*counts);
    }
    return snapshot;
}

} // namespace jy
