#include "jy_http/server/HttpConnection.h"

#include "jy_http/wire/HeadScanner.h"
#include "jy_http/wire/HeadWriter.h"
#include "jy_http/wire/SocketDeadline.h"
#include "jy_runtime/fibers/FiberToken.h"
#include "jy_runtime/logging/Log.h"

#include <boost/asio/write.hpp>
#include <boost/beast/core/buffers_suffix.hpp>
#include <boost/beast/http/error.hpp>

#include <poll.h>
#include <sys/socket.h>

#include <array>
#include <charconv>

namespace jy {

namespace http = boost::beast::http;
namespace asio = boost::asio;
using boost::system::error_code;
using tcp = asio::ip::tcp;
using Clock = std::chrono::steady_clock;

namespace {

// After an error response, unread input is discarded up to these limits: closing a socket with
// unread input resets the connection, and the caller could lose the response.
constexpr std::size_t maxLingerBytes = 1024 * 1024;
constexpr std::chrono::milliseconds maxLingerTime{500};

// Requests usually release their memory within about this time.
constexpr std::chrono::milliseconds memoryRetryAfter{1000};

// Memory of a connection without a request: the used part of its fiber's stack, its objects and
// those of Asio. MEASURED
constexpr std::size_t connectionBytes = 24 * 1024;

// Further memory of a running handler, mostly stack.
constexpr std::size_t exchangeBytes = 16 * 1024;

// A parsed header field costs about this much beside its text, in the parser and in the copy.
constexpr std::size_t fieldBytes = 100;

// Longest reads. Bytes beyond the current request stay in the socket, except for one read. A body
// of known length is read in large parts, as none of them goes beyond its end.
constexpr std::size_t headReadBytes = 2 * 1024;
constexpr std::size_t chunkReadBytes = 4 * 1024;
constexpr std::size_t bodyReadBytes = 16 * 1024;

// Retry-After of requests that were not complete when the process had to end.
constexpr std::chrono::milliseconds stoppingRetryAfter{1000};

// Unread bytes of a pipelined request keep the socket readable, so a wait for readability cannot
// detect a disconnect; it is then polled for at this interval.
constexpr std::chrono::milliseconds pipelinedCheckInterval{100};

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

std::size_t heldBytes(const HttpRequest &request)
{
    std::size_t bytes = exchangeBytes + request.target.size();
    for (const auto &[name, value] : request.headers)
        bytes += fieldBytes + name.size() + value.size();
    return bytes;
}

Error noMemory()
{
    return {ErrorKind::Overloaded, "no memory for the request", memoryRetryAfter};
}

std::string closingResponse(const Error &error)
{
    const auto response = errorResponse(error);
    return responseHead(response.status, response.headers, BodyFraming::Length,
                        response.body.size(), false)
        + response.body;
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

/** Writes to the socket of a connection during one exchange. */
class HttpConnection::Responder final : public HttpResponder
{
public:
    Responder(HttpConnection &connection, bool head)
        : connection_(connection)
        , head_(head)
        , cancellation_(Cancellation::create())
    { }

    using HttpResponder::send;

    bool send(int status, const HttpHeaders &headers, std::string_view body) override
    {
        if (started_)
            return false;
        started_ = true;
        complete_ = true;
        const bool bodyless = status == 204 || status == 304;
        const auto text =
            responseHead(status, headers, bodyless ? BodyFraming::None : BodyFraming::Length,
                         body.size(), keepAlive());
        const bool withBody = !bodyless && !head_;
        return put(std::array<asio::const_buffer, 2>{
            asio::buffer(text), asio::buffer(withBody ? body : std::string_view())});
    }

    bool startStream(int status, const HttpHeaders &headers) override
    {
        if (started_)
            return false;
        started_ = true;
        const auto text = responseHead(status, headers, BodyFraming::Chunked, 0, keepAlive());
        return put(std::array<asio::const_buffer, 1>{asio::buffer(text)});
    }

    bool write(std::string_view chunk) override
    {
        if (!started_ || complete_)
            return false;
        if (chunk.empty() || head_)
            return !callerGone();
        std::array<char, 18> size{};
        auto *end = std::to_chars(size.data(), size.data() + 16, chunk.size(), 16).ptr;
        *end++ = '\r';
        *end++ = '\n';
        return put(std::array<asio::const_buffer, 3>{
            asio::buffer(size.data(), static_cast<std::size_t>(end - size.data())),
            asio::buffer(chunk), asio::buffer("\r\n", 2)});
    }

    bool endStream() override
    {
        if (!started_ || complete_)
            return false;
        complete_ = true;
        return head_ || put(std::array{asio::buffer("0\r\n\r\n", 5)});
    }

    bool started() const override { return started_; }
    bool complete() const { return complete_ && !broken_; }

    /** Whether bytes of the response may have reached the caller. */
    bool wrote() const { return wrote_; }

    bool callerGone() const override { return cancellation_->cancelled(); }
    const std::shared_ptr<Cancellation> &cancellation() const override { return cancellation_; }

private:
    bool keepAlive() const { return connection_.keepAlive_ && !connection_.closing_; }

    template <class Buffers>
    bool put(const Buffers &buffers)
    {
        broken_ = broken_ || callerGone();
        if (broken_)
            return false;
        wrote_ = true;
        const SocketDeadline deadline(connection_.socket_,
                                      Clock::now() + connection_.settings_.writeTimeout,
                                      SocketDeadline::Effect::Close);
        error_code error;
        boost::beast::buffers_suffix<Buffers> rest(buffers);
        const auto held = connection_.member_.lease().size();
        connection_.responding_ = true;
        for (auto left = asio::buffer_size(rest); left > 0 && !error;
             left = asio::buffer_size(rest)) {
            connection_.member_.progress();
            connection_.member_.lease().count(held + left);
            rest.consume(connection_.socket_.async_write_some(rest, FiberToken{error}));
        }
        connection_.responding_ = false;
        connection_.member_.protect();
        connection_.member_.lease().count(held);
        broken_ = error.failed();
        if (broken_)
            cancellation_->cancel();
        return !broken_;
    }

    HttpConnection &connection_;
    bool head_;
    std::shared_ptr<Cancellation> cancellation_;
    bool started_ = false;
    bool wrote_ = false;
    bool broken_ = false;
    bool complete_ = false;
};

HttpConnection::HttpConnection(tcp::socket socket, const HttpServerSettings &settings,
                               const HttpHandler &handler)
    : socket_(std::move(socket))
    , settings_(settings)
    , handler_(handler)
    , checkTimer_(socket_.get_executor())
    , member_(settings.memory, [this] { return closeForMemory(); })
    , bodyRoom_(settings.bodyBudget)
{
    error_code ignored;
    socket_.set_option(tcp::no_delay(true), ignored);
    const auto remote = socket_.remote_endpoint(ignored);
    source_ = {remote.address().to_string(), remote.port()};
}

void HttpConnection::run()
{
    while (socket_.is_open() && keepAlive_ && waitForRequest()) {
        const auto request = readRequest();
        if (!request)
            break;
        handle(*request);
        bodyRoom_.release();
        member_.progress();
        hold(buffer_.capacity());
        if (closing_)
            break;
    }
    closeGently();
}

void HttpConnection::closeWhenIdle()
{
    closing_ = true;
    error_code ignored;
    // Received bytes are part of a request, which must still get its response.
    if (idle_ && socket_.available(ignored) == 0)
        socket_.close(ignored);
}

void HttpConnection::interrupt()
{
    closing_ = true;
    interrupted_ = true;
    if (exchange_)
        exchange_->cancel();
    error_code ignored;
    if (!handling_)
        socket_.shutdown(tcp::socket::shutdown_receive, ignored);
}

void HttpConnection::close()
{
    closing_ = true;
    error_code ignored;
    socket_.close(ignored);
}

bool HttpConnection::waitForRequest()
{
    if (buffer_.size() > 0)
        return true;
    const SocketDeadline deadline(socket_, Clock::now() + settings_.idleTimeout,
                                  SocketDeadline::Effect::CloseIfIdle);
    idle_ = true;
    error_code error;
    socket_.async_wait(tcp::socket::wait_read, FiberToken{error});
    idle_ = false;
    awaitsFirstRequest_ = false;
    return !error && socket_.is_open();
}

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
    if (parser.get()[http::field::expect] == "100-continue" && !parser.is_done())
        asio::async_write(socket_, asio::buffer("HTTP/1.1 100 Continue\r\n\r\n", 25),
                          FiberToken{error});
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

void HttpConnection::handle(const HttpRequest &request)
{
    trimBuffer();
    member_.protect();
    if (!hold(buffer_.capacity() + heldBytes(request))) {
        rejectUnread(asio::error::no_buffer_space, false);
        closing_ = true;
        return;
    }
    Responder responder(*this, request.method == "HEAD");
    handling_ = true;
    exchange_ = responder.cancellation();
    watchCaller(responder.cancellation());
    try {
        handler_(request, responder);
    } catch (const std::exception &problem) {
        logEvent(LogLevel::Error, "handler-failed",
                 {{"path", request.path()},
                  {"started", responder.started()},
                  {"reason", problem.what()}});
        if (!responder.started())
            responder.send(errorResponse({ErrorKind::Internal, problem.what()}));
    }
    handling_ = false;
    exchange_.reset();
    checkTimer_.cancel();
    error_code ignored;
    socket_.cancel(ignored);
    if (interrupted_ && !responder.wrote()) {
        reject({ErrorKind::DeadlineExceeded, "the instance ended before the request did"});
        return;
    }
    if (!responder.started())
        responder.send(errorResponse({ErrorKind::Internal, "the request was not answered"}));
    if (!responder.complete())
        socket_.close(ignored);
}

void HttpConnection::watchCaller(const std::shared_ptr<Cancellation> &cancellation)
{
    // handle() cancels the wait; the weak pointer expires with the exchange, so that a late
    // callback does not affect the next one.
    socket_.async_wait(
        tcp::socket::wait_read,
        [self = shared_from_this(), weak = std::weak_ptr(cancellation)](error_code error) {
            const auto current = weak.lock();
            if (!current || !self->handling_)
                return;
            if (error || self->callerClosed())
                current->cancel();
            else
                self->checkCallerLater(weak);
        });
}

void HttpConnection::checkCallerLater(const std::weak_ptr<Cancellation> &cancellation)
{
    // A timer and no fiber: with many pipelined requests, the stacks took hundreds of megabytes.
    checkTimer_.expires_after(pipelinedCheckInterval);
    checkTimer_.async_wait([self = shared_from_this(), cancellation](error_code error) {
        const auto current = cancellation.lock();
        if (error || !current || !self->handling_)
            return;
        if (self->callerClosed())
            current->cancel();
        else
            self->checkCallerLater(cancellation);
    });
}

bool HttpConnection::callerClosed()
{
    if (!socket_.is_open())
        return true;
    pollfd state{.fd = socket_.native_handle(), .events = POLLRDHUP, .revents = 0};
    return ::poll(&state, 1, 0) > 0 && (state.revents & (POLLRDHUP | POLLHUP | POLLERR)) != 0;
}

void HttpConnection::reject(const Error &error)
{
    const SocketDeadline deadline(socket_, Clock::now() + settings_.writeTimeout,
                                  SocketDeadline::Effect::Close);
    const auto text = closingResponse(error);
    responding_ = true;
    error_code ignored;
    asio::async_write(socket_, asio::buffer(text), FiberToken{ignored});
}

void HttpConnection::closeGently()
{
    responding_ = true;
    member_.progress();
    error_code error;
    socket_.shutdown(tcp::socket::shutdown_send, error);
    const SocketDeadline deadline(socket_, Clock::now() + maxLingerTime,
                                  SocketDeadline::Effect::Close);
    std::array<char, 4096> discarded{};
    for (std::size_t total = 0; !error && total < maxLingerBytes;)
        total += socket_.async_read_some(asio::buffer(discarded), FiberToken{error});
    socket_.close(error);
}

} // namespace jy
