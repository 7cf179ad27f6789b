#pragma once

#include "jy_base/ids/Ids.h"
#include "jy_base/net/Endpoint.h"
#include "jy_base/time/TimeTypes.h"
#include "jy_core/limits/RequestQueue.h"

#include <chrono>
#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace jy {

/** @returns the value of the X-Priority header. */
std::string_view toString(Priority priority);

/** A chat completions request on its way to an engine. */
struct ChatCall
{
    RequestId requestId;
    WorkspaceId workspace;

    /** Empty for a request that belongs to no chat. */
    ChatId chat;

    Priority priority = Priority::Normal;

    /** JSON body as the caller sent it; must outlive the call. */
    std::string_view body;

    TimePoint deadline;
};

/** A model version that an engine holds or fetches. */
struct LoadedModel
{
    ModelId model;
    VersionId version;

    /** False while the weights are being loaded. */
    bool ready = false;
};

/** The answer to GET /v1/load. */
struct LoadReport
{
    /** Differs after every start of the engine. */
    std::string startIdentity;

    int inFlight = 0;
    int queued = 0;

    /** Share of prompt tokens found in the prefix cache recently, 0 to 1. */
    double cacheHitRate = 0;

    /** Recent median time to first token. */
    std::chrono::milliseconds firstToken{0};

    /** Empty when the engine does not report its models. */
    std::vector<LoadedModel> loaded;
};

struct CacheEvent
{
    enum class Type {
        Stored,
        Evicted,
    };

    std::uint64_t sequence = 0;
    Type type = Type::Stored;
    ChatId chat;
};

/** The answer to GET /v1/cache-events. */
struct CacheEvents
{
    std::vector<CacheEvent> events;

    /** Value of `since` for the next call. */
    std::uint64_t next = 0;

    /** Events before the first one of this answer were dropped. */
    bool truncated = false;
};

/** A command to an engine; repeating it has no further effect. */
struct EngineOrder
{
    enum class Action {
        Load,
        Unload,
    };

    std::uint64_t fencingToken = 0;
    Action action = Action::Load;
    ModelId model;
    VersionId version;
};

/** A KV cache entry that an engine keeps ready for another engine to fetch. */
struct KvExport
{
    std::string handle;
    std::uint64_t bytes = 0;
};

} // namespace jy
