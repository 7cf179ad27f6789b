#include "jy_gateway/relay/ShutdownAdmission.h"

namespace jy {

void ShutdownAdmission::begin(TimePoint admitAllUntil, TimePoint end)
{
    shutdown_ = {admitAllUntil, end};
}

bool ShutdownAdmission::admits(TimePoint now, TimePoint deadline) const
{
    return !shutdown_ || now <= shutdown_->admitAllUntil || deadline <= shutdown_->end;
}

} // namespace jy
