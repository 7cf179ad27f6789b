#include "jy_gateway/placement/PlacementMetrics.h"

#include <string>

namespace jy {

void countPlacement(Metrics &metrics, const ServiceId &service, const Placement &placement)
{
    const MetricLabels labels{{"service", service.value()}};
    metrics
        .counter(
            "jy_placements_total", "Choices of a backend server by service and reason.",
            {{"service", service.value()}, {"reason", std::string(toString(placement.reason))}})
        .add();
    if (!placement.copySource.empty())
        metrics
            .counter("jy_prompt_copies_total",
                     "Requests sent with an engine to copy their prompt prefix from.", labels)
            .add();
    if (placement.copyAvoided)
        metrics
            .counter("jy_prompt_copies_avoided_total",
                     "Copies of prompt prefixes not made while the service is contended.", labels)
            .add();
}

} // namespace jy
