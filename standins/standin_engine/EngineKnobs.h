#pragma once

#include "common/Standin.h"

#include <chrono>
#include <string>

namespace jy::standins {

/** A version that turns bad. */
struct BadVersion
{
    std::string version;

    /** "fail" answers with an error, "slow" multiplies the time to the first token. */
    std::string mode = "fail";
    double share = 1.0;
    double slowFactor = 10;

    /** Time from the first request of the version to the fault. */
    std::chrono::milliseconds after{0};

    /** Fault only while at least this many requests run. */
    int minRunning = 0;

    /** Fault only for "stream" or "json" requests; empty for both. */
    std::string route;
};

/** Behaviour of the engines of one process; can be changed while they run. */
struct EngineKnobs
{
    /** Requests that run at the same time. */
    int slots = 16;
    std::chrono::milliseconds tokenInterval{5};

    /** Time to the first token with the whole prompt in the cache, and with none of it. */
    std::chrono::milliseconds hitTime{10};
    std::chrono::milliseconds missTime{60};

    /** Prompt prefixes that the cache holds. */
    std::size_t cacheEntries = 512;

    /** Requests that a cold engine can bear; each success adds one until it is warm. */
    int coldLimit = 2;
    int warmAfter = 16;

    /** Age of the load reports. */
    std::chrono::milliseconds loadLag{200};

    /** Share of cache events that are not reported; their sequence numbers are skipped. */
    double cacheEventLoss = 0;

    bool checkFencing = true;
    bool supportsResume = true;

    /** Time to load a version when no weight store is used. */
    std::chrono::milliseconds loadTime{500};

    BadVersion bad;

    /** Ends each stream after this many tokens without an end mark; zero for never. */
    int breakStreamAfter = 0;
};

inline void updateKnobs(EngineKnobs &knobs, const boost::json::object &json)
{
    readField(json, "slots", knobs.slots);
    readField(json, "token_ms", knobs.tokenInterval);
    readField(json, "hit_ms", knobs.hitTime);
    readField(json, "miss_ms", knobs.missTime);
    readField(json, "cache_entries", knobs.cacheEntries);
    readField(json, "cold_limit", knobs.coldLimit);
    readField(json, "warm_after", knobs.warmAfter);
    readField(json, "load_lag_ms", knobs.loadLag);
    readField(json, "cache_event_loss", knobs.cacheEventLoss);
    readField(json, "check_fencing", knobs.checkFencing);
    readField(json, "supports_resume", knobs.supportsResume);
    readField(json, "load_ms", knobs.loadTime);
    readField(json, "break_stream_after", knobs.breakStreamAfter);
    const auto *value = json.if_contains("bad");
    if (value == nullptr)
        return;
    const auto &bad = value->as_object();
    knobs.bad = {};
    readField(bad, "version", knobs.bad.version);
    readField(bad, "mode", knobs.bad.mode);
    readField(bad, "share", knobs.bad.share);
    readField(bad, "slow_factor", knobs.bad.slowFactor);
    readField(bad, "after_ms", knobs.bad.after);
    readField(bad, "min_running", knobs.bad.minRunning);
    readField(bad, "route", knobs.bad.route);
}

} // namespace jy::standins
