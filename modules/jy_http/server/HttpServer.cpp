#include "jy_http/server/HttpServer.h"

#include "jy_http/server/HttpConnection.h"
#include "jy_http/wire/HeadWriter.h"
#include "jy_runtime/fibers/FiberToken.h"
#include "jy_runtime/logging/Log.h"

#include <boost/fiber/condition_variable.hpp>
#include <boost/fiber/mutex.hpp>

#include <algorithm>
#include <map>
#include <mutex>
#include <set>

namespace jy {

using boost::system::error_code;
using tcp = boost::asio::ip::tcp;
using Clock = std::chrono::steady_clock;

namespace {

// Accepting fails when file descriptors run out, until other connections close.
constexpr std::chrono::milliseconds acceptRetryDelay{50};

constexpr std::chrono::milliseconds connectionLimitRetryAfter{1000};

// How long a drain waits for the first request of a new connection, which callers send as soon as
// they are connected.
constexpr std::chrono::milliseconds firstRequestTimeout{250};

} // namespace

class HttpServer::Impl : public std::enable_shared_from_this<HttpServer::Impl>
{
public:
    Impl(EventLoop &loop, HttpServerSettings settings, HttpHandler handler)
        : settings_(std::move(settings))
        , handler_(std::move(handler))
        , acceptor_(loop.io())
    { }

    Result<void> listen();
    void acceptLoop();
    std::size_t active() const;
    std::size_t connections() const { return connections_.size(); }
    void updateLimits(const HttpServerSettings &settings);
    void announceClose();
    std::size_t drain(std::chrono::milliseconds timeout);
    void interrupt(std::chrono::milliseconds timeout);
    void stop();
    Endpoint local() const { return local_; }

private:
    void admit(tcp::socket socket);
    void acceptPending();
    static void refuse(tcp::socket socket);
    void removed();
    void closeAcceptor();

