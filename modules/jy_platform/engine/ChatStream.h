#pragma once

#include "jy_http/client/HttpClient.h"
#include "jy_http/sse/SseParser.h"
#include "jy_platform/engine/EngineTypes.h"

#include <deque>
#include <memory>
#include <optional>

namespace jy {

struct EngineClientSettings
{
    /** Time for a control call. */
    std::chrono::milliseconds controlTimeout{2000};

    /** Longest silence within a stream before the connection counts as broken. */
    std::chrono::milliseconds eventTimeout{10000};

    /** Interruptions that one stream survives. */
    int maxResumes = 3;

    /** Pause before a resume, multiplied by the number of the attempt. */
    std::chrono::milliseconds resumeDelay{50};

    /** Bound of one event and so of the memory of one stream. */
    std::size_t maxEventBytes = 64 * 1024;
};

/**
 * The events of one streamed generation, each exactly once and in order.
 *
 * After an interruption the stream resumes at the same engine. Destroying a stream that has not
 * ended cancels the generation in a fiber of its own.
 * @see EngineClient for the protocol
 */
class ChatStream
{
public:
    /** Used by EngineClient. @param call must have been sent, its response is @p response */
    ChatStream(std::shared_ptr<HttpClient> client, EngineClientSettings settings, Endpoint engine,
               ChatCall call, std::shared_ptr<Cancellation> cancellation,
               std::unique_ptr<HttpStream> response);
    ChatStream(const ChatStream &) = delete;
    ChatStream &operator=(const ChatStream &) = delete;
    ~ChatStream();

    /** Status of the first response; events exist only for 200. */
    int status() const { return status_; }

    /** Whether the engine found the prompt in its cache, if it says so. */
    std::optional<bool> cacheHit() const { return cacheHit_; }

    /** Reads the body of a response whose status is not 200. */
    Result<std::string> readErrorBody();

    /**
     * Suspends until the next event.
     *
     * @returns the event, nothing after `[DONE]`; BackendBroken when an interruption could not be
     *          resumed, BackendFailed after an error event of the engine, DeadlineExceeded,
     *          Cancelled
     */
    Result<std::optional<ServerSentEvent>> next();

    int resumes() const { return resumes_; }

private:
    enum class Position {
        Next,
        Duplicate,
        Gap,
    };

    Result<void> fill();
    Result<void> resume(const Error &cause);
    Result<void> reopen();
    Position position(const ServerSentEvent &event) const;
    Result<std::optional<ServerSentEvent>> accept(ServerSentEvent event);

    std::shared_ptr<HttpClient> client_;
    EngineClientSettings settings_;
    Endpoint engine_;
    ChatCall call_;
    std::shared_ptr<Cancellation> cancellation_;
    std::unique_ptr<HttpStream> response_;
    SseParser parser_;
    std::deque<ServerSentEvent> pending_;
    std::uint64_t lastId_ = 0;
    bool anyEvent_ = false;
    bool hasIds_ = false;
    bool ended_ = false;
    int status_ = 0;
    int resumes_ = 0;
    std::optional<bool> cacheHit_;
};

/** Builds the chat completions request of @p call, without its body. Internal to the engine
 * adapter. */
HttpRequest chatRequest(const ChatCall &call, TimePoint now);

/** Ends a generation in a fiber of its own, ignoring failures. Internal to the engine adapter. */
void cancelDetached(const std::shared_ptr<HttpClient> &client, const Endpoint &engine,
                    const RequestId &request, std::chrono::milliseconds timeout);

} // namespace jy
