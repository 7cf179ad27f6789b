#include "jy_router/caller/ChatRelay.h"

#include "jy_router/caller/ChatBody.h"

namespace jy {

using Clock = std::chrono::steady_clock;
using std::chrono::milliseconds;

namespace {

std::optional<bool> cacheHit(const HttpHeaders &headers)
{
    const auto value = headers.find("X-Cache-Hit");
    return value ? std::optional(*value == "true") : std::nullopt;
}

Error callerLeft()
{
    return {ErrorKind::Cancelled, "the caller disconnected"};
}

} // namespace

std::optional<Error> ChatRelay::run(const HttpRequest &request)
{
    const auto body = ChatBody::read(request.body);
    if (!body)
        return body.error();
    const auto servers = dependencies_.rankEngines(context_, body.value().model);
    if (!servers)
        return servers.error();
    call_ = {.requestId = context_.requestId,
             .workspace = context_.workspace,
             .chat = context_.chat,
             .priority = context_.priority,
             .body = request.body,
             .deadline = context_.deadline};
    const bool streaming = body.value().stream;
    // A completion has no effect besides its response, so it may be generated again.
    const AttemptPlan plan{.context = context_,
                           .route = streaming ? "chat-stream" : "chat",
                           .servers = servers.value(),
                           .idempotent = true,
                           .cancellation = responder_.cancellation()};
    auto error = loop_.run(plan, [&](const BackendServer &server) {
        return streaming ? stream(server) : complete(server);
    });
    if (error && loop_.answered())
        endWithError(*error);
    return error;
}

Attempt ChatRelay::complete(const BackendServer &server)
{
    Attempt attempt;
    const auto response =
        dependencies_.engines->complete(server.endpoint, call_, responder_.cancellation());
    if (!response) {
        attempt.error = response.error();
        return attempt;
    }
    const auto &value = response.value();
    attempt.outcome.cacheHit = cacheHit(value.headers);
    attempt.answered = true;
    HttpHeaders headers{{"X-Request-Id", context_.requestId.value()}};
    headers.add("Content-Type", value.headers.value("Content-Type", "application/json"));
    if (!responder_.send(value.status, headers, value.body))
        attempt.error = callerLeft();
    return attempt;
}

Attempt ChatRelay::stream(const BackendServer &server)
{
    Attempt attempt;
    const auto started = Clock::now();
    auto opened =
        dependencies_.engines->openStream(server.endpoint, call_, responder_.cancellation());
    if (!opened) {
        attempt.error = opened.error();
        return attempt;
    }
    auto &stream = *opened.value();
    attempt.outcome.cacheHit = stream.cacheHit();
    if (stream.status() != 200) {
        const auto body = stream.readErrorBody();
        if (!body) {
            attempt.error = body.error();
            return attempt;
        }
        attempt.answered = true;
        responder_.send(
            stream.status(),
            {{"Content-Type", "application/json"}, {"X-Request-Id", context_.requestId.value()}},
            body.value());
        return attempt;
    }
    // The head is sent with the first event: until then another server can take over unnoticed.
    auto first = stream.next();
    if (!first) {
        attempt.error = first.error();
        return attempt;
    }
    attempt.outcome.firstToken = std::chrono::duration_cast<milliseconds>(Clock::now() - started);
    attempt.answered = true;
    responder_.startStream(200,
                           {{"Content-Type", "text/event-stream"},
                            {"Cache-Control", "no-store"},
                            {"X-Request-Id", context_.requestId.value()}});
    relay(stream, std::move(first.value()), attempt);
    return attempt;
}

void ChatRelay::relay(ChatStream &stream, std::optional<ServerSentEvent> event, Attempt &attempt)
{
    // Each event is written before the next one is read, so a slow reader holds back only its own
    // engine connection and at most one event and one read buffer are held.
    while (event) {
        ++attempt.outcome.tokens;
        if (!responder_.write(formatEvent(*event))) {
            attempt.error = callerLeft();
            return;
        }
        auto next = stream.next();
        if (!next) {
            attempt.error = next.error();
            return;
        }
        event = std::move(next.value());
    }
    if (!responder_.write("data: [DONE]\n\n") || !responder_.endStream())
        attempt.error = callerLeft();
}

void ChatRelay::endWithError(const Error &error)
{
    if (responder_.callerGone())
        return;
    responder_.write(
        formatEvent({.event = "error", .data = errorBody(error, context_.requestId.value())}));
    responder_.endStream();
}

} // namespace jy
