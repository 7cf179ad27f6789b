#pragma once

#include "jy_http/client/HttpClient.h"
#include "jy_platform/engine/ChatStream.h"
#include "jy_platform/engine/EngineTypes.h"

#include <memory>

namespace jy {

/**
 * Adapter for model engines.
 *
 * Protocol, all paths relative to the engine's endpoint, all JSON bodies objects:
 *
 * - `POST /v1/chat/completions` with an OpenAI chat completions body. Request headers:
 *   `X-Request-Id`, `X-Workspace`, `X-Chat-Id` (absent without a chat), `X-Priority`
 *   (low|normal|high), `X-Deadline-Ms` (time left). The response header `X-Cache-Hit: true|false`
 *   is optional. With `"stream": true` the response is `text/event-stream`: each event carries a
 *   chat.completion.chunk as data and an `id`, a decimal counter that starts at 1 and grows by 1;
 *   the last event has the data `[DONE]` and the next id. An event of type `error` ends the
 *   stream; its data is a JSON object with the member `error.message`.
 * - Resume: the same request again with the same `X-Request-Id` and `Last-Event-ID: N`, the id of
 *   the last event received (0 for none). An engine that resumes answers 200 with the header
 *   `X-Resumed-From: N` and continues with event N+1 of the same generation; without this header
 *   the response is not used, because a second generation may differ from the first. An engine
 *   that cannot resume answers 404, 409 or 410. Events must stay available for resumption for at
 *   least 10 s after the connection broke. An engine without resumption sends no ids.
 * - `DELETE /v1/requests/<request id>` ends a generation: 200 or 204, 404 when it is not running.
 * - `GET /v1/load` returns `{"start_identity": string, "in_flight": int, "queued": int,
 *   "cache_hit_rate": number, "first_token_ms": number}` and optionally `"loaded":
 *   [{"model": string, "version": string, "ready": bool}]`.
 * - `POST /v1/orders` with `{"fencing_token": int, "action": "load"|"unload", "model": string,
 *   "version": string}` returns 200 or 202 when the order is accepted (progress is read from
 *   `loaded`), 409 when the token is stale, another 4xx when the order is impossible.
 * - `POST /v1/kv/export` with `{"chat": string}` returns `{"handle": string, "bytes": int}`, 404
 *   when the chat is not cached. `POST /v1/kv/import` with `{"chat": string, "handle": string,
 *   "source": "address:port"}` makes the engine fetch the entry from the other engine and returns
 *   200 or 202; the data never passes through a router.
 * - `GET /v1/cache-events?since=N` returns `{"next": int, "truncated": bool, "events":
 *   [{"sequence": int, "type": "stored"|"evicted", "chat": string}]}` with the events whose
 *   sequence is at least N.
 *
 * Error kinds: those of HttpClient; BackendFailed for status 429 and 5xx; BadRequest for other
 * statuses of control paths; LeaseLost for a stale token; UnknownTarget for 404.
 */
class EngineClient
{
public:
    static std::unique_ptr<EngineClient> create(std::shared_ptr<HttpClient> client,
                                                EngineClientSettings settings);

    /**
     * Performs a request without streaming. A 4xx response, other than 429, is returned as it is.
     *
     * When the exchange ends early, the generation is cancelled at the engine.
     */
    Result<HttpResponse> complete(const Endpoint &engine, const ChatCall &call,
                                  const std::shared_ptr<Cancellation> &cancellation);

    /** Starts a stream; returns when the response head has arrived. */
    Result<std::unique_ptr<ChatStream>>
    openStream(const Endpoint &engine, const ChatCall &call,
               const std::shared_ptr<Cancellation> &cancellation);

    /** Ends a generation. */
    Result<void> cancel(const Endpoint &engine, const RequestId &request);

    Result<LoadReport> load(const Endpoint &engine);
    Result<void> order(const Endpoint &engine, const EngineOrder &order);
    Result<KvExport> exportKv(const Endpoint &engine, const ChatId &chat);
    Result<void> importKv(const Endpoint &engine, const ChatId &chat, const KvExport &entry,
                          const Endpoint &source);
    Result<CacheEvents> cacheEvents(const Endpoint &engine, std::uint64_t since);

private:
    EngineClient(std::shared_ptr<HttpClient> client, EngineClientSettings settings);

    Result<HttpResponse> control(const Endpoint &engine, const HttpRequest &request);

    std::shared_ptr<HttpClient> client_;
    EngineClientSettings settings_;
};

} // namespace jy
