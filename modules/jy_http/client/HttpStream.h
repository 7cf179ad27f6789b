#pragma once

#include "jy_base/time/TimeTypes.h"
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

    /** Time after a deadline in which bytes that have already arrived are still read. */
    static constexpr std::chrono::milliseconds lateReadTime{100};

    /**
     * Suspends until a part of the body arrives.
     *
     * After the deadline only bytes that have already arrived are read, so that a process that was
     * paused meanwhile delivers what it has; this ends after lateReadTime, also if the server goes
     * on sending.
     *
     * @param deadline of the whole body
     * @returns a part of at most 16 KB, empty at the end of the body; BackendBroken when the body
     *          is truncated or malformed, DeadlineExceeded, Cancelled after a cancellation
     */
    Result<std::string> readSome(TimePoint deadline);

    /**
     * As above, with a time limit for this part only: it does not end a body whose parts keep
     * arriving.
     */
    Result<std::string> readSome(std::chrono::milliseconds timeout);

private:
    std::unique_ptr<Impl> impl_;
};

} // namespace jy
