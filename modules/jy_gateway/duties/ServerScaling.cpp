#include "jy_gateway/duties/ServerScaling.h"

namespace jy {

std::optional<ServerOrder> ServerScaling::next(const std::vector<ScalableService> &services,
                                               TimePoint)
{
    for (const auto &service : services) {
        for (const auto &domain : service.domains) {
            const auto found = ordered_.find({service.service, domain.domain});
            const int wanted = service.policy.minimum;
            if (found == ordered_.end() || found->second != wanted)
                return ServerOrder{service.service, domain.domain, wanted};
        }
    }
    return std::nullopt;
}

void ServerScaling::accepted(const ServerOrder &order)
{
    ordered_[{order.service, order.domain}] = order.count;
}

} // namespace jy
