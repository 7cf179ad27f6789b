#include "jy_http/client/ClientExchange.h"

#include "jy_http/wire/SocketDeadline.h"
#include "jy_runtime/fibers/FiberToken.h"

#include <boost/asio/write.hpp>
#include <boost/beast/http/read.hpp>

#include <algorithm>
#include <array>
#include <charconv>

namespace jy {

namespace asio = boost::asio;
namespace http = boost::beast::http;
using boost::system::error_code;
using tcp = asio::ip::tcp;
using Clock = std::chrono::steady_clock;

namespace {

constexpr std::size_t readBytes = 16 * 1024;

// Limits of responses skipped before the one to this request: interim responses, and late second
// responses to earlier requests. A server that exceeds them may never stop sending.
constexpr int maxSkippedResponses = 8;
constexpr std::size_t maxSkippedBytes = 1024 * 1024;

// The parser accepts every number of three digits.
constexpr int lowestStatus = 100;
constexpr int highestStatus = 599;

// A shorter wait would miss bytes that have already arrived.
constexpr std::chrono::milliseconds shortestRead{1};

// The server closes an idle connection at its timeout; a request sent shortly before could arrive
// after that.
constexpr std::chrono::seconds keepAliveMargin{1};

/** How long a connection may stay idle according to the server's Keep-Alive field, if given. */
std::optional<std::chrono::milliseconds> keepAliveTimeout(const HttpHeaders &headers)
{
    constexpr std::string_view parameter = "timeout=";
    const auto field = headers.value("Keep-Alive");
    const auto position = field.find(parameter);
    if (position == std::string_view::npos)
        return std::nullopt;
    const auto text = field.substr(position + parameter.size());
    int seconds = 0;
    if (std::from_chars(text.data(), text.data() + text.size(), seconds).ec != std::errc())
        return std::nullopt;
    const std::chrono::seconds timeout{seconds};
    return timeout > keepAliveMargin ? timeout - keepAliveMargin : std::chrono::seconds(0);
}

} // namespace

HttpStream::Impl::Impl(std::weak_ptr<ConnectionPool> pool, Endpoint endpoint,
                       std::unique_ptr<ClientConnection> connection, const HttpCallOptions &options)
    : pool_(std::move(pool))
    , endpoint_(std::move(endpoint))
    , connection_(std::move(connection))
    , cancellation_(options.cancellation)
    , isOwnResponse_(options.isOwnResponse)
    , resetOnClose_(options.resetOnClose)
{
    if (!cancellation_)
        return;
    registration_ = cancellation_->onCancel([this] {
        error_code ignored;
        if (connection_)
            connection_->socket.close(ignored);
    });
}

Error HttpStream::Impl::broken(const char *step, error_code error, bool expired) const
{
    if (cancellation_ && cancellation_->cancelled())
        return {ErrorKind::Cancelled, "the request was cancelled"};
    const auto where = std::string(step) + ' ' + toString(endpoint_);
    if (expired)
        return {ErrorKind::DeadlineExceeded, where + " did not finish in time"};
    return {ErrorKind::BackendBroken, where + " failed: " + error.message()};
}

Result<void> HttpStream::Impl::connect(TimePoint deadline)
{
    auto &socket = connection_->socket;
    error_code error;
    if (cancellation_ && cancellation_->cancelled())
        return broken("connect to", error, false);
    if (socket.is_open())
        return success();
    const auto address = asio::ip::make_address(endpoint_.address, error);
    const tcp::endpoint remote(address, endpoint_.port);
    if (!error)
        socket.open(remote.protocol(), error);
    bool expired = false;
    if (!error) {
        const SocketDeadline limit(socket, deadline, SocketDeadline::Effect::Close);
        socket.async_connect(remote, FiberToken{error});
        expired = limit.expired();
    }
    if (cancellation_ && cancellation_->cancelled())
        return broken("connect to", error, expired);
    if (error || expired)
        return failure(ErrorKind::ConnectFailed,
                       "connect to " + toString(endpoint_)
                           + (expired ? " timed out" : " failed: " + error.message()));
    socket.set_option(tcp::no_delay(true), error);
    if (resetOnClose_)
        socket.set_option(asio::socket_base::linger(true, 0), error);
    return success();
}

Result<void> HttpStream::Impl::send(const std::string &head, std::string_view body,
                                    TimePoint deadline)
{
    const SocketDeadline limit(connection_->socket, deadline, SocketDeadline::Effect::Close);
    error_code error;
    const auto written = asio::async_write(
        connection_->socket, std::array{asio::buffer(head), asio::buffer(body)}, FiberToken{error});
    requestSent_ = !error;
    if (!error)
        return success();
    // A server may respond, for example with 413, and close without reading the whole request, so
    // the response is read even after a failed write.
    const bool cancelled = cancellation_ && cancellation_->cancelled();
    if (written > 0 && !limit.expired() && !cancelled)
        return success();
    const auto problem = broken("write to", error, limit.expired());
    if (written == 0 && problem.kind != ErrorKind::Cancelled)
        return failure(ErrorKind::ConnectFailed, problem.message);
    return problem;
}

Result<void> HttpStream::Impl::receiveHead(bool head, std::size_t maxHeadBytes, TimePoint deadline)
{
    const SocketDeadline limit(connection_->socket, deadline, SocketDeadline::Effect::Close);
    for (int skipped = 0; skipped <= maxSkippedResponses; ++skipped) {
        auto error = readHead(head, maxHeadBytes);
        if (error)
            return broken("response of", error, limit.expired());
        if (status_ / 100 == 1)
            continue;
        if (!isOwnResponse_ || isOwnResponse_(status_, headers_))
            return success();
        error = skipBody();
        if (error)
            return broken("response of", error, limit.expired());
    }
    return broken("response of", http::make_error_code(http::error::body_limit), false);
}

error_code HttpStream::Impl::readHead(bool head, std::size_t maxHeadBytes)
{
    parser_.emplace();
    parser_->header_limit(static_cast<std::uint32_t>(maxHeadBytes));
    parser_->body_limit(boost::none);
    parser_->skip(head);
    error_code error;
    http::async_read_header(connection_->socket, connection_->buffer, *parser_, FiberToken{error});
    if (error)
        return error;
    status_ = static_cast<int>(parser_->get().result_int());
    if (status_ < lowestStatus || status_ > highestStatus)
        return http::error::bad_status;
    headers_ = {};
    for (const auto &field : parser_->get())
        headers_.add(field.name_string(), field.value());
    return error;
}

error_code HttpStream::Impl::skipBody()
{
    std::string part(readBytes, '\0');
    std::size_t skipped = 0;
    while (!parser_->is_done()) {
        if (skipped > maxSkippedBytes)
            return http::make_error_code(http::error::body_limit);
        auto &body = parser_->get().body();
        body.data = part.data();
        body.size = part.size();
        error_code error;
        http::async_read_some(connection_->socket, connection_->buffer, *parser_,
                              FiberToken{error});
        if (error && error != http::error::need_buffer)
            return error;
        skipped += part.size() - body.size;
    }
    return parser_->need_eof() ? http::make_error_code(http::error::end_of_stream) : error_code();
}

Result<std::string> HttpStream::Impl::readSome(TimePoint deadline)
{
    if (finished_)
        return std::string();
    if (!connection_)
        return failure(ErrorKind::BackendBroken, "the response body is already broken");
    const auto end = readLimit(deadline);
    // While bytes are ready, a read completes before its timer, so the time is checked here.
    if (end <= Clock::now()) {
        connection_.reset();
        return broken("response body of", {}, true);
    }
    const SocketDeadline limit(connection_->socket, end, SocketDeadline::Effect::Close);
    std::string part(readBytes, '\0');
    std::size_t size = 0;
    while (size == 0 && !parser_->is_done()) {
        auto &body = parser_->get().body();
        body.data = part.data();
        body.size = part.size();
        error_code error;
        http::async_read_some(connection_->socket, connection_->buffer, *parser_,
                              FiberToken{error});
        if (error && error != http::error::need_buffer) {
            // The timer of an earlier read may have closed the socket while that read completed.
            const bool expired = limit.expired() || Clock::now() >= deadline;
            auto problem = broken("response body of", error, expired);
            connection_.reset();
            return problem;
        }
        size = part.size() - body.size;
    }
    part.resize(size);
    if (size > 0)
        return part;
    // The failed write has taken the error of the socket, so that a reset looks like an end.
    if (parser_->need_eof() && !requestSent_) {
        connection_.reset();
        return failure(ErrorKind::BackendBroken,
                       "response of " + toString(endpoint_) + " was cut during the upload");
    }
    finish();
    return part;
}

TimePoint HttpStream::Impl::readLimit(TimePoint deadline)
{
    const auto now = Clock::now();
    if (now < deadline)
        return deadline;
    if (!lateReadEnd_)
        lateReadEnd_ = now + lateReadTime;
    return std::min(*lateReadEnd_, now + shortestRead);
}

void HttpStream::Impl::finish()
{
    finished_ = true;
    registration_ = {};
    const auto pool = pool_.lock();
    if (pool && requestSent_ && parser_->get().keep_alive() && connection_->socket.is_open()) {
        connection_->serverIdleTimeout = keepAliveTimeout(headers_);
        pool->keep(endpoint_, std::move(connection_), Clock::now());
    }
    connection_.reset();
}

HttpStream::HttpStream(std::unique_ptr<Impl> impl)
    : impl_(std::move(impl))
{ }

HttpStream::~HttpStream() = default;

int HttpStream::status() const
{
    return impl_->status();
}

const HttpHeaders &HttpStream::headers() const
{
    return impl_->headers();
}

bool HttpStream::endsWithConnection() const
{
    return impl_->endsWithConnection();
}

Result<std::string> HttpStream::readSome(TimePoint deadline)
{
    return impl_->readSome(deadline);
}

Result<std::string> HttpStream::readSome(std::chrono::milliseconds timeout)
{
    return impl_->readSome(Clock::now() + timeout);
}

} // namespace jy
