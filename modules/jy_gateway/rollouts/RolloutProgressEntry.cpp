#include "jy_gateway/rollouts/RolloutProgressEntry.h"

#include "jy_base/time/UnixTime.h"
#include "jy_runtime/logging/Log.h"

#include <boost/json/object.hpp>
#include <boost/json/parse.hpp>
#include <boost/json/serialize.hpp>

#include <array>
#include <utility>

namespace jy {

namespace {

constexpr std::string_view keyPrefix = "rollouts/";

constexpr std::array phaseNames = {
    std::pair(RolloutPhase::Analyzing, std::string_view("analyzing")),
    std::pair(RolloutPhase::Moving, std::string_view("moving")),
    std::pair(RolloutPhase::Completed, std::string_view("completed")),
    std::pair(RolloutPhase::Reverted, std::string_view("reverted")),
};

std::optional<RolloutPhase> phaseFromName(std::string_view text)
{
    for (const auto &[phase, name] : phaseNames) {
        if (name == text)
            return phase;
    }
    return std::nullopt;
}

} // namespace

std::string rolloutProgressKey(const ServiceId &service)
{
    return std::string(keyPrefix) + service.value();
}

std::string encodeRolloutProgress(const RolloutProgress &progress)
{
    return boost::json::serialize(boost::json::object{{"order", progress.order},
                                                      {"phase", toString(progress.phase)},
                                                      {"ordered_ms", toUnixMs(progress.orderedAt)},
                                                      {"reason", progress.reason}});
}

std::optional<RolloutProgress> decodeRolloutProgress(const StoreItem &item)
{
    if (!item.key.starts_with(keyPrefix) || item.removed)
        return std::nullopt;
    boost::system::error_code error;
    const auto value = boost::json::parse(item.value, error);
    const auto *object = error ? nullptr : value.if_object();
    const auto *order = object ? object->if_contains("order") : nullptr;
    const auto *name = object ? object->if_contains("phase") : nullptr;
    const auto *ordered = object ? object->if_contains("ordered_ms") : nullptr;
    const auto *reason = object ? object->if_contains("reason") : nullptr;
    const auto phase = name && name->is_string() ? phaseFromName(name->get_string()) : std::nullopt;
    const auto number = order ? order->to_number<std::uint64_t>(error) : 0;
    if (!phase || !order || error || !ordered || !ordered->is_int64()) {
        logEvent(LogLevel::Warn, "rollout-progress-unreadable",
                 {{"key", item.key}, {"revision", item.revision}});
        return std::nullopt;
    }
    RolloutProgress progress{.service = ServiceId(item.key.substr(keyPrefix.size())),
                             .order = number,
                             .phase = *phase,
                             .orderedAt = fromUnixMs(ordered->get_int64()),
                             .revision = item.revision};
    if (reason && reason->is_string())
        progress.reason = std::string(reason->get_string());
    return progress;
}

std::string_view toString(RolloutPhase phase)
{
    return phaseNames.at(static_cast<std::size_t>(phase)).second;
}

} // namespace jy
