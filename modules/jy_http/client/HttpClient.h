#pragma once

#include "jy_base/net/Endpoint.h"
#include "jy_http/client/HttpStream.h"
#include "jy_http/messages/Cancellation.h"
#include "jy_runtime/fibers/EventLoop.h"

#include <chrono>
#include <functional>
#include <memory>
#include <optional>
#include <string_view>

namespace jy {

struct HttpClientSettings
{
    std::chrono::milliseconds connectTimeout{1000};

    /** Must be shorter than the idle time-out of the servers. */
    std::chrono::milliseconds idleTimeout{15000};

    std::size_t maxIdlePerEndpoint = 32;
    std::size_t maxHeadBytes = 32 * 1024;

    /** Limit of the body that request() collects; streams are not limited. */
    std::size_t maxBodyBytes = 16 * 1024 * 1024;
};

/** Options of one exchange. */
struct HttpCallOptions
{
    /**
     * Do not reuse a connection. The server may close an idle connection while a request is on its
     * way, which leaves the effect of the request unknown.
     */
    bool freshConnection = false;

    /** Abandons the exchange; may be null. */
    std::shared_ptr<Cancellation> cancellation;

    /**
     * Closes the connection with a reset, so that bytes that the network still holds back are
     * dropped. Without it a request may arrive long after its exchange has timed out.
     */
    bool resetOnClose = false;

    /** Sends the Host field of the request instead of the address of the server. */
    bool keepHost = false;

    /**
     * Body to send in place of that of the request, so that a forwarded body is not copied. It must
     * stay valid until the head of the response has arrived or the call has failed.
     */
    std::optional<std::string_view> body;

    /**
     * Asked once the connection is open and before the first byte is written; may be empty. An
     * error ends the exchange and is returned as it is: the request has not been sent.
     */
    std::function<Result<void>()> beforeSend;

    /**
     * Whether a response belongs to this request; may be empty. Others, such as a late second
     * response to an earlier request on the connection, are read and dropped.
     */
    std::function<bool(int status, const HttpHeaders &)> isOwnResponse;
};

/**
 * HTTP/1.1 client with a pool of idle connections for each endpoint. A connection is reused only
 * after a complete exchange. The client repeats no request.
 *
 * Errors: ConnectFailed when no byte of the request was written (it has not run); BackendBroken
 * when the connection failed later (it may have run); DeadlineExceeded after the time-out, unless
 * no byte was written; Cancelled; BadRequest for a request that cannot be serialised.
 */
class HttpClient
{
public:
    static std::unique_ptr<HttpClient> create(EventLoop &loop, HttpClientSettings settings);

    HttpClient(const HttpClient &) = delete;
    HttpClient &operator=(const HttpClient &) = delete;
    ~HttpClient();

    /** Performs a complete exchange within @p timeout. */
    Result<HttpResponse> request(const Endpoint &endpoint, const HttpRequest &request,
                                 std::chrono::milliseconds timeout,
                                 const HttpCallOptions &options = {});

    /** Sends a request and returns once the head of the response has arrived within @p timeout. */
    Result<std::unique_ptr<HttpStream>> open(const Endpoint &endpoint, const HttpRequest &request,
                                             std::chrono::milliseconds timeout,
                                             const HttpCallOptions &options = {});

    /** Closes the idle connections to an endpoint, for example because its server left. */
    void forget(const Endpoint &endpoint);

    /**
     * Sets a limit of idle connections to each endpoint, below
     * HttpClientSettings::maxIdlePerEndpoint. Further ones are closed after their exchange.
     */
    void setIdleLimit(std::function<std::size_t(const Endpoint &)> limit);

    std::size_t idleConnections() const;

private:
    class Impl;
    explicit HttpClient(std::shared_ptr<Impl> impl);

    std::shared_ptr<Impl> impl_;
};

} // namespace jy
