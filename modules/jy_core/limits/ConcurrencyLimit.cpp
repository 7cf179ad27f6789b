#include "jy_core/limits/ConcurrencyLimit.h"

#include <algorithm>

namespace jy {

namespace {

constexpr double minimumLimit = 1;

// Weight of one sample in the short-term mean: about the last 10 requests.
constexpr double ratioWeight = 0.2;

// The baseline follows improvements within about 20 requests, but a rise only over about 2,000, so
// that sustained congestion does not become the new normal.
constexpr double baselineFallWeight = 0.05;
constexpr double baselineRiseWeight = 0.0005;

// One step never removes more than half: a single slow prompt must not close a server.
constexpr double smallestGradient = 0.5;

} // namespace

ConcurrencyLimit::ConcurrencyLimit(const ConcurrencySettings &settings)
    : settings_(settings)
    , limit_(std::clamp(settings.initial, minimumLimit, std::max(minimumLimit, settings.maximum)))
{ }

void ConcurrencyLimit::onSample(const RequestSample &sample, int inFlight, TimePoint now)
{
    if (!sample.ok) {
        if (lastDecrease_ == TimePoint{} || now - lastDecrease_ >= settings_.decreaseInterval) {
            decrease(settings_.errorDecrease);
            lastDecrease_ = now;
        }
        return;
    }
    if (sample.firstToken <= Duration::zero())
        return;
    const double milliseconds =
        std::chrono::duration<double, std::milli>(sample.firstToken).count();
    double &baseline = sample.cacheHit ? hitBaselineMs_ : missBaselineMs_;
    if (baseline <= 0)
        baseline = milliseconds;
    const double weight = milliseconds < baseline ? baselineFallWeight : baselineRiseWeight;
    ratio_ += ratioWeight * (milliseconds / baseline - ratio_);
    baseline += weight * (milliseconds - baseline);
    onGradient(std::clamp(settings_.tolerance / ratio_, smallestGradient, 1.0), inFlight);
}

void ConcurrencyLimit::onGradient(double gradient, int inFlight)
{
    ++samples_;
    if (gradient >= 1) {
        // An idle server says nothing about a higher limit.
        if (2 * inFlight >= limit_)
            limit_ = std::min(settings_.maximum, limit_ + 1 / limit_);
        return;
    }
    if (samples_ < limit_)
        return;
    decrease(gradient);
}

void ConcurrencyLimit::decrease(double factor)
{
    limit_ = std::max(minimumLimit, limit_ * factor);
    samples_ = 0;
}

void ConcurrencyLimit::setLimit(double limit)
{
    limit_ = std::clamp(limit, minimumLimit, std::max(minimumLimit, settings_.maximum));
}

void ConcurrencyLimit::setMaximum(double maximum)
{
    settings_.maximum = std::max(minimumLimit, maximum);
    setLimit(limit_);
}

} // namespace jy
