#include "jy_router/caller/RequestContext.h"

#include "jy_base/errors/ErrorTable.h"
#include "jy_base/hashing/StableHash.h"

#include <algorithm>
#include <array>
#include <charconv>

namespace jy {

namespace {

constexpr std::size_t maxIdBytes = 256;

constexpr std::array<std::string_view, 5> contextHeaders = {
    "X-Workspace", "X-Chat-Id", "X-Request-Id", "X-Deadline-Ms", "X-Priority"};

Result<void> checkHeaders(const HttpHeaders &headers)
{
    for (const auto name : contextHeaders) {
        if (headers.count(name) > 1)
            return failure(ErrorKind::BadRequest, std::string(name) + " is repeated");
        if (headers.value(name).size() > maxIdBytes)
            return failure(ErrorKind::BadRequest, std::string(name) + " is too long");
    }
    return success();
}

Result<Priority> readPriority(std::string_view text)
{
    for (const auto priority : {Priority::Low, Priority::Normal, Priority::High}) {
        if (toString(priority) == text)
            return priority;
    }
    return failure(ErrorKind::BadRequest, "X-Priority must be low, normal or high");
}

Result<std::chrono::milliseconds> readDeadline(std::string_view text,
                                               const CallerSettings &settings)
{
    std::int64_t value = 0;
    const auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), value);
    if (error != std::errc() || end != text.data() + text.size())
        return failure(ErrorKind::BadRequest, "X-Deadline-Ms must be a number of milliseconds");
    if (value <= 0)
        return failure(ErrorKind::DeadlineTooShort, "X-Deadline-Ms leaves no time");
    return std::min(std::chrono::milliseconds(value), settings.maxDeadline);
}

} // namespace

Result<CallContext> readContext(const HttpRequest &request, const CallerSettings &settings,
                                const std::function<RequestId()> &newRequestId, TimePoint now)
{
    const auto &headers = request.headers;
    BOOST_OUTCOME_TRYV2(auto &&, checkHeaders(headers));
    CallContext context{.received = now, .deadline = now + settings.defaultDeadline};
    context.workspace = WorkspaceId(std::string(headers.value("X-Workspace")));
    if (context.workspace.empty())
        return failure(ErrorKind::BadRequest, "X-Workspace is missing");
    context.chat = ChatId(std::string(headers.value("X-Chat-Id")));
    if (!context.chat.empty())
        context.chatHash = stableHash(context.chat.value());
    const auto requestId = headers.value("X-Request-Id");
    context.requestId = requestId.empty() ? newRequestId() : RequestId(std::string(requestId));
    if (const auto priority = headers.find("X-Priority")) {
        BOOST_OUTCOME_TRY(context.priority, readPriority(*priority));
    }
    if (const auto deadline = headers.find("X-Deadline-Ms")) {
        BOOST_OUTCOME_TRY(auto duration, readDeadline(*deadline, settings));
        context.deadline = now + duration;
    }
    return context;
}

std::chrono::milliseconds timeLeft(TimePoint deadline, TimePoint now)
{
    const auto left = std::chrono::duration_cast<std::chrono::milliseconds>(deadline - now);
    return std::max(left, std::chrono::milliseconds(0));
}

bool isNotRun(ErrorKind kind)
{
    return answerFor(kind).effect == Effect::NotRun;
}

} // namespace jy
