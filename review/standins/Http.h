#pragma once

// Minimal blocking HTTP/1.1 over loopback sockets, for the stand-ins of the review. One thread
// serves one connection.

#include <arpa/inet.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <sys/socket.h>
#include <unistd.h>

#include <algorithm>
#include <atomic>
#include <chrono>
#include <cstdint>
#include <cstring>
#include <functional>
#include <memory>
#include <mutex>
#include <optional>
#include <set>
#include <stdexcept>
#include <string>
#include <string_view>
#include <strings.h>
#include <thread>
#include <utility>
#include <vector>

namespace review {

using Clock = std::chrono::steady_clock;
using std::chrono::milliseconds;

struct Message
{
    std::string startLine;
    std::vector<std::pair<std::string, std::string>> headers;
    std::string body;

    /** Whether the body arrived whole. */
    bool complete = false;

    const std::string *find(std::string_view name) const
    {
        for (const auto &[field, value] : headers) {
            if (field.size() == name.size()
                && ::strncasecmp(field.data(), name.data(), name.size()) == 0)
                return &value;
        }
        return nullptr;
    }
    std::string value(std::string_view name) const
    {
        const auto *found = find(name);
        return found ? *found : std::string();
    }
    int status() const { return startLine.size() >= 12 ? std::atoi(startLine.c_str() + 9) : 0; }
    std::string method() const { return startLine.substr(0, startLine.find(' ')); }
    std::string target() const
    {
        const auto begin = startLine.find(' ') + 1;
        return startLine.substr(begin, startLine.find(' ', begin) - begin);
    }
};

/** A connected socket with the bytes that were read ahead. */
class Connection
{
public:
    explicit Connection(int fd)
        : fd_(fd)
    {
        const int on = 1;
        ::setsockopt(fd_, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
    }
    Connection(const Connection &) = delete;
    Connection &operator=(const Connection &) = delete;
    ~Connection() { close(); }

    static std::unique_ptr<Connection> open(std::uint16_t port)
    {
        const int fd = ::socket(AF_INET, SOCK_STREAM, 0);
        sockaddr_in address{};
        address.sin_family = AF_INET;
        address.sin_port = htons(port);
        address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
        if (::connect(fd, reinterpret_cast<sockaddr *>(&address), sizeof address) != 0) {
            ::close(fd);
            return nullptr;
        }
        return std::make_unique<Connection>(fd);
    }

    void close()
    {
        const int fd = fd_.exchange(-1);
        if (fd >= 0)
            ::close(fd);
    }

    /** Closes with a reset, as the system of a process that was killed may do. */
    void reset()
    {
        const linger now{1, 0};
        ::setsockopt(fd_, SOL_SOCKET, SO_LINGER, &now, sizeof now);
        close();
    }

    bool write(std::string_view bytes)
    {
        while (!bytes.empty()) {
            const auto sent = ::send(fd_, bytes.data(), bytes.size(), MSG_NOSIGNAL);
            if (sent <= 0)
                return false;
            bytes.remove_prefix(static_cast<std::size_t>(sent));
        }
        return true;
    }

    /** Whether the peer has closed its side. */
    bool peerClosed() const
    {
        pollfd state{fd_, POLLRDHUP, 0};
        return ::poll(&state, 1, 0) > 0 && (state.revents & (POLLRDHUP | POLLHUP | POLLERR));
    }

    /** @returns false at the end of the connection and after @p until */
    bool readSome(Clock::time_point until)
    {
        const auto left = std::chrono::duration_cast<milliseconds>(until - Clock::now()).count();
        pollfd state{fd_, POLLIN, 0};
        if (left <= 0 || ::poll(&state, 1, static_cast<int>(left)) <= 0)
            return false;
        char part[16384];
        const auto got = ::recv(fd_, part, sizeof part, 0);
        if (got <= 0) {
            ended_ = true;
            return false;
        }
        buffer_.append(part, static_cast<std::size_t>(got));
        return true;
    }

    /** Reads and drops bytes until the peer ends the connection. @returns their number */
    std::size_t discard(Clock::time_point until)
    {
        std::size_t total = 0;
        do {
            total += buffer_.size();
            buffer_.clear();
        } while (readSome(until));
        return total;
    }

    /** Whether the peer ended the connection, as opposed to a timeout. */
    bool ended() const { return ended_; }
    const std::string &buffered() const { return buffer_; }

    /** Reads a request or a response. @returns nothing if no whole head arrives in time */
    std::optional<Message> read(Clock::time_point until, bool response)
    {
        std::size_t end = 0;
        while ((end = buffer_.find("\r\n\r\n")) == std::string::npos) {
            if (!readSome(until))
                return std::nullopt;
        }
        Message message;
        std::size_t start = 0;
        while (start < end) {
            const auto stop = std::min(buffer_.find("\r\n", start), end);
            const auto line = buffer_.substr(start, stop - start);
            if (start == 0)
                message.startLine = line;
            else if (const auto colon = line.find(':'); colon != std::string::npos) {
                auto value = line.substr(colon + 1);
                value.erase(0, value.find_first_not_of(' '));
                message.headers.emplace_back(line.substr(0, colon), value);
            }
            start = stop + 2;
        }
        buffer_.erase(0, end + 4);
        if (::strcasecmp(message.value("Transfer-Encoding").c_str(), "chunked") == 0)
            message.complete = readChunks(message.body, until);
        else if (message.find("Content-Length"))
            message.complete =
                readLength(message.body, std::stoul(message.value("Content-Length")), until);
        else if (response && message.status() != 204 && message.status() != 304) {
            while (readSome(until)) { }
            message.body = std::exchange(buffer_, {});
            message.complete = ended_;
        } else
            message.complete = true;
        return message;
    }

    /** Bytes that a faulty server sends on this connection ahead of its next answer. */
    std::string stray;

private:
    bool readLength(std::string &body, std::size_t size, Clock::time_point until)
    {
        while (buffer_.size() < size) {
            if (!readSome(until)) {
                body = std::exchange(buffer_, {});
                return false;
            }
        }
        body = buffer_.substr(0, size);
        buffer_.erase(0, size);
        return true;
    }

    bool readChunks(std::string &body, Clock::time_point until)
    {
        while (true) {
            std::size_t end = 0;
            while ((end = buffer_.find("\r\n")) == std::string::npos) {
                if (!readSome(until))
                    return false;
            }
            const auto size = std::stoul(buffer_, nullptr, 16);
            buffer_.erase(0, end + 2);
            std::string part;
            const bool whole = readLength(part, size + 2, until);
            body += part.substr(0, std::min<std::size_t>(part.size(), size));
            if (!whole)
                return false;
            if (size == 0)
                return true;
        }
    }

    std::atomic<int> fd_;
    std::string buffer_;
    bool ended_ = false;
};

/** Accepts connections on a loopback port; a detached thread serves each one. */
class Listener
{
public:
    using Serve = std::function<void(Connection &)>;

