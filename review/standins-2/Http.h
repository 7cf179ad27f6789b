// Minimal blocking HTTP/1.1 for the stand-ins of the review: one thread per connection.
#pragma once

#include <atomic>
#include <chrono>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <optional>
#include <string>
#include <thread>
#include <utility>
#include <vector>

namespace review {

using Clock = std::chrono::steady_clock;
using std::chrono::milliseconds;

using Headers = std::vector<std::pair<std::string, std::string>>;

std::string headerOf(const Headers &headers, const std::string &name);

struct Request
{
    std::string method;
    std::string target;
    Headers headers;
    std::string body;

    std::string path() const { return target.substr(0, target.find('?')); }
    std::string query(const std::string &name) const;
    std::string header(const std::string &name) const { return headerOf(headers, name); }
};

struct Response
{
    int status = 200;
    Headers headers;
    std::string body;

    /** Ends the connection without a response. */
    bool drop = false;
    bool close = false;

    std::string header(const std::string &name) const { return headerOf(headers, name); }
};

/** Reads messages from a socket, which it does not own. */
class Reader
{
public:
    explicit Reader(int socket)
        : socket_(socket)
    { }

    std::optional<Request> request();
    std::optional<Response> response();

private:
    bool fill();
    std::optional<std::string> line();
    bool headers(Headers &out);
    bool body(const Headers &headers, bool untilEnd, std::string &out);

    int socket_;
    std::string buffer_;
};

bool writeAll(int socket, const std::string &bytes);
std::string encode(const Request &request);
std::string encode(const Response &response);

/** Connects to a loopback address. @returns -1 on failure */
int connectTo(const std::string &address, milliseconds timeout);

/** Listens on a loopback address; port 0 takes a free one. */
class Server
{
public:
    using Handler = std::function<Response(const Request &, int socket)>;

    Server(const std::string &ip, int port, Handler handler);
    ~Server() { stop(); }

    const std::string &address() const { return address_; }

    /** Closes the listening socket and all connections, as the end of a process does. */
    void stop();

private:
    void accept();
    void serve(int socket);

    Handler handler_;
    std::string address_;
    int listener_ = -1;
    std::atomic<bool> stopped_{false};
    std::mutex mutex_;
    std::map<int, bool> open_;
    std::atomic<int> threads_{0};
    std::thread acceptor_;
};

/** One connection of a client, kept between requests. */
class Connection
{
public:
    explicit Connection(std::string address)
        : address_(std::move(address))
    { }
    ~Connection() { close(); }
    Connection(const Connection &) = delete;
    Connection &operator=(const Connection &) = delete;

    /** @returns nothing if there was no complete response */
    std::optional<Response> send(const Request &request, milliseconds timeout);
    void close();

private:
    std::string address_;
    int socket_ = -1;
    std::unique_ptr<Reader> reader_;
};

/** A port that is free on the loopback addresses 127.0.1.1 to 127.0.1.@p hosts, for TCP and UDP. */
int freePort(int hosts);

} // namespace review
