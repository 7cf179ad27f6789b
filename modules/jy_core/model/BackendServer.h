#pragma once

#include "jy_base/ids/Ids.h"
#include "jy_core/model/Endpoint.h"

namespace jy {

/** What a backend server runs. */
enum class ServerKind {
    Engine, /**< serves chats of one model version */
    Service, /**< serves an ordinary service, see ServiceSpec */
};

/** One backend server as the instance list describes it. */
struct BackendServer
{
    ServerId id;
    ServerKind kind = ServerKind::Engine;
    Endpoint endpoint;
    DomainId domain;
    RegionId region;

    /** Model and version; only set for engines. */
    ModelId model;
    VersionId version;

    /** Only set for services. */
    ServiceId service;

    /** The instance list marks the server as leaving, so it gets no new work. */
    bool leaving = false;

    /** The server rejects orders with a stale fencing token. */
    bool checksFencing = true;

    bool operator==(const BackendServer &) const = default;
};

} // namespace jy
