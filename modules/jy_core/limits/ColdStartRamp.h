#pragma once

#include "jy_base/time/TimeTypes.h"
#include "jy_core/limits/ConcurrencyLimit.h"

#include <cstdint>
#include <string>

namespace jy {

struct ColdStartSettings
{
    /** Limit at the start of the ramp. */
    int coldLimit = 1;

    /** Shortest time window in which the successes for one doubling are counted. */
    Duration rampInterval = std::chrono::seconds(2);

    /** A cache miss counts as slow when its time to first token exceeds the baseline by this
     *  factor. A server with mostly slow misses is treated as cold again. */
    double coldRatio = 3;
};

/**
 * Concurrency limit of a server that has just started or has lost its caches.
 *
 * The limit doubles only after a number of successes proportional to it within one time window. The
 * load of a cold server therefore depends on what it has completed, not on how many routers use it.
 */
class ColdStartRamp
{
public:
    /** Creates the ramp of a cold server. */
    explicit ColdStartRamp(const ColdStartSettings &settings);

    /** Passes on the start identity from the server's load report. A change means a restart. */
    void onStartIdentity(const std::string &identity, TimePoint now);

    void onSample(const RequestSample &sample, TimePoint now);

    /** Ends the ramp if its limit has reached @p concurrencyLimit. */
    void endIfReached(double concurrencyLimit);

    /** Starts the ramp from the beginning. */
    void markCold(TimePoint now);

    bool cold() const { return cold_; }

    /** Largest number of requests in flight; only meaningful while cold. */
    int limit() const { return limit_; }

    const std::string &startIdentity() const { return startIdentity_; }

    /** Restores the state of a previous owner. */
    void restore(bool cold, std::string startIdentity, TimePoint now);

private:
    void countSuccess(const RequestSample &sample, TimePoint now);
    void detectCacheLoss(const RequestSample &sample, TimePoint now);

    ColdStartSettings settings_;
    bool cold_ = true;
    int limit_;
    int successes_ = 0;
    TimePoint windowStart_;

    /** Longest duration of a successful request in this ramp. */
    Duration longestDuration_{0};

    std::string startIdentity_;

    /** Long-term mean of the time to first token in ms, without slow misses. */
    double baselineMs_ = 0;

    /** Long-term share of requests that hit the cache, without slow misses. */
    double hitShare_ = 0;

    /** One bit for each of the last 8 requests, newest in bit 0; set for a slow miss. */
    std::uint8_t slowMisses_ = 0;
};

} // namespace jy
