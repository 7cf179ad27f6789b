#pragma once

#include "jy_http/server/CallerMemory.h"
#include "jy_http/server/HttpServer.h"

#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http/parser.hpp>
#include <boost/beast/http/string_body.hpp>

#include <memory>
#include <optional>

namespace jy {

/** Serves the requests of one accepted socket. Internal to jy_http. */
class HttpConnection : public std::enable_shared_from_this<HttpConnection>
{
public:
    /** @param settings and @p handler must outlive the connection */
    HttpConnection(boost::asio::ip::tcp::socket socket, const HttpServerSettings &settings,
                   const HttpHandler &handler);

    /** Runs until the connection closes. */
    void run();

    /** Closes the connection after the current request, or at once if there is none. */
    void closeWhenIdle();

    /** Sends Connection: close with the next response. */
    void announceClose() { closing_ = true; }

    /**
     * Ends the current exchange: a running request without a response gets 504, a begun stream
     * breaks off, and a request that is still arriving gets 503.
     */
    void interrupt();

    /** Closes the connection at once. */
    void close();

    /**
     * Takes the memory of a connection that is idle. @returns false if the account of the server
     * has no room for it; the connection is then closed
     */
    bool reserve();

    bool handling() const { return handling_; }

    /** Whether no byte has arrived yet, so that the first request may still be in transit. */
    bool awaitsFirstRequest() const { return awaitsFirstRequest_; }

private:
    class Responder;

    using Parser = boost::beast::http::request_parser<boost::beast::http::string_body>;

    bool waitForRequest();
    std::optional<HttpRequest> readRequest();

    /** Buffers the head until it is complete, so that a part of it is not held as parsed fields. */
    boost::system::error_code readHead(Parser &parser);

    /** Reads the body. @returns no_buffer_space when the memory for it is used up */
    boost::system::error_code readBody(Parser &parser);

    /**
     * Reads at most @p most bytes into the buffer.
     *
     * @returns no_buffer_space when the account has no room, buffer_overflow when the buffer holds
     *          as much as a head may have
     */
    boost::system::error_code receive(std::size_t most);

    /** Rejects a request that could not be read, if a response is due. */
    void rejectUnread(boost::system::error_code error, bool late);

    /** Counts the bytes held. @returns false if the account has no room for them */
    bool hold(std::size_t bytes);

    /** Frees the part of the buffer that holds no bytes. */
    void trimBuffer();

    /** Closes the connection for lack of memory, with 503 if it can be written without waiting. */
    CallerMemory::Closed closeForMemory();
    void handle(const HttpRequest &request);
    void watchCaller(const std::shared_ptr<Cancellation> &cancellation);

    /** Checks at intervals whether the caller has closed, while @p cancellation lives. */
    void checkCallerLater(const std::weak_ptr<Cancellation> &cancellation);
    bool callerClosed();
    void reject(const Error &error);

    /** The bytes of a response that announces the end of the connection. */
    static std::string closingResponse(const Error &error);
    void closeGently();

    boost::asio::ip::tcp::socket socket_;
    const HttpServerSettings &settings_;
    const HttpHandler &handler_;
    boost::asio::steady_timer checkTimer_;
    boost::beast::flat_buffer buffer_;
    CallerMemory::Member member_;

    /** Share of the body budget that the current request uses. */
    ByteLease bodyRoom_;
    Endpoint source_;
    bool idle_ = false;

    /** Whether a response is being written, or none is to be written any more. */
    bool responding_ = false;
    bool awaitsFirstRequest_ = true;
    bool handling_ = false;
    bool closing_ = false;
    bool interrupted_ = false;

    /** Set while a handler runs. */
    std::shared_ptr<Cancellation> exchange_;
    bool keepAlive_ = true;
};

} // namespace jy
