#include "jy_http/client/ConnectionPool.h"

#include <poll.h>

#include <algorithm>

namespace jy {

namespace {

// An idle connection that is readable was closed by the server or has received unexpected bytes.
bool isReusable(ClientConnection &connection)
{
    pollfd state{.fd = connection.socket.native_handle(), .events = POLLIN, .revents = 0};
    return connection.socket.is_open() && connection.buffer.size() == 0
        && ::poll(&state, 1, 0) == 0;
}

} // namespace

std::unique_ptr<ClientConnection> ConnectionPool::take(const Endpoint &endpoint, TimePoint now)
{
    closeExpired(now);
    const auto found = idle_.find(endpoint);
    if (found == idle_.end())
        return nullptr;
    auto &connections = found->second;
    while (!connections.empty()) {
        auto connection = std::move(connections.back());
        connections.pop_back();
        const auto timeout = std::min(connection->serverIdleTimeout.value_or(settings_.idleTimeout),
                                      settings_.idleTimeout);
        if (now - connection->idleSince < timeout && isReusable(*connection))
            return connection;
    }
    return nullptr;
}

void ConnectionPool::keep(const Endpoint &endpoint, std::unique_ptr<ClientConnection> connection,
                          TimePoint now)
{
    auto &connections = idle_[endpoint];
    if (connections.size() >= idleLimit(endpoint) || !isReusable(*connection))
        return;
    connection->idleSince = now;
    connections.push_back(std::move(connection));
}

std::size_t ConnectionPool::idleLimit(const Endpoint &endpoint) const
{
    const auto most = settings_.maxIdlePerEndpoint;
    return idleLimit_ ? std::min(most, idleLimit_(endpoint)) : most;
}

std::size_t ConnectionPool::size() const
{
    std::size_t total = 0;
    for (const auto &[endpoint, connections] : idle_)
        total += connections.size();
    return total;
}

void ConnectionPool::closeExpired(TimePoint now)
{
    if (now < nextSweep_)
        return;
    nextSweep_ = now + settings_.idleTimeout;
    for (auto &[endpoint, connections] : idle_) {
        std::erase_if(connections, [&](const auto &connection) {
            return now - connection->idleSince >= settings_.idleTimeout;
        });
    }
    std::erase_if(idle_, [](const auto &entry) { return entry.second.empty(); });
}

} // namespace jy
