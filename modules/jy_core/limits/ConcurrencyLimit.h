#pragma once

#include "jy_base/time/TimeTypes.h"

namespace jy {

struct ConcurrencySettings
{
    double initial = 4;
    double maximum = 16;

    /** Time to first token may exceed its baseline by this factor before the limit falls. */
    double tolerance = 1.5;

    /** Factor by which an error multiplies the limit. */
    double errorDecrease = 0.7;

    /** Errors within this time after a decrease belong to the same incident. */
    Duration decreaseInterval = std::chrono::seconds(1);
};

/** Outcome and timing of one finished request. */
struct RequestSample
{
    bool ok = true;

    /** Zero when the request produced no token. */
    Duration firstToken{0};

    Duration total{0};
    bool cacheHit = false;
};

/**
 * Adaptive concurrency limit of one server, controlled by the gradient of the time to first token
 * against its long-term baseline.
 *
 * While at least half of the limit is in use and the gradient is 1, the limit grows by about 1 for
 * every limit() requests. A gradient below 1 multiplies the limit, at most once for every limit()
 * requests; an error multiplies it by errorDecrease. Cache hits and cache misses have separate
 * baselines, so that a change of the hit rate is not mistaken for congestion.
 */
class ConcurrencyLimit
{
public:
    explicit ConcurrencyLimit(const ConcurrencySettings &settings);

    /** @param inFlight requests at the server when the request finished, including it */
    void onSample(const RequestSample &sample, int inFlight, TimePoint now);

    double limit() const { return limit_; }
    void setLimit(double limit);
    void setMaximum(double maximum);

    /** Baseline of cache misses in ms, for a hand-off; 0 when unknown. */
    double baselineMs() const { return missBaselineMs_; }
    void setBaselineMs(double baseline) { missBaselineMs_ = baseline; }

    /** Discards the baselines. Call it after a restart, as the server may run another version. */
    void resetBaselines();

private:
    void onGradient(double gradient, int inFlight);
    void decrease(double factor);

    ConcurrencySettings settings_;
    double limit_;
    double hitBaselineMs_ = 0;
    double missBaselineMs_ = 0;

    /** Short-term mean of the ratio of the time to first token to its baseline. */
    double ratio_ = 1;

    /** Samples since the last change by the gradient. */
    int samples_ = 0;
    TimePoint lastDecrease_;
};

} // namespace jy
