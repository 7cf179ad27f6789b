#include "jy_gateway/registry/InstanceEntry.h"

#include "jy_runtime/logging/Log.h"

#include <boost/json/object.hpp>
#include <boost/json/parse.hpp>
#include <boost/json/serialize.hpp>

#include <algorithm>
#include <utility>

namespace jy {

namespace {

constexpr std::string_view keyPrefix = "instances/";

std::optional<Endpoint> readEndpoint(const boost::json::object &object, std::string_view name)
{
    const auto *value = object.if_contains(name);
    if (!value || !value->is_string())
        return std::nullopt;
    const auto endpoint = endpointFromString(std::string_view(value->get_string()));
    if (!endpoint || endpoint.value().port == 0)
        return std::nullopt;
    return endpoint.value();
}

/**
 * @returns 0 if the field is missing, as in entries of older versions; nothing if it is no whole
 * number, is negative or is too large for an int
 */
std::optional<int> readCount(const boost::json::object &object, std::string_view name)
{
    const auto *value = object.if_contains(name);
    if (!value)
        return 0;
    if (!value->is_int64() || value->get_int64() < 0 || !std::in_range<int>(value->get_int64()))
        return std::nullopt;
    return static_cast<int>(value->get_int64());
}

/** Whether @p id can be named in messages between instances. */
bool isInstanceId(std::string_view id)
{
    return !id.empty() && std::ranges::all_of(id, [](char c) { return c > ' ' && c <= '~'; });
}

} // namespace

std::string instanceKey(const InstanceId &id)
{
    return std::string(keyPrefix) + id.value();
}

std::string encodeInstance(const RegisteredInstance &instance)
{
    return boost::json::serialize(boost::json::object{{"caller", toString(instance.caller)},
                                                      {"peer", toString(instance.peer)},
                                                      {"control", toString(instance.control)},
                                                      {"link_mbps", instance.linkMbps},
                                                      {"milli_cores", instance.milliCores},
                                                      {"domain", instance.domain.value()}});
}

std::optional<FleetChange> decodeInstance(const StoreItem &item)
{
    if (!item.key.starts_with(keyPrefix))
        return std::nullopt;
    const InstanceId id(item.key.substr(keyPrefix.size()));
    if (item.removed)
        return InstanceRemoved{id};
    boost::system::error_code error;
    const auto value = boost::json::parse(item.value, error);
    const auto *object = error ? nullptr : value.if_object();
    const auto caller = object ? readEndpoint(*object, "caller") : std::nullopt;
    const auto peer = object ? readEndpoint(*object, "peer") : std::nullopt;
    const auto control = object ? readEndpoint(*object, "control") : std::nullopt;
    const auto linkMbps = object ? readCount(*object, "link_mbps") : std::nullopt;
    const auto milliCores = object ? readCount(*object, "milli_cores") : std::nullopt;
    if (!isInstanceId(id.value()) || !caller || !peer || !control || !linkMbps || !milliCores) {
        logEvent(LogLevel::Warn, "instance-entry-unreadable",
                 {{"instance", id}, {"revision", item.revision}});
        return InstanceRemoved{id};
    }
    const auto *domain = object->if_contains("domain");
    RegisteredInstance instance{id, *caller, *peer, *control, {}};
    if (domain && domain->is_string())
        instance.domain = DomainId(std::string(domain->get_string()));
    instance.linkMbps = *linkMbps;
    instance.milliCores = *milliCores;
    return InstanceWritten{std::move(instance)};
}

} // namespace jy
