#pragma once

#include "Engine.h"

namespace jy::standins {

/** One chat completion; its text depends only on the prompt, so it can be resumed anywhere. */
struct Engine::Generation
{
    std::string id;
    std::string requestId;
    std::string chat;
    std::string prompt;
    std::string version;
    std::vector<std::uint64_t> prefixes;

    /** Number of prefixes found in the cache. */
    std::size_t cached = 0;
    int tokens = 0;
    int priority = 1;
    bool stream = false;

    /** Id of the last event that the caller has; negative for the first attempt. */
    int resumedFrom = -1;

    /** Cancelled or failed: it stops and cannot be resumed. */
    bool ended = false;
};

} // namespace jy::standins
