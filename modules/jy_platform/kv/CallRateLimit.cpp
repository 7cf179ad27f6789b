#include "jy_platform/kv/CallRateLimit.h"

#include <algorithm>

namespace jy {

CallRateLimit::CallRateLimit(double perSecond, double burst)
    : perSecond_(perSecond)
    , burst_(burst)
    , tokens_(burst)
{ }

Duration CallRateLimit::take(TimePoint now, Duration longestWait)
{
    if (last_ != TimePoint{}) {
        const auto passed = std::chrono::duration<double>(now - last_).count();
        tokens_ = std::min(burst_, tokens_ + passed * perSecond_);
    }
    last_ = now;
    const std::chrono::duration<double> wait(std::max(0.0, (1.0 - tokens_) / perSecond_));
    if (wait > longestWait)
        return Duration(-1);
    tokens_ -= 1.0;
    return std::chrono::duration_cast<Duration>(wait);
}

} // namespace jy
