#include "jy_http/client/ClientExchange.h"

#include "jy_http/wire/SocketDeadline.h"
#include "jy_runtime/fibers/FiberToken.h"

#include <boost/asio/write.hpp>
#include <boost/beast/http/read.hpp>

#include <array>

namespace jy {

namespace asio = boost::asio;
namespace http = boost::beast::http;
using boost::system::error_code;
using tcp = asio::ip::tcp;
using Clock = std::chrono::steady_clock;

namespace {

constexpr std::size_t readBytes = 16 * 1024;

} // namespace

HttpStream::Impl::Impl(std::weak_ptr<ConnectionPool> pool, Endpoint endpoint,
                       std::unique_ptr<ClientConnection> connection, const HttpCallOptions &options)
    : pool_(std::move(pool))
    , endpoint_(std::move(endpoint))
    , connection_(std::move(connection))
    , cancellation_(options.cancellation)
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
    return success();
}

Result<void> HttpStream::Impl::send(const std::string &head, const std::string &body,
                                    TimePoint deadline)
{
    const SocketDeadline limit(connection_->socket, deadline, SocketDeadline::Effect::Close);
    error_code error;
    const auto written = asio::async_write(
        connection_->socket, std::array{asio::buffer(head), asio::buffer(body)}, FiberToken{error});
    if (!error)
        return success();
    // A server may answer and close without reading the whole request, for example with 413, so a
    // failed write is followed by an attempt to read the response.
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
    do {
        parser_.emplace();
        parser_->header_limit(static_cast<std::uint32_t>(maxHeadBytes));
        parser_->body_limit(boost::none);
        parser_->skip(head);
        error_code error;
        http::async_read_header(connection_->socket, connection_->buffer, *parser_,
                                FiberToken{error});
        if (error)
            return broken("response of", error, limit.expired());
    } while (parser_->get().result_int() / 100 == 1);
    status_ = static_cast<int>(parser_->get().result_int());
    for (const auto &field : parser_->get())
        headers_.add(field.name_string(), field.value());
    return success();
}

Result<std::string> HttpStream::Impl::readSome(TimePoint deadline)
{
    if (finished_)
        return std::string();
    if (!connection_)
        return failure(ErrorKind::BackendBroken, "the response body is already broken");
    const SocketDeadline limit(connection_->socket, deadline, SocketDeadline::Effect::Close);
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
            auto problem = broken("response body of", error, limit.expired());
            connection_.reset();
            return problem;
        }
        size = part.size() - body.size;
    }
    part.resize(size);
    if (size == 0)
        finish();
    return part;
}

void HttpStream::Impl::finish()
{
    finished_ = true;
    registration_ = {};
    const auto pool = pool_.lock();
    if (pool && parser_->get().keep_alive() && connection_->socket.is_open())
        pool->keep(endpoint_, std::move(connection_), Clock::now());
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

Result<std::string> HttpStream::readSome(std::chrono::milliseconds timeout)
{
    return impl_->readSome(Clock::now() + timeout);
}

} // namespace jy
