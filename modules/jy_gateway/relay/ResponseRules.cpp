#include "jy_gateway/relay/ResponseRules.h"

#include <algorithm>
#include <array>

namespace jy {

namespace {

// Callers take these statuses to mean that the request did not run.
constexpr std::array notRunStatuses = {408, 421, 429, 503};

bool isSuccess(int status)
{
    return status >= 200 && status < 300;
}

} // namespace

ResponseClass classifyResponse(int status, const ResponseMetadata &metadata,
                               const RequestId &request)
{
    if (metadata.notRun || metadata.misdirected)
        return metadata.requestId == request.value() ? ResponseClass::NotRun
                                                     : ResponseClass::Unusable;
    if (isSuccess(status))
        return metadata.sealed && !metadata.reencoded ? ResponseClass::Deliver
                                                      : ResponseClass::Unusable;
    if (std::ranges::find(notRunStatuses, status) != notRunStatuses.end())
        return ResponseClass::Unusable;
    return status >= 500 ? ResponseClass::Failed : ResponseClass::Deliver;
}

std::chrono::milliseconds retryAfter(PlacementReason reason)
{
    switch (reason) {
    case PlacementReason::AllFull:
        return std::chrono::milliseconds(300);
    case PlacementReason::AllCold:
        return std::chrono::milliseconds(400);
    default:
        return std::chrono::milliseconds(1000);
    }
}

} // namespace jy
