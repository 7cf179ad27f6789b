#pragma once

#include "jy_http/server/HttpServer.h"

#include <boost/asio/ip/tcp.hpp>
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

    bool handling() const { return handling_; }

    /** Whether no byte has arrived yet, so that the first request may still be in transit. */
    bool awaitsFirstRequest() const { return awaitsFirstRequest_; }

private:
    class Responder;

    using Parser = boost::beast::http::request_parser<boost::beast::http::string_body>;

    /** Limit of bytes read ahead; the only limit of chunk sizes, chunk extensions and trailers. */
    static constexpr std::size_t maxBufferBytes = 256 * 1024;

    bool waitForRequest();
    std::optional<HttpRequest> readRequest();
    boost::system::error_code readHead(Parser &parser);

    /** Reads the body. @returns no_buffer_space when the body budget of the process is used up */
    boost::system::error_code readBody(Parser &parser);
    void handle(const HttpRequest &request);
    void watchCaller(const std::shared_ptr<Cancellation> &cancellation);
    bool callerClosed();
    void reject(const Error &error);
    void closeGently();

    boost::asio::ip::tcp::socket socket_;
    const HttpServerSettings &settings_;
    const HttpHandler &handler_;
    boost::beast::flat_buffer buffer_{maxBufferBytes};

    /** Share of the body budget that the current request uses. */
    ByteLease bodyRoom_;
    Endpoint source_;
    bool idle_ = false;
    bool awaitsFirstRequest_ = true;
    bool handling_ = false;
    bool closing_ = false;
    bool interrupted_ = false;

    /** Set while a handler runs. */
    std::shared_ptr<Cancellation> exchange_;
    bool keepAlive_ = true;
};

} // namespace jy
