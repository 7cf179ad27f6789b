#include "jy_http/server/HttpConnection.h"

#include "jy_http/wire/HeadWriter.h"
#include "jy_http/wire/SocketDeadline.h"
#include "jy_runtime/fibers/FiberToken.h"
#include "jy_runtime/logging/Log.h"

#include <boost/asio/write.hpp>
#include <boost/beast/core/buffers_suffix.hpp>

#include <poll.h>

#include <array>
#include <charconv>

namespace jy {

namespace asio = boost::asio;
using boost::system::error_code;
using tcp = asio::ip::tcp;
using Clock = std::chrono::steady_clock;

namespace {

// After an error response, unread input is discarded up to these limits: closing a socket with
// unread input resets the connection, and the caller could lose the response.
constexpr std::size_t maxLingerBytes = 1024 * 1024;
constexpr std::chrono::milliseconds maxLingerTime{500};

// Unread bytes of a pipelined request keep the socket readable, so a wait for readability cannot
// detect a disconnect; it is then polled for at this interval.
constexpr std::chrono::milliseconds pipelinedCheckInterval{100};

// Further memory of a running handler, mostly stack; an estimate on the safe side.
constexpr std::size_t exchangeBytes = 16 * 1024;

// A parsed header field costs about this much beside its text.
constexpr std::size_t fieldBytes = 100;

std::size_t heldBytes(const HttpRequest &request)
{
    std::size_t bytes = exchangeBytes + request.target.size();
    for (const auto &[name, value] : request.headers)
        bytes += fieldBytes + name.size() + value.size();
    return bytes;
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

std::string HttpConnection::closingResponse(const Error &error)
{
    const auto response = errorResponse(error);
    return responseHead(response.status, response.headers, BodyFraming::Length,
                        response.body.size(), false)
        + response.body;
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
