#pragma once

#include "jy_base/errors/Error.h"
#include "jy_core/membership/Membership.h"
#include "jy_core/model/BackendServer.h"
#include "jy_runtime/settings/RouterSettings.h"

#include <cstdint>
#include <memory>
#include <vector>

namespace jy {

class ConsulApi;
class HttpClient;

/** What the instance list shows. */
struct InstanceSnapshot
{
    std::vector<ListedRouter> routers;
    std::vector<BackendServer> servers;

    /** Entries left out, because a field is missing or malformed. */
    std::size_t malformed = 0;
};

/**
 * Adapter for the instance list: `GET /v1/health/service/NAME` of the Consul HTTP API, version 1.
 *
 * Each element of the array has `Service.ID`, `Service.Address` (or `Node.Address` when empty),
 * `Service.Port` and `Service.Meta`, a map of texts:
 *
 * - all: `domain`, `region`, `state` ("live" or "leaving"; missing means live);
 * - routers: `gossip_port`, `rpc_port`, `operations_port`; the port is that of the caller API;
 * - engines: `model`, `version`, `checks_fencing` ("true" or "false"; missing means true);
 * - ordinary services: `service`.
 *
 * Health checks in the list are ignored, because the list lags; routers probe by themselves.
 */
class InstanceList
{
public:
    static std::unique_ptr<InstanceList> create(std::shared_ptr<HttpClient> http,
                                                const InstanceListSettings &settings);

    InstanceList(const InstanceList &) = delete;
    InstanceList &operator=(const InstanceList &) = delete;
    ~InstanceList();

    /**
     * Reads the complete list; suspends the fiber.
     *
     * @returns KvUnavailable when any part cannot be read, so that a partial answer is never taken
     *     for a fleet without servers
     */
    Result<InstanceSnapshot> fetch();

private:
    InstanceList(std::shared_ptr<HttpClient> http, const InstanceListSettings &settings);

    std::unique_ptr<ConsulApi> api_;
    InstanceListSettings settings_;
};

} // namespace jy
