#pragma once

#include "jy_http/client/ConnectionPool.h"
#include "jy_http/client/HttpStream.h"
#include "jy_http/messages/Cancellation.h"

#include <boost/beast/http/buffer_body.hpp>
#include <boost/beast/http/parser.hpp>

#include <optional>

namespace jy {

/** One request and its response on one connection. Internal to jy_http. */
class HttpStream::Impl
{
public:
    Impl(std::weak_ptr<ConnectionPool> pool, Endpoint endpoint,
         std::unique_ptr<ClientConnection> connection, const HttpCallOptions &options);

    /** Connects unless the connection is already open. */
    Result<void> connect(TimePoint deadline);

    /** Writes the request. */
    Result<void> send(const std::string &head, std::string_view body, TimePoint deadline);

    /** Reads the response head. @param head the request's method is HEAD */
    Result<void> receiveHead(bool head, std::size_t maxHeadBytes, TimePoint deadline);

    /** @see HttpStream::readSome */
    Result<std::string> readSome(TimePoint deadline);

    int status() const { return status_; }
    const HttpHeaders &headers() const { return headers_; }
    bool endsWithConnection() const { return parser_->need_eof(); }

private:
    using Parser = boost::beast::http::response_parser<boost::beast::http::buffer_body>;

    Error broken(const char *step, boost::system::error_code error, bool expired) const;
    boost::system::error_code readHead(bool head, std::size_t maxHeadBytes);
    boost::system::error_code skipBody();

    /** When the next read ends at the latest; in the past once no more may be read. */
    TimePoint readLimit(TimePoint deadline);
    void finish();

    std::weak_ptr<ConnectionPool> pool_;
    Endpoint endpoint_;
    std::unique_ptr<ClientConnection> connection_;
    std::shared_ptr<Cancellation> cancellation_;
    Cancellation::Registration registration_;
    std::optional<Parser> parser_;
    int status_ = 0;
    HttpHeaders headers_;
    std::function<bool(int status, const HttpHeaders &)> isOwnResponse_;
    bool resetOnClose_ = false;
    bool finished_ = false;

    /** End of the reads after the deadline; set by the first of them. */
    std::optional<TimePoint> lateReadEnd_;

    /** The whole request was written, so the connection can be reused. */
    bool requestSent_ = false;
};

} // namespace jy
