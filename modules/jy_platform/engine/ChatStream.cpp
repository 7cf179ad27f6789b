#include "jy_platform/engine/ChatStream.h"

#include <algorithm>
#include <charconv>

namespace jy {

using Clock = std::chrono::steady_clock;

namespace {

constexpr std::string_view endMarker = "[DONE]";

std::optional<std::uint64_t> parseId(std::string_view text)
{
    std::uint64_t value = 0;
    const auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), value);
    if (error != std::errc() || end != text.data() + text.size() || text.empty())
        return std::nullopt;
    return value;
}

std::chrono::milliseconds timeLeft(TimePoint deadline)
{
    return std::chrono::duration_cast<std::chrono::milliseconds>(deadline - Clock::now());
}

std::string cancelTarget(const RequestId &request)
{
    return "/v1/requests/" + percentEncode(request.value());
}

} // namespace

std::string_view toString(Priority priority)
{
    switch (priority) {
    case Priority::Low:
        return "low";
    case Priority::Normal:
        return "normal";
    case Priority::High:
        return "high";
    }
    return "normal";
}

HttpRequest chatRequest(const ChatCall &call, TimePoint now)
{
    HttpRequest request{.method = "POST", .target = "/v1/chat/completions"};
    request.headers.add("Content-Type", "application/json");
    request.headers.add("X-Request-Id", call.requestId.value());
    request.headers.add("X-Workspace", call.workspace.value());
    if (!call.chat.empty())
        request.headers.add("X-Chat-Id", call.chat.value());
    request.headers.add("X-Priority", toString(call.priority));
    const auto left = std::chrono::duration_cast<std::chrono::milliseconds>(call.deadline - now);
    request.headers.add("X-Deadline-Ms", std::to_string(std::max<std::int64_t>(0, left.count())));
    return request;
}

void cancelDetached(const std::shared_ptr<HttpClient> &client, const Endpoint &engine,
                    const RequestId &request, std::chrono::milliseconds timeout)
{
    EventLoop::spawn([client, engine, request, timeout] {
        (void)client->request(engine, {.method = "DELETE", .target = cancelTarget(request)},
                              timeout);
    });
}

ChatStream::ChatStream(std::shared_ptr<HttpClient> client, EngineClientSettings settings,
                       Endpoint engine, ChatCall call, std::shared_ptr<Cancellation> cancellation,
                       std::unique_ptr<HttpStream> response)
    : client_(std::move(client))
    , settings_(settings)
    , engine_(std::move(engine))
    , call_(std::move(call))
    , cancellation_(std::move(cancellation))
    , response_(std::move(response))
    , parser_({.maxLineBytes = settings.maxEventBytes, .maxEventBytes = settings.maxEventBytes})
    , status_(response_->status())
{
    if (const auto hit = response_->headers().find("X-Cache-Hit"))
        cacheHit_ = *hit == "true";
}

ChatStream::~ChatStream()
{
    if (!ended_ && status_ == 200)
        cancelDetached(client_, engine_, call_.requestId, settings_.controlTimeout);
}

Result<std::string> ChatStream::readErrorBody()
{
    const auto deadline = std::chrono::steady_clock::now() + settings_.controlTimeout;
    std::string body;
    while (body.size() < settings_.maxEventBytes) {
        BOOST_OUTCOME_TRY(auto part, response_->readSome(deadline));
        if (part.empty())
            break;
        body += part;
    }
    return body;
}

Result<std::optional<ServerSentEvent>> ChatStream::next()
{
    while (!ended_) {
        if (pending_.empty()) {
            auto filled = fill();
            if (!filled) {
                BOOST_OUTCOME_TRYV2(auto &&, resume(filled.error()));
            }
            continue;
        }
        auto event = std::move(pending_.front());
        pending_.pop_front();
        switch (position(event)) {
        case Position::Next:
            return accept(std::move(event));
        case Position::Duplicate:
            break;
        case Position::Gap:
            BOOST_OUTCOME_TRYV2(auto &&,
                                resume({ErrorKind::BackendBroken, "the engine skipped an event"}));
        }
    }
    return std::optional<ServerSentEvent>();
}

