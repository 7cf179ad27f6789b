#include "jy_gateway/relay/LogRateLimiter.h"

#include <utility>

namespace jy {

bool LogRateLimiter::allow(TimePoint now)
{
    if (now - secondStart_ >= std::chrono::seconds(1)) {
        secondStart_ = now;
        written_ = 0;
    }
    if (written_ < linesPerSecond_) {
        ++written_;
        return true;
    }
    ++dropped_;
    return false;
}

std::uint64_t LogRateLimiter::takeDropped()
{
    return std::exchange(dropped_, 0);
}

} // namespace jy
