#pragma once

#include "jy_http/jy_http.h"
#include "jy_runtime/jy_runtime.h"

#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/read.hpp>
#include <boost/asio/write.hpp>
#include <gtest/gtest.h>

#include <deque>
#include <string>
#include <string_view>
#include <sys/socket.h>
#include <thread>

namespace jy::test {

using boost::asio::ip::tcp;

inline HttpClientSettings clientSettings()
{
    return {.connectTimeout = std::chrono::milliseconds(300)};
}

/** A plain TCP connection for sending malformed or partial messages. */
class RawConnection
{
public:
    RawConnection(EventLoop &loop, const Endpoint &endpoint)
        : socket_(loop.io())
    {
        boost::system::error_code error;
        socket_.async_connect({boost::asio::ip::make_address(endpoint.address), endpoint.port},
                              FiberToken{error});
        EXPECT_FALSE(error);
    }

    void write(std::string_view text)
    {
        boost::system::error_code error;
        boost::asio::async_write(socket_, boost::asio::buffer(text), FiberToken{error});
    }

    std::string readSome()
    {
        std::string text(65536, '\0');
        boost::system::error_code error;
        text.resize(socket_.async_read_some(boost::asio::buffer(text), FiberToken{error}));
        return text;
    }

    /** Reads until the peer closes. */
    std::string readAll()
    {
        std::string all;
        for (auto part = readSome(); !part.empty(); part = readSome())
            all += part;
        return all;
    }

    void close() { socket_.close(); }
    tcp::socket &socket() { return socket_; }

private:
    tcp::socket socket_;
};

/** A TCP server that runs @p script on each accepted connection. */
class RawServer
{
public:
    RawServer(EventLoop &loop, std::function<void(tcp::socket &, int)> script)
        : acceptor_(std::make_shared<tcp::acceptor>(
            loop.io(), tcp::endpoint(boost::asio::ip::make_address("127.0.0.1"), 0)))
    {
        endpoint_ = {"127.0.0.1", acceptor_->local_endpoint().port()};
        EventLoop::spawn([acceptor = acceptor_, script = std::move(script), &loop] {
            for (int i = 0;; ++i) {
                auto socket = std::make_shared<tcp::socket>(loop.io());
                boost::system::error_code error;
                acceptor->async_accept(*socket, FiberToken{error});
                if (error)
                    return;
                EventLoop::spawn([socket, script, i] { script(*socket, i); });
            }
        });
    }

    ~RawServer()
    {
        acceptor_->close();
        EventLoop::sleepFor(std::chrono::milliseconds(1));
    }

    const Endpoint &endpoint() const { return endpoint_; }

    /** Reads a request without a body. */
    static std::string readHead(tcp::socket &socket)
    {
        std::string head;
        std::array<char, 4096> buffer{};
        boost::system::error_code error;
        while (!error && head.find("\r\n\r\n") == std::string::npos)
            head.append(buffer.data(),
                        socket.async_read_some(boost::asio::buffer(buffer), FiberToken{error}));
        return head;
    }

    static void write(tcp::socket &socket, std::string_view text)
    {
        boost::system::error_code error;
        boost::asio::async_write(socket, boost::asio::buffer(text), FiberToken{error});
    }

private:
    std::shared_ptr<tcp::acceptor> acceptor_;
    Endpoint endpoint_;
};

/**
 * A server that answers each connection with the same bytes without end or pause. It runs in
 * threads of its own, so that its bytes are always ready.
 */
class EndlessServer
{
public:
    /** @param rest written again and again after @p begin until the client closes */
    EndlessServer(std::string begin, const std::string &rest)
        : begin_(std::move(begin))
        , acceptor_(io_, tcp::endpoint(boost::asio::ip::make_address("127.0.0.1"), 0))
    {
        // One write of many pieces, as small writes would leave the client waiting.
        constexpr std::size_t writeBytes = 64 * 1024;
        while (block_.size() < writeBytes)
            block_ += rest;
        threads_.emplace_back([this] { acceptAll(); });
    }

    ~EndlessServer()
    {
        ::shutdown(acceptor_.native_handle(), SHUT_RD);
        threads_.front().join();
        for (std::size_t i = 1; i < threads_.size(); ++i)
            threads_[i].join();
    }

    Endpoint endpoint() const { return {"127.0.0.1", acceptor_.local_endpoint().port()}; }

private:
    void acceptAll()
    {
        boost::system::error_code error;
        while (!error) {
            auto socket = std::make_shared<tcp::socket>(io_);
            acceptor_.accept(*socket, error);
            if (!error)
                threads_.emplace_back([this, socket] { serve(*socket); });
        }
    }

    void serve(tcp::socket &socket) const
    {
        boost::system::error_code error;
        std::array<char, 4096> request{};
        socket.read_some(boost::asio::buffer(request), error);
        boost::asio::write(socket, boost::asio::buffer(begin_), error);
        while (!error)
            boost::asio::write(socket, boost::asio::buffer(block_), error);
    }

    std::string begin_;
    std::string block_;
    boost::asio::io_context io_;
    tcp::acceptor acceptor_;

    /** The first one accepts; written by that one only until it has ended. */
    std::deque<std::thread> threads_;
};

/** Waits until @p condition holds, at most 2 s. */
inline bool eventually(const std::function<bool()> &condition)
{
    for (int i = 0; i < 2000 && !condition(); ++i)
        EventLoop::sleepFor(std::chrono::milliseconds(1));
    return condition();
}

} // namespace jy::test
