#pragma once

#include "jy_base/net/Endpoint.h"
#include "jy_base/time/TimeTypes.h"
#include "jy_http/client/HttpClient.h"

#include <boost/asio/ip/tcp.hpp>
#include <boost/beast/core/flat_buffer.hpp>

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <utility>
#include <vector>

namespace jy {

/** A client connection with its read buffer. */
struct ClientConnection
{
    /**
     * Limit of bytes read ahead. It exceeds the limit of heads, so that it takes effect only for
     * input without a limit of its own: chunk sizes, chunk extensions and trailers.
     */
    static constexpr std::size_t maxBufferBytes = 128 * 1024;

    explicit ClientConnection(boost::asio::io_context &io)
        : socket(io)
    { }

    boost::asio::ip::tcp::socket socket;
    boost::beast::flat_buffer buffer{maxBufferBytes};
    TimePoint idleSince;

    /** Idle timeout from the server's Keep-Alive field, if it sent one. */
    std::optional<std::chrono::milliseconds> serverIdleTimeout;
};

/** Idle connections of an HttpClient, most recently used first. Internal to jy_http. */
class ConnectionPool
{
public:
    explicit ConnectionPool(const HttpClientSettings &settings)
        : settings_(settings)
    { }

    /** @returns a connection that the server has not closed, or null. */
    std::unique_ptr<ClientConnection> take(const Endpoint &endpoint, TimePoint now);

    /** Returns a connection to the pool once its exchange is complete. */
    void keep(const Endpoint &endpoint, std::unique_ptr<ClientConnection> connection,
              TimePoint now);

    void forget(const Endpoint &endpoint) { idle_.erase(endpoint); }

    /** Sets a limit of idle connections by endpoint below HttpClientSettings::maxIdlePerEndpoint.
     */
    void setIdleLimit(std::function<std::size_t(const Endpoint &)> limit)
    {
        idleLimit_ = std::move(limit);
    }

    std::size_t size() const;

private:
    using Connections = std::vector<std::unique_ptr<ClientConnection>>;

    void closeExpired(TimePoint now);

    std::size_t idleLimit(const Endpoint &endpoint) const;

    HttpClientSettings settings_;
    std::function<std::size_t(const Endpoint &)> idleLimit_;
    std::map<Endpoint, Connections> idle_;
    TimePoint nextSweep_;
};

} // namespace jy
