#include "jy_gateway/model/RoutingConfig.h"

#include "jy_http/messages/HttpHeaders.h"

#include <algorithm>

namespace jy {

namespace {

std::string lowerCase(std::string_view text)
{
    std::string lower(text);
    std::ranges::transform(lower, lower.begin(), [](char c) {
        return c >= 'A' && c <= 'Z' ? static_cast<char>(c - 'A' + 'a') : c;
    });
    return lower;
}

std::string_view withoutPort(std::string_view host)
{
    const auto colon = host.rfind(':');
    return colon == std::string_view::npos ? host : host.substr(0, colon);
}

} // namespace

void RoutingConfig::addRoute(Route route)
{
    auto &routes = routes_[lowerCase(route.host)];
    const auto position = std::ranges::find_if(
        routes, [&](const Route &other) { return other.prefix.size() < route.prefix.size(); });
    routes.insert(position, std::move(route));
}

void RoutingConfig::addService(ServicePolicy policy)
{
    services_[policy.id] = std::move(policy);
}

void RoutingConfig::addKey(const std::string &key, WorkspaceAccess access)
{
    keys_[key] = std::move(access);
}

const Route *RoutingConfig::findRoute(std::string_view host, std::string_view path) const
{
    const auto routes = routes_.find(lowerCase(withoutPort(host)));
    if (routes == routes_.end())
        return nullptr;
    const auto route = std::ranges::find_if(
        routes->second, [&](const Route &candidate) { return path.starts_with(candidate.prefix); });
    return route == routes->second.end() ? nullptr : &*route;
}

const ServicePolicy *RoutingConfig::findService(const ServiceId &service) const
{
    const auto found = services_.find(service);
    return found == services_.end() ? nullptr : &found->second;
}

const WorkspaceAccess *RoutingConfig::findKey(std::string_view key) const
{
    const auto found = keys_.find(std::string(key));
    return found == keys_.end() ? nullptr : &found->second;
}

std::size_t RoutingConfig::routeCount() const
{
    std::size_t count = 0;
    for (const auto &[host, routes] : routes_)
        count += routes.size();
    return count;
}

const ServiceId &pickService(const Route &route, double point)
{
    double total = 0;
    for (const auto &share : route.shares)
        total += share.weight;
    double passed = 0;
    for (const auto &share : route.shares) {
        passed += share.weight;
        if (point * total < passed)
            return share.service;
    }
    return route.shares.back().service;
}

std::string_view toString(RequestKind kind)
{
    switch (kind) {
    case RequestKind::Safe:
        return "safe";
    case RequestKind::Unsafe:
        return "unsafe";
    case RequestKind::Stream:
        return "stream";
    }
    return "unsafe";
}

} // namespace jy
