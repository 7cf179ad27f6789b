#include "jy_gateway/limits/ColdAllowance.h"

#include <algorithm>

namespace jy {

bool ColdAllowance::available(const ServerId &server, double ratePerSecond, TimePoint now)
{
    const auto wanted = static_cast<std::size_t>(std::max(1.0, ratePerSecond / 2));
    const auto sharers = std::min({maxInstancesPerServer, allowance_.liveInstances(), wanted});
    return allowance_.available(server, ratePerSecond * usableShare, sharers, now);
}

} // namespace jy
