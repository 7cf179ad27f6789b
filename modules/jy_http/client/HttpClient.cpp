#include "jy_http/client/HttpClient.h"

#include "jy_http/client/ClientExchange.h"
#include "jy_http/client/ConnectionPool.h"
#include "jy_http/wire/HeadWriter.h"

#include <algorithm>

namespace jy {

using Clock = std::chrono::steady_clock;

class HttpClient::Impl
{
public:
    Impl(EventLoop &loop, HttpClientSettings settings)
        : loop_(loop)
        , settings_(settings)
        , pool_(std::make_shared<ConnectionPool>(settings))
    { }

    Result<std::unique_ptr<HttpStream::Impl>> open(const Endpoint &endpoint,
                                                   const HttpRequest &request, TimePoint deadline,
                                                   const HttpCallOptions &options)
    {
        const auto address = toString(endpoint);
        const auto host =
            options.keepHost ? request.headers.value("Host", address) : std::string_view(address);
        const auto body = options.body.value_or(request.body);
        BOOST_OUTCOME_TRY(auto head, requestHead(request, host, body.size()));
        const auto now = Clock::now();
        auto connection = options.freshConnection ? nullptr : pool_->take(endpoint, now);
        if (!connection)
            connection = std::make_unique<ClientConnection>(loop_.io());
        auto exchange =
            std::make_unique<HttpStream::Impl>(pool_, endpoint, std::move(connection), options);
        BOOST_OUTCOME_TRYV2(auto &&,
                            exchange->connect(std::min(deadline, now + settings_.connectTimeout)));
        if (options.beforeSend) {
            BOOST_OUTCOME_TRYV2(auto &&, options.beforeSend());
        }
        BOOST_OUTCOME_TRYV2(auto &&, exchange->send(head, body, deadline));
        BOOST_OUTCOME_TRYV2(
            auto &&,
            exchange->receiveHead(request.method == "HEAD", settings_.maxHeadBytes, deadline));
        return exchange;
    }

    Result<HttpResponse> request(const Endpoint &endpoint, const HttpRequest &request,
                                 TimePoint deadline, const HttpCallOptions &options)
    {
        BOOST_OUTCOME_TRY(auto exchange, open(endpoint, request, deadline, options));
        HttpResponse response{exchange->status(), exchange->headers(), {}};
        while (true) {
            BOOST_OUTCOME_TRY(auto part, exchange->readSome(deadline));
            if (part.empty())
                return response;
            response.body += part;
            if (response.body.size() > settings_.maxBodyBytes)
                return failure(ErrorKind::BackendBroken,
                               "the response of " + toString(endpoint) + " exceeds "
                                   + std::to_string(settings_.maxBodyBytes) + " bytes");
        }
    }

    ConnectionPool &pool() { return *pool_; }

private:
    EventLoop &loop_;
    HttpClientSettings settings_;
    std::shared_ptr<ConnectionPool> pool_;
};

HttpClient::HttpClient(std::shared_ptr<Impl> impl)
    : impl_(std::move(impl))
{ }

HttpClient::~HttpClient() = default;

std::unique_ptr<HttpClient> HttpClient::create(EventLoop &loop, HttpClientSettings settings)
{
    return std::unique_ptr<HttpClient>(new HttpClient(std::make_shared<Impl>(loop, settings)));
}

Result<HttpResponse> HttpClient::request(const Endpoint &endpoint, const HttpRequest &request,
                                         std::chrono::milliseconds timeout,
                                         const HttpCallOptions &options)
{
    return impl_->request(endpoint, request, Clock::now() + timeout, options);
}

Result<std::unique_ptr<HttpStream>> HttpClient::open(const Endpoint &endpoint,
                                                     const HttpRequest &request,
                                                     std::chrono::milliseconds timeout,
                                                     const HttpCallOptions &options)
{
    BOOST_OUTCOME_TRY(auto exchange,
                      impl_->open(endpoint, request, Clock::now() + timeout, options));
    return std::make_unique<HttpStream>(std::move(exchange));
}

void HttpClient::forget(const Endpoint &endpoint)
{
    impl_->pool().forget(endpoint);
}

void HttpClient::setIdleLimit(std::function<std::size_t(const Endpoint &)> limit)
{
    impl_->pool().setIdleLimit(std::move(limit));
}

std::size_t HttpClient::idleConnections() const
{
    return impl_->pool().size();
}

} // namespace jy
