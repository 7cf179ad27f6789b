#include "jy_core/limits/ColdStartRamp.h"

#include <algorithm>
#include <bit>

namespace jy {

namespace {

// Six slow misses among eight requests; a few long prompts alone do not make a server cold.
constexpr int suspiciousOfEight = 6;

// A server whose requests rarely hit the cache cannot be told cold by misses.
constexpr double informativeHitShare = 0.5;

constexpr double usualWeight = 0.02;

// A stage must allow one full batch of requests to finish, whatever their length. With only the
// configured interval a server whose answers take 10 s would never leave the second stage.
constexpr int longestRequestsPerWindow = 2;

// One success per place let the limit reach 4 after 3 requests, before a server that needs 8
// requests to warm up could sustain it.
constexpr int successesPerPlace = 4;

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
    longest_ = Duration::zero();
    suspicious_ = 0;
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
        detectColdness(sample, now);
}

void ColdStartRamp::countSuccess(const RequestSample &sample, TimePoint now)
{
    if (!sample.ok) {
        successes_ = 0;
        windowStart_ = now;
        return;
    }
    longest_ = std::max(longest_, sample.total);
    const auto window = std::max(settings_.rampInterval, longestRequestsPerWindow * longest_);
    if (now - windowStart_ > window) {
        successes_ = 0;
        windowStart_ = now;
    }
    if (++successes_ < successesPerPlace * limit_)
        return;
    limit_ *= 2;
    successes_ = 0;
    windowStart_ = now;
}

void ColdStartRamp::detectColdness(const RequestSample &sample, TimePoint now)
{
    const double milliseconds =
        std::chrono::duration<double, std::milli>(sample.firstToken).count();
    if (usualMs_ <= 0)
        usualMs_ = milliseconds;
    const bool slowMiss = !sample.cacheHit && milliseconds > settings_.coldRatio * usualMs_;
    suspicious_ = static_cast<std::uint8_t>((suspicious_ << 1U) | (slowMiss ? 1U : 0U));
    if (!cold_ && hitShare_ >= informativeHitShare
        && std::popcount(suspicious_) >= suspiciousOfEight) {
        markCold(now);
        return;
    }
    if (slowMiss)
        return;
    usualMs_ += usualWeight * (milliseconds - usualMs_);
    hitShare_ += usualWeight * ((sample.cacheHit ? 1.0 : 0.0) - hitShare_);
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
