#include "jy_core/limits/ConcurrencyLimit.h"

#include <algorithm>

namespace jy {

namespace {

constexpr double minimumLimit = 1;

// Weight of one sample in the short-term mean: about the last 10 requests.
constexpr double ratioWeight = 0.2;

// The baseline follows a fall within about 20 requests, but a rise only within about 20,000, so
// that sustained congestion does not become the baseline. With 2,000, the limit of a slowed-down
// engine rose again to 12 within 7 minutes; see docs/decisions/limits.md.
constexpr double baselineFallWeight = 0.05;
constexpr double baselineRiseWeight = 0.00005;

// One step at most halves the limit, so that a single slow prompt does not close a server.
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
        // A fast response from a lightly loaded server is no evidence that a higher limit is safe.
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

void ConcurrencyLimit::resetBaselines()
{
    hitBaselineMs_ = 0;
    missBaselineMs_ = 0;
    ratio_ = 1;
}

void ConcurrencyLimit::setMaximum(double maximum)
{
    settings_.maximum = std::max(minimumLimit, maximum);
    setLimit(limit_);
}

} // namespace jy
