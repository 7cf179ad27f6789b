// The parts of HttpConnection that read requests and account for their memory.

#include "jy_http/server/HttpConnection.h"
#include "jy_http/wire/HeadScanner.h"
#include "jy_http/wire/SocketDeadline.h"
#include "jy_runtime/fibers/FiberToken.h"

#include <boost/asio/write.hpp>
#include <boost/beast/http/error.hpp>

#include <sys/socket.h>

#include <algorithm>

namespace jy {

namespace http = boost::beast::http;
namespace asio = boost::asio;
using boost::system::error_code;
using tcp = asio::ip::tcp;
using Clock = std::chrono::steady_clock;

namespace {

// Requests usually release their memory within about this time.
constexpr std::chrono::milliseconds memoryRetryAfter{1000};

// Retry-After of requests that were not complete when the process had to end.
constexpr std::chrono::milliseconds stoppingRetryAfter{1000};

// Memory of a connection without a request: the used part of its fiber's stack, its objects and
// those of Asio. 1,500 connections with refused heads raised the resident memory by 23 KB each.
constexpr std::size_t connectionBytes = 24 * 1024;

// Longest reads. Bytes beyond the current request stay in the socket, except for one read. A body
// of known length is read in large parts, as none of them goes beyond its end.
constexpr std::size_t headReadBytes = 2 * 1024;
constexpr std::size_t chunkReadBytes = 4 * 1024;
constexpr std::size_t bodyReadBytes = 16 * 1024;

HttpRequest toRequest(http::request<http::string_body> &&message, const Endpoint &source)
{
    HttpRequest request;
    request.method = std::string(message.method_string());
    request.target = std::string(message.target());
    for (const auto &field : message)
        request.headers.add(field.name_string(), field.value());
    request.body = std::move(message.body());
    request.source = source;
    return request;
}

Error noMemory()
{
    return {ErrorKind::Overloaded, "no memory for the request", memoryRetryAfter};
}

// Whether the input violates the protocol or a limit, as opposed to a connection that ended.
bool isMalformed(error_code error)
{
    if (error == asio::error::message_size)
        return true;
    return error.category() == http::make_error_code(http::error::body_limit).category()
        && error != http::error::end_of_stream && error != http::error::partial_message;
}

Error readError(error_code error, const HttpServerSettings &settings)
{
    if (error == http::error::body_limit)
        return {ErrorKind::PayloadTooLarge,
                "the body exceeds " + std::to_string(settings.maxBodyBytes) + " bytes"};
    if (error == asio::error::message_size)
        return {ErrorKind::PayloadTooLarge,
                "more than " + std::to_string(settings.maxHeaderCount) + " header fields"};
    if (error == http::error::header_limit || error == http::error::buffer_overflow)
        return {ErrorKind::PayloadTooLarge,
                "the request head exceeds " + std::to_string(settings.maxHeadBytes) + " bytes"};
    return {ErrorKind::BadRequest, "malformed request: " + error.message()};
}

} // namespace

std::optional<HttpRequest> HttpConnection::readRequest()
{
    const SocketDeadline deadline(socket_, Clock::now() + settings_.requestTimeout,
                                  SocketDeadline::Effect::EndReads);
    Parser parser;
    auto error = readHead(parser);
    if (!error)
        error = readBody(parser);
    if (error || interrupted_ || deadline.expired()) {
        rejectUnread(error, deadline.expired());
        return std::nullopt;
    }
    keepAlive_ = parser.get().keep_alive();
    return toRequest(parser.release(), source_);
}

void HttpConnection::rejectUnread(error_code error, bool late)
{
    if (interrupted_) {
        if (error != http::error::end_of_stream)
            reject({ErrorKind::ShuttingDown, "the instance is shutting down", stoppingRetryAfter});
    } else if (late) {
        reject({ErrorKind::RequestTimeout, "the request was not complete in time"});
    } else if (error == asio::error::no_buffer_space) {
        if (member_.memory())
            member_.memory()->closed(MemoryClosure::NoRoom);
        reject(noMemory());
    } else if (isMalformed(error)) {
        reject(readError(error, settings_));
    }
}

error_code HttpConnection::readHead(Parser &parser)
{
    using State = HeadScanner::State;
    parser.header_limit(static_cast<std::uint32_t>(settings_.maxHeadBytes));
    parser.body_limit(settings_.maxBodyBytes);
    HeadScanner scanner(settings_.maxHeadBytes, settings_.maxHeaderCount);
    const auto scan = [&] {
        const auto received = buffer_.cdata();
        return scanner.scan({static_cast<const char *>(received.data()), received.size()});
    };
    error_code error;
    auto state = scan();
    while (!error && state == State::Incomplete) {
        const bool empty = buffer_.size() == 0;
        error = receive(headReadBytes);
        if (error == asio::error::eof)
            return empty ? http::error::end_of_stream : http::error::partial_message;
        state = scan();
    }
    if (error)
        return error;
    if (state == State::TooManyFields)
        return asio::error::message_size;
    if (state != State::Complete)
        return state == State::TooLong ? http::error::header_limit : http::error::bad_line_ending;
    buffer_.consume(parser.put(asio::buffer(buffer_.cdata(), scanner.headBytes()), error));
    return error;
}

error_code HttpConnection::readBody(Parser &parser)
{
    error_code error;
    if (parser.get()[http::field::expect] == "100-continue" && !parser.is_done()) {
        // The deadline of the request ends reads only.
        const SocketDeadline deadline(socket_, Clock::now() + settings_.writeTimeout,
                                      SocketDeadline::Effect::Close);
        asio::async_write(socket_, asio::buffer("HTTP/1.1 100 Continue\r\n\r\n", 25),
                          FiberToken{error});
    }
    parser.eager(true);
    while (!error && !parser.is_done()) {
        const auto parsed = buffer_.size() > 0 ? parser.put(buffer_.cdata(), error) : 0;
        buffer_.consume(parsed);
        if (error == http::error::need_more)
            error = {};
        // Counts received bytes, not Content-Length, by which a caller could reserve memory for
        // free.
        if (!bodyRoom_.resize(parser.get().body().size()))
            return asio::error::no_buffer_space;
        if (error || parser.is_done() || (parsed > 0 && buffer_.size() > 0))
            continue;
        const auto left = parser.content_length_remaining();
        error =
            receive(left ? static_cast<std::size_t>(std::min<std::uint64_t>(*left, bodyReadBytes))
                         : chunkReadBytes);
        if (error == asio::error::eof)
            return http::error::partial_message;
    }
    // Trailers count as fields.
    const auto &fields = parser.get();
    if (static_cast<std::size_t>(std::distance(fields.begin(), fields.end()))
        > settings_.maxHeaderCount)
        return asio::error::message_size;
    return error;
}

error_code HttpConnection::receive(std::size_t most)
{
    const auto size = buffer_.size();
    if (size >= settings_.maxHeadBytes)
        return http::error::buffer_overflow;
    most = std::min(most, settings_.maxHeadBytes - size);
    // A flat_buffer grows at least to twice its content.
    const auto grown =
        size + most <= buffer_.capacity() ? buffer_.capacity() : std::max(2 * size, size + most);
    if (!hold(grown))
        return asio::error::no_buffer_space;
    error_code error;
    buffer_.commit(socket_.async_read_some(buffer_.prepare(most), FiberToken{error}));
    return error;
}

bool HttpConnection::hold(std::size_t bytes)
{
    return member_.lease().resize(connectionBytes + bytes);
}

bool HttpConnection::reserve()
{
    member_.progress();
    if (hold(0))
        return true;
    closeForMemory();
    member_.memory()->closed(MemoryClosure::NoRoom);
    return false;
}

void HttpConnection::trimBuffer()
{
    if (buffer_.capacity() > buffer_.size())
        buffer_.shrink_to_fit();
}

CallerMemory::Closed HttpConnection::closeForMemory()
{
    auto reason = MemoryClosure::UnreadResponse;
    error_code ignored;
    if (!responding_) {
        const bool idle = idle_ && socket_.available(ignored) == 0;
        reason = idle ? MemoryClosure::Idle : MemoryClosure::IncompleteRequest;
        const auto text = idle ? std::string() : closingResponse(noMemory());
        ::send(socket_.native_handle(), text.data(), text.size(), MSG_DONTWAIT | MSG_NOSIGNAL);
    }
    close();
    return {reason, member_.lease().size() + bodyRoom_.size()};
}

} // namespace jy
