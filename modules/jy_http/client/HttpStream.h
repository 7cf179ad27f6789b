#pragma once

#include "jy_http/messages/HttpMessage.h"

#include <chrono>
#include <memory>
#include <string>

namespace jy {

/**
 * A response whose body is read in parts.
 *
 * The connection goes back to the client's pool once the body is complete; destroying the stream
 * earlier closes it.
 */
class HttpStream
{
public:
    class Impl;
    explicit HttpStream(std::unique_ptr<Impl> impl);
    HttpStream(const HttpStream &) = delete;
    HttpStream &operator=(const HttpStream &) = delete;
    ~HttpStream();

    int status() const;
    const HttpHeaders &headers() const;

    /** Whether the body has neither a length nor chunks, so that the connection's end is its end.
     */
    bool endsWithConnection() const;

    /**
     * Suspends until a part of the body arrives.
     *
     * @returns a part of at most 16 KB, empty at the end of the body; BackendBroken when the body
     *          is truncated or malformed, DeadlineExceeded after @p timeout, Cancelled after a
     *          cancellation
     */
    Result<std::string> readSome(std::chrono::milliseconds timeout);

private:
    std::unique_ptr<Impl> impl_;
};

} // namespace jy
