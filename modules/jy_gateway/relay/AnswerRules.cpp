#include "jy_gateway/relay/AnswerRules.h"

#include <algorithm>
#include <array>

namespace jy {

namespace {

// Callers take these for "not run".
constexpr std::array promisingStatuses = {408, 421, 429, 503};

bool isSuccess(int status)
{
    return status >= 200 && status < 300;
}

} // namespace

AnswerVerdict judgeAnswer(int status, const ResponseMetadata &metadata)
{
    if (metadata.notRun || metadata.otherServer)
        return AnswerVerdict::NotRun;
    if (isSuccess(status))
        return metadata.sealed && !metadata.reencoded ? AnswerVerdict::Deliver
                                                      : AnswerVerdict::Unusable;
    if (std::ranges::find(promisingStatuses, status) != promisingStatuses.end())
        return AnswerVerdict::Unusable;
    return status >= 500 ? AnswerVerdict::Failed : AnswerVerdict::Deliver;
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
