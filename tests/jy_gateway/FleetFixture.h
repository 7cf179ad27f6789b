#pragma once

#include "jy_gateway/registry/FleetView.h"

#include <chrono>
#include <memory>

namespace jy::test {

using std::chrono::milliseconds;
using std::chrono::seconds;

inline const ServiceId engines{"engines"};
inline const ServiceId desk{"desk"};

/** Tokens of a prefix whose processing takes a large part of a latency target. */
inline constexpr std::int64_t longPrefix = 6000;

/** Creates a configuration with one service of model engines and one plain service. */
inline std::shared_ptr<RoutingConfig> twoServices(std::uint64_t version = 1)
{
    auto config = std::make_shared<RoutingConfig>();
    config->version = version;
    config->addService({.id = engines,
                        .coldDuration = seconds(3),
                        .coldRequestsPerSecond = 10,
                        .cacheTokenBytes = 327'680,
                        .cacheLinkMbps = 180'000});
    config->addService({.id = desk});
    return config;
}

inline RegisteredServer server(const std::string &id, const ServiceId &service,
                               const std::string &domain = "a")
{
    return {.id = ServerId(id),
            .service = service,
            .endpoint = {"10.0.0.1", 80},
            .domain = DomainId(domain),
            .version = VersionId("v1"),
            .slots = 6,
            .startTimeMs = 1};
}

} // namespace jy::test
