#include "jy_runtime/supervision/RestartLimiter.h"

namespace jy {

RestartLimiter::RestartLimiter(int maxRestarts, std::chrono::milliseconds window)
    : maxRestarts_(maxRestarts)
    , window_(window)
{ }

bool RestartLimiter::allow(TimePoint now)
{
    while (!restarts_.empty() && now - restarts_.front() >= window_)
        restarts_.pop_front();
    if (static_cast<int>(restarts_.size()) >= maxRestarts_)
        return false;
    restarts_.push_back(now);
    return true;
}

} // namespace jy