Result<void> ChatStream::fill()
{
    if (!response_)
        return failure(ErrorKind::BackendBroken, "the stream is not connected");
    const auto left = timeLeft(call_.deadline);
    if (left.count() <= 0)
        return failure(ErrorKind::DeadlineExceeded, "the deadline passed within the stream");
    BOOST_OUTCOME_TRY(auto part, response_->readSome(std::min(left, settings_.eventTimeout)));
    if (part.empty())
        return failure(ErrorKind::BackendBroken, "the stream ended without its end marker");
    BOOST_OUTCOME_TRY(auto events, parser_.feed(part));
    std::ranges::move(events, std::back_inserter(pending_));
    return success();
}

Result<void> ChatStream::resume(const Error &cause)
{
    response_.reset();
    pending_.clear();
    if (cancellation_ && cancellation_->cancelled())
        return failure(ErrorKind::Cancelled, "the request was cancelled");
    if (timeLeft(call_.deadline).count() <= 0)
        return failure(ErrorKind::DeadlineExceeded, "the deadline passed within the stream");
    if (anyEvent_ && !hasIds_)
        return failure(ErrorKind::BackendBroken, cause.message + "; the engine cannot resume");
    Error last = cause;
    while (resumes_ < settings_.maxResumes) {
        ++resumes_;
        EventLoop::sleepFor(
            std::min<Duration>(settings_.resumeDelay * resumes_, call_.deadline - Clock::now()));
        if (timeLeft(call_.deadline).count() <= 0)
            return failure(ErrorKind::DeadlineExceeded, "the deadline passed within the stream");
        auto reopened = reopen();
        if (reopened)
            return success();
        last = reopened.error();
        if (last.kind == ErrorKind::Cancelled || last.kind == ErrorKind::BackendFailed)
            break;
    }
    if (last.kind == ErrorKind::Cancelled)
        return last;
    // The generation has started, so a failed connection must not be reported as "not run".
    return failure(ErrorKind::BackendBroken,
                   "the stream broke and did not resume: " + last.message);
}

Result<void> ChatStream::reopen()
{
    auto request = chatRequest(call_, Clock::now());
    request.headers.add("Last-Event-ID", std::to_string(lastId_));
    const HttpCallOptions options{
        .freshConnection = true, .cancellation = cancellation_, .body = call_.body};
    const auto timeout = std::min(timeLeft(call_.deadline), settings_.eventTimeout);
    BOOST_OUTCOME_TRY(auto response, client_->open(engine_, request, timeout, options));
    const auto resumedFrom = parseId(response->headers().value("X-Resumed-From"));
    if (response->status() != 200 || resumedFrom != lastId_)
        return failure(ErrorKind::BackendFailed,
                       "the engine does not resume, status " + std::to_string(response->status()));
    response_ = std::move(response);
    parser_ = SseParser(
        {.maxLineBytes = settings_.maxEventBytes, .maxEventBytes = settings_.maxEventBytes});
    return success();
}

ChatStream::Position ChatStream::position(const ServerSentEvent &event) const
{
    const auto id = parseId(event.id);
    // The end marker and error events need no id, because nothing follows them.
    const bool isLast = event.data == endMarker || event.event == "error";
    if (!id)
        return hasIds_ && !isLast ? Position::Gap : Position::Next;
    if (*id <= lastId_)
        return Position::Duplicate;
    return *id == lastId_ + 1 ? Position::Next : Position::Gap;
}

Result<std::optional<ServerSentEvent>> ChatStream::accept(ServerSentEvent event)
{
    anyEvent_ = true;
    if (const auto id = parseId(event.id)) {
        hasIds_ = true;
        lastId_ = *id;
    }
    if (event.event == "error") {
        ended_ = true;
        return failure(ErrorKind::BackendFailed, "the engine reported an error: " + event.data);
    }
    if (event.data == endMarker) {
        ended_ = true;
        // Reading to the end of the body returns the connection to the pool.
        (void)response_->readSome(settings_.controlTimeout);
        return std::optional<ServerSentEvent>();
    }
    return std::optional(std::move(event));
}

} // namespace jy