    HttpServerSettings settings_;
    HttpHandler handler_;
    tcp::acceptor acceptor_;
    Endpoint local_;
    std::set<std::shared_ptr<HttpConnection>> connections_;
    std::map<std::string, std::size_t> perSource_;
    bool closing_ = false;
    bool accepting_ = false;
    boost::fibers::mutex mutex_;
    boost::fibers::condition_variable changed_;
};

Result<void> HttpServer::Impl::listen()
{
    error_code error;
    const auto address = boost::asio::ip::make_address(settings_.listen.address, error);
    const tcp::endpoint endpoint(address, settings_.listen.port);
    if (!error)
        acceptor_.open(endpoint.protocol(), error);
    if (!error)
        acceptor_.set_option(tcp::acceptor::reuse_address(true), error);
    if (!error)
        acceptor_.bind(endpoint, error);
    if (!error)
        acceptor_.listen(boost::asio::socket_base::max_listen_connections, error);
    if (error)
        return failure(ErrorKind::SettingsInvalid,
                       "cannot listen on " + toString(settings_.listen) + ": " + error.message());
    const auto bound = acceptor_.local_endpoint();
    local_ = {bound.address().to_string(), bound.port()};
    accepting_ = true;
    EventLoop::spawn([self = shared_from_this()] { self->acceptLoop(); });
    return success();
}

void HttpServer::Impl::acceptLoop()
{
    while (acceptor_.is_open()) {
        error_code error;
        tcp::socket socket(acceptor_.get_executor());
        acceptor_.async_accept(socket, FiberToken{error});
        if (!error)
            admit(std::move(socket));
        else if (acceptor_.is_open())
            EventLoop::sleepFor(acceptRetryDelay);
    }
    accepting_ = false;
    removed();
}

void HttpServer::Impl::admit(tcp::socket socket)
{
    error_code error;
    const auto source = socket.remote_endpoint(error).address().to_string();
    if (error)
        return;
    auto &count = perSource_[source];
    if (connections_.size() >= settings_.maxConnections
        || count >= settings_.maxConnectionsPerSource) {
        if (count == 0)
            perSource_.erase(source);
        return refuse(std::move(socket));
    }
    auto connection = std::make_shared<HttpConnection>(std::move(socket), settings_, handler_);
    if (!connection->reserve()) {
        if (count == 0)
            perSource_.erase(source);
        return;
    }
    ++count;
    if (closing_)
        connection->announceClose();
    connections_.insert(connection);
    EventLoop::spawn([self = shared_from_this(), connection, source] {
        try {
            connection->run();
        } catch (const std::exception &problem) {
            logEvent(LogLevel::Error, "connection-failed",
                     {{"source", source}, {"reason", problem.what()}});
            connection->close();
        }
        if (--self->perSource_[source] == 0)
            self->perSource_.erase(source);
        self->connections_.erase(connection);
        self->removed();
    });
}

void HttpServer::Impl::refuse(tcp::socket socket)
{
    const auto response =
        errorResponse({ErrorKind::Overloaded, "too many connections", connectionLimitRetryAfter});
    const auto text = responseHead(response.status, response.headers, BodyFraming::Length,
                                   response.body.size(), false)
        + response.body;
    error_code ignored;
    socket.non_blocking(true, ignored);
    socket.write_some(boost::asio::buffer(text), ignored);
    socket.shutdown(tcp::socket::shutdown_send, ignored);
}

void HttpServer::Impl::removed()
{
    const std::lock_guard lock(mutex_);
    changed_.notify_all();
}

std::size_t HttpServer::Impl::active() const
{
    return static_cast<std::size_t>(std::ranges::count_if(
        connections_, [](const auto &connection) { return connection->handling(); }));
}

void HttpServer::Impl::updateLimits(const HttpServerSettings &settings)
{
    const auto listen = settings_.listen;
    const auto budget = settings_.bodyBudget;
    const auto memory = settings_.memory;
    settings_ = settings;
    settings_.listen = listen;
    settings_.bodyBudget = budget;
    settings_.memory = memory;
}

void HttpServer::Impl::announceClose()
{
    closing_ = true;
    for (const auto &connection : connections_)
        connection->announceClose();
}

void HttpServer::Impl::acceptPending()
{
    // Closing the listening socket would reset connections that wait in its accept queue.
    error_code error;
    acceptor_.non_blocking(true, error);
    while (!error) {
        tcp::socket socket(acceptor_.get_executor());
        acceptor_.accept(socket, error);
        if (!error)
            admit(std::move(socket));
    }
}

void HttpServer::Impl::closeAcceptor()
{
    error_code ignored;
    acceptor_.close(ignored);
}

std::size_t HttpServer::Impl::drain(std::chrono::milliseconds timeout)
{
    announceClose();
    if (acceptor_.is_open())
        acceptPending();
    closeAcceptor();
    const auto deadline = Clock::now() + timeout;
    const auto ended = [this] { return connections_.empty() && !accepting_; };
    for (const auto &connection : std::set(connections_)) {
        if (!connection->awaitsFirstRequest())
            connection->closeWhenIdle();
    }
    std::unique_lock lock(mutex_);
    changed_.wait_until(lock, std::min(deadline, Clock::now() + firstRequestTimeout), ended);
    for (const auto &connection : std::set(connections_))
        connection->closeWhenIdle();
    changed_.wait_until(lock, deadline, ended);
    return active();
}

void HttpServer::Impl::interrupt(std::chrono::milliseconds timeout)
{
    closing_ = true;
    closeAcceptor();
    for (const auto &connection : std::set(connections_))
        connection->interrupt();
    std::unique_lock lock(mutex_);
    changed_.wait_for(lock, timeout, [this] { return connections_.empty() && !accepting_; });
}

void HttpServer::Impl::stop()
{
    closing_ = true;
    closeAcceptor();
    for (const auto &connection : std::set(connections_))
        connection->close();
    std::unique_lock lock(mutex_);
    changed_.wait(lock, [this] { return connections_.empty() && !accepting_; });
}

HttpServer::HttpServer(std::shared_ptr<Impl> impl)
    : impl_(std::move(impl))
{ }

HttpServer::~HttpServer()
{
    stop();
}

Result<std::unique_ptr<HttpServer>> HttpServer::create(EventLoop &loop, HttpServerSettings settings,
                                                       HttpHandler handler)
{
    auto impl = std::make_shared<Impl>(loop, std::move(settings), std::move(handler));
    BOOST_OUTCOME_TRYV2(auto &&, impl->listen());
    return std::unique_ptr<HttpServer>(new HttpServer(std::move(impl)));
}

Endpoint HttpServer::localEndpoint() const
{
    return impl_->local();
}

std::size_t HttpServer::activeRequests() const
{
    return impl_->active();
}

std::size_t HttpServer::connections() const
{
    return impl_->connections();
}

void HttpServer::updateLimits(const HttpServerSettings &settings)
{
    impl_->updateLimits(settings);
}

void HttpServer::announceClose()
{
    impl_->announceClose();
}

std::size_t HttpServer::drain(std::chrono::milliseconds timeout)
{
    return impl_->drain(timeout);
}

void HttpServer::interrupt(std::chrono::milliseconds timeout)
{
    impl_->interrupt(timeout);
}

void HttpServer::stop()
{
    impl_->stop();
}

} // namespace jy
