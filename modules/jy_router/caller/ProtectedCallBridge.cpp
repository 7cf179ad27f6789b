#include "jy_router/caller/ProtectedCallBridge.h"

#include "jy_router/caller/RequestContext.h"

namespace jy {

ProtectedSendResult toSendResult(const Result<HttpResponse> &result)
{
    using Progress = ProtectedSendResult::Progress;
    ProtectedSendResult out;
    if (!result) {
        out.progress = isNotRun(result.error().kind) ? Progress::NotSent : Progress::Unknown;
        out.error = result.error();
        return out;
    }
    const auto &response = result.value();
    out.progress = Progress::Answered;
    out.response.status = response.status;
    out.response.contentType = response.headers.value("Content-Type");
    out.response.body = response.body;
    return out;
}

Result<HttpResponse> callOnce(ProtectedCallDriver &driver, const ProtectedCallInput &input,
                              const std::function<Result<HttpResponse>()> &send)
{
    std::optional<HttpResponse> live;
    const ProtectedCallRequest request{.key = input.key,
                                       .digest = input.digest,
                                       .service = input.service,
                                       .deadline = input.deadline};
    BOOST_OUTCOME_TRY(auto outcome, driver.call(request, [&] {
        const auto result = send();
        if (result)
            live = result.value();
        return toSendResult(result);
    }));
    // A response of this attempt keeps all its headers; a recorded one has only its type.
    if (live && !outcome.repeated)
        return std::move(*live);
    HttpResponse response{.status = outcome.response.status};
    if (!outcome.response.contentType.empty())
        response.headers.add("Content-Type", outcome.response.contentType);
    response.body = std::move(outcome.response.body);
    return response;
}

} // namespace jy
