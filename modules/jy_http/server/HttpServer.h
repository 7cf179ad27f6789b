#pragma once

#include "jy_base/net/Endpoint.h"
#include "jy_http/messages/ByteBudget.h"
#include "jy_http/messages/HttpMessage.h"
#include "jy_http/server/CallerMemory.h"
#include "jy_http/server/HttpResponder.h"
#include "jy_runtime/fibers/EventLoop.h"

#include <chrono>
#include <functional>
#include <memory>

namespace jy {

/** Limits against hostile and broken callers; all are enforced before the handler runs. */
struct HttpServerSettings
{
    /** Port 0 selects an ephemeral port. */
    Endpoint listen{"127.0.0.1", 0};

    std::size_t maxHeadBytes = 16 * 1024;
    std::size_t maxHeaderCount = 64;
    std::size_t maxBodyBytes = 4 * 1024 * 1024;
    std::size_t maxConnections = 10000;
    std::size_t maxConnectionsPerSource = 1024;

    /** Time between two requests on one connection. */
    std::chrono::milliseconds idleTimeout{60000};

    /** Time from the first byte of a request to its last. */
    std::chrono::milliseconds requestTimeout{15000};

    /** Time for the caller to accept one write; a reader stalled for longer is disconnected. */
    std::chrono::milliseconds writeTimeout{30000};

    /** Memory for the bodies of requests; null: each body has its own limit only. */
    std::shared_ptr<ByteBudget> bodyBudget;

    /**
     * Memory for all that callers make the process hold, shared by its servers; bodyBudget should
     * be a part of it. Null: each connection has its own limits only.
     */
    std::shared_ptr<CallerMemory> memory;
};

/**
 * Answers one request. It runs in the fiber of the connection. If it returns without a response,
 * the caller receives 500; if it leaves a stream unfinished, the connection is closed, so that the
 * caller sees a truncated body.
 */
using HttpHandler = std::function<void(const HttpRequest &, HttpResponder &)>;

/** HTTP/1.1 server with one fiber for each connection. */
class HttpServer
{
public:
    /** Binds and starts to accept. @returns SettingsInvalid when the address cannot be bound. */
    static Result<std::unique_ptr<HttpServer>> create(EventLoop &loop, HttpServerSettings settings,
                                                      HttpHandler handler);

    HttpServer(const HttpServer &) = delete;
    HttpServer &operator=(const HttpServer &) = delete;

    /** Calls stop(). */
    ~HttpServer();

    Endpoint localEndpoint() const;

    /** Number of requests whose handler is running. */
    std::size_t activeRequests() const;

    std::size_t connections() const;

    /** Applies new limits and timeouts, also to open connections; the address does not change. */
    void updateLimits(const HttpServerSettings &settings);

    /**
     * From now on every response asks its caller to close the connection. Called ahead of drain(),
     * it lets callers leave without having a request on its way when the connection closes.
     */
    void announceClose();

    /**
     * Stops accepting, closes idle connections and waits for running requests to finish.
     *
     * @returns the number of requests that still run at the end of @p timeout
     */
    std::size_t drain(std::chrono::milliseconds timeout);

    /**
     * Ends what drain() has left: a running request gets 504 and its handler sees that the caller
     * is gone, a begun stream breaks off, and a request that is still arriving gets 503. Waits at
     * most @p timeout for the responses.
     */
    void interrupt(std::chrono::milliseconds timeout);

    /** Closes every connection and waits for their handlers to return. */
    void stop();

private:
    class Impl;
    explicit HttpServer(std::shared_ptr<Impl> impl);

    std::shared_ptr<Impl> impl_;
};

} // namespace jy
