#pragma once

#include "jy_http/messages/Cancellation.h"
#include "jy_http/messages/HttpMessage.h"

#include <memory>
#include <string_view>

namespace jy {

/**
 * The response side of one exchange. An interface, so that handlers can be tested without sockets.
 *
 * Calls suspend the fiber until the bytes are in the socket's send buffer, so a slow reader slows
 * only its own handler. All calls return false once the caller is gone.
 */
class HttpResponder
{
public:
    virtual ~HttpResponder() = default;

    /** Sends a complete response. */
    virtual bool send(int status, const HttpHeaders &headers, std::string_view body) = 0;

    /** Sends the head of a response whose body follows by write(). */
    virtual bool startStream(int status, const HttpHeaders &headers) = 0;

    /** Sends a part of a streamed body; an empty part is ignored. */
    virtual bool write(std::string_view chunk) = 0;

    /** Marks the streamed body as complete. */
    virtual bool endStream() = 0;

    /** Whether send() or startStream() has been called. */
    virtual bool started() const = 0;

    /**
     * Whether the caller has disconnected. A caller that closes only its sending side counts as
     * gone, because that cannot be told apart from a disconnection before bytes are written.
     */
    virtual bool callerGone() const = 0;

    /** Cancelled when the caller disconnects while the handler runs. */
    virtual const std::shared_ptr<Cancellation> &cancellation() const = 0;

    bool send(const HttpResponse &response)
    {
        return send(response.status, response.headers, response.body);
    }
};

} // namespace jy