    /** @param port 0 takes any free port */
    explicit Listener(Serve serve, std::uint16_t port = 0)
        : serve_(std::move(serve))
    {
        fd_ = ::socket(AF_INET, SOCK_STREAM, 0);
        const int on = 1;
        ::setsockopt(fd_, SOL_SOCKET, SO_REUSEADDR, &on, sizeof on);
        sockaddr_in address{};
        address.sin_family = AF_INET;
        address.sin_port = htons(port);
        address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
        socklen_t size = sizeof address;
        if (::bind(fd_, reinterpret_cast<sockaddr *>(&address), size) != 0
            || ::listen(fd_, 512) != 0
            || ::getsockname(fd_, reinterpret_cast<sockaddr *>(&address), &size) != 0)
            throw std::runtime_error("cannot listen");
        port_ = ntohs(address.sin_port);
        std::thread([this] {
            while (true) {
                const int fd = ::accept(fd_, nullptr, nullptr);
                if (fd < 0)
                    return;
                std::thread([this, fd] {
                    Connection connection(fd);
                    serve_(connection);
                }).detach();
            }
        }).detach();
    }

    std::uint16_t port() const { return port_; }
    std::string address() const { return "127.0.0.1:" + std::to_string(port_); }

private:
    Serve serve_;
    int fd_ = -1;
    std::uint16_t port_ = 0;
};

inline std::string response(int status, const std::string &headers, const std::string &body)
{
    return "HTTP/1.1 " + std::to_string(status) + " X\r\n" + headers
        + "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
}

} // namespace review
