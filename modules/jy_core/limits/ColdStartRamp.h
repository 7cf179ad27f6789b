#pragma once

#include "jy_base/time/TimeTypes.h"
#include "jy_core/limits/ConcurrencyLimit.h"

#include <cstdint>
#include <string>

namespace jy {

struct ColdStartSettings
{
    int coldLimit = 1;
    Duration rampInterval = std::chrono::seconds(2);

    /** A server is cold again when time to first token exceeds this multiple of its usual value
     *  while most requests miss the cache. */
    double coldRatio = 3;
};

/**
 * Limit of a server that has just started or has lost its caches.
 *
 * The limit doubles only after as many successes as the limit within one interval, so what a cold
 * server receives depends on what it has completed and not on how many routers know it.
 */
class ColdStartRamp
{
public:
    /** A new server is cold. */
    explicit ColdStartRamp(const ColdStartSettings &settings);

    /** Reports the start identity that the server's load report names. A change means a restart. */
    void onStartIdentity(const std::string &identity, TimePoint now);

    void onSample(const RequestSample &sample, TimePoint now);

    /** Ends the ramp when its limit has reached the concurrency limit. */
    void endIfReached(double concurrencyLimit);

    void markCold(TimePoint now);

    bool cold() const { return cold_; }

    /** Largest number of requests; only meaningful while cold. */
    int limit() const { return limit_; }

    const std::string &startIdentity() const { return startIdentity_; }

    /** Restores the state of a previous owner. */
    void restore(bool cold, std::string startIdentity, TimePoint now);

private:
    void countSuccess(const RequestSample &sample, TimePoint now);
    void detectColdness(const RequestSample &sample, TimePoint now);

    ColdStartSettings settings_;
    bool cold_ = true;
    int limit_;
    int successes_ = 0;
    TimePoint windowStart_;

    /** Longest time of a successful request of this ramp. */
    Duration longest_{0};

    std::string startIdentity_;

    /** Long-term mean time to first token in ms. */
    double usualMs_ = 0;

    /** Long-term share of requests that hit the cache. */
    double hitShare_ = 0;

    /** The last 8 requests, newest in bit 0: set when the request was slow and missed the cache. */
    std::uint8_t suspicious_ = 0;
};

} // namespace jy
