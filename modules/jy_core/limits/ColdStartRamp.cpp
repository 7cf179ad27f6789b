#include "jy_core/limits/ColdStartRamp.h"

#include <algorithm>
#include <bit>

namespace jy {

namespace {

// Slow misses among the last 8 requests from which a server counts as cold. A few long prompts
// alone must not reach it.
constexpr int slowMissThreshold = 6;

// Below this share of cache hits, misses are normal and do not indicate a lost cache.
constexpr double minimumHitShare = 0.5;

constexpr double baselineWeight = 0.02;

// The window must be long enough for a full batch of requests to finish, whatever their duration.
// With only the configured interval, a server whose responses take 10 s would never leave the
// second stage of the ramp.
constexpr int longestDurationsPerWindow = 2;

// Successes per unit of the limit before it doubles. With 1, the limit reached 4 after 3 requests,
// which a server that needs 8 requests to warm up cannot sustain.
constexpr int successesPerLimit = 4;

} // namespace

ColdStartRamp::ColdStartRamp(const ColdStartSettings &settings)
    : settings_(settings)
    , limit_(std::max(1, settings.coldLimit))
{ }

void ColdStartRamp::markCold(TimePoint now)
{
    cold_ = true;
    limit_ = std::max(1, settings_.coldLimit);
    successes_ = 0;
    windowStart_ = now;
    longestDuration_ = Duration::zero();
    slowMisses_ = 0;
    hitShare_ = 0;
}

void ColdStartRamp::onStartIdentity(const std::string &identity, TimePoint now)
{
    if (identity == startIdentity_)
        return;
    startIdentity_ = identity;
    markCold(now);
}

void ColdStartRamp::onSample(const RequestSample &sample, TimePoint now)
{
    if (cold_)
        countSuccess(sample, now);
    if (sample.ok && sample.firstToken > Duration::zero())
        detectCacheLoss(sample, now);
}

void ColdStartRamp::countSuccess(const RequestSample &sample, TimePoint now)
{
    if (!sample.ok) {
        successes_ = 0;
        windowStart_ = now;
        return;
    }
    longestDuration_ = std::max(longestDuration_, sample.total);
    const auto window =
        std::max(settings_.rampInterval, longestDurationsPerWindow * longestDuration_);
    if (now - windowStart_ > window) {
        successes_ = 0;
        windowStart_ = now;
    }
    if (++successes_ < successesPerLimit * limit_)
        return;
    limit_ *= 2;
    successes_ = 0;
    windowStart_ = now;
}

void ColdStartRamp::detectCacheLoss(const RequestSample &sample, TimePoint now)
{
    const double milliseconds =
        std::chrono::duration<double, std::milli>(sample.firstToken).count();
    if (baselineMs_ <= 0)
        baselineMs_ = milliseconds;
    const bool slowMiss = !sample.cacheHit && milliseconds > settings_.coldRatio * baselineMs_;
    slowMisses_ = static_cast<std::uint8_t>((slowMisses_ << 1U) | (slowMiss ? 1U : 0U));
    if (!cold_ && hitShare_ >= minimumHitShare && std::popcount(slowMisses_) >= slowMissThreshold) {
        markCold(now);
        return;
    }
    if (slowMiss)
        return;
    baselineMs_ += baselineWeight * (milliseconds - baselineMs_);
    hitShare_ += baselineWeight * ((sample.cacheHit ? 1.0 : 0.0) - hitShare_);
}

void ColdStartRamp::endIfReached(double concurrencyLimit)
{
    if (cold_ && limit_ >= concurrencyLimit)
        cold_ = false;
}

void ColdStartRamp::restore(bool cold, std::string startIdentity, TimePoint now)
{
    markCold(now);
    cold_ = cold;
    startIdentity_ = std::move(startIdentity);
}

} // namespace jy
