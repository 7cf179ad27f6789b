#pragma once

#include "jy_base/time/TimeTypes.h"

namespace jy {

struct ConcurrencySettings
{
    double initial = 4;
    double maximum = 16;

    /** Time to first token may exceed its baseline by this factor before the limit falls. */
    double tolerance = 1.5;

    /** Factor of the limit after an error. */
    double errorDecrease = 0.7;

    /** Errors within this time after a decrease belong to the same incident. */
    Duration decreaseInterval = std::chrono::seconds(1);
};

/** What one finished request says about its server. */
struct RequestSample
{
    bool ok = true;

    /** Zero when the request produced no token. */
    Duration firstToken{0};

    Duration total{0};
    bool cacheHit = false;
};

/**
 * Concurrency limit of one server: the gradient of the time to first token against its long-term
 * baseline.
 *
 * While the server is used to at least half of the limit and the gradient is 1, the limit grows by
 * about 1 per limit's worth of requests. A gradient below 1 multiplies the limit, at most once per
 * limit's worth of requests; an error multiplies it by errorDecrease. Requests that hit the prefix
 * cache and requests that miss it have separate baselines, so a change in the mix does not look
 * like congestion.
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

private:
    void onGradient(double gradient, int inFlight);
    void decrease(double factor);

    ConcurrencySettings settings_;
    double limit_;
    double hitBaselineMs_ = 0;
    double missBaselineMs_ = 0;

    /** Short-term mean of the ratio of time to first token and baseline. */
    double ratio_ = 1;

    /** Samples since the last change by the gradient. */
    int samples_ = 0;
    TimePoint lastDecrease_;
};

} // namespace jy
