#include "Http.h"

#include <arpa/inet.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <sys/socket.h>
#include <unistd.h>

#include <algorithm>
#include <cstring>
#include <stdexcept>

namespace review {

namespace {

std::string lower(std::string text)
{
    std::transform(text.begin(), text.end(), text.begin(),
                   [](unsigned char c) { return std::tolower(c); });
    return text;
}

sockaddr_in toAddress(const std::string &text)
{
    const auto colon = text.rfind(':');
    sockaddr_in address{};
    address.sin_family = AF_INET;
    address.sin_port = htons(static_cast<std::uint16_t>(std::stoi(text.substr(colon + 1))));
    inet_pton(AF_INET, text.substr(0, colon).c_str(), &address.sin_addr);
    return address;
}

std::string decode(const std::string &text)
{
    std::string out;
    for (std::size_t i = 0; i < text.size(); ++i) {
        if (text[i] == '%' && i + 2 < text.size()) {
            out += static_cast<char>(std::stoi(text.substr(i + 1, 2), nullptr, 16));
            i += 2;
        } else {
            out += text[i];
        }
    }
    return out;
}

} // namespace

std::string headerOf(const Headers &headers, const std::string &name)
{
    for (const auto &[key, value] : headers) {
        if (lower(key) == lower(name))
            return value;
    }
    return {};
}

std::string Request::query(const std::string &name) const
{
    auto rest = target.find('?') == std::string::npos ? "" : target.substr(target.find('?') + 1);
    while (!rest.empty()) {
        const auto end = std::min(rest.find('&'), rest.size());
        const auto pair = rest.substr(0, end);
        rest.erase(0, std::min(end + 1, rest.size()));
        const auto equals = std::min(pair.find('='), pair.size());
        if (pair.substr(0, equals) == name)
            return decode(pair.substr(std::min(equals + 1, pair.size())));
    }
    return {};
}

bool Reader::fill()
{
    char part[16 * 1024];
    const auto size = ::recv(socket_, part, sizeof part, 0);
    if (size <= 0)
        return false;
    buffer_.append(part, static_cast<std::size_t>(size));
    return true;
}

std::optional<std::string> Reader::line()
{
    while (true) {
        const auto end = buffer_.find("\r\n");
        if (end != std::string::npos) {
            const auto text = buffer_.substr(0, end);
            buffer_.erase(0, end + 2);
            return text;
        }
        if (!fill())
            return std::nullopt;
    }
}

bool Reader::headers(Headers &out)
{
    while (const auto text = line()) {
        if (text->empty())
            return true;
        const auto colon = text->find(':');
        if (colon == std::string::npos)
            return false;
        auto value = text->substr(colon + 1);
        value.erase(0, std::min(value.find_first_not_of(" \t"), value.size()));
        out.emplace_back(text->substr(0, colon), value);
    }
    return false;
}

bool Reader::body(const Headers &headers, bool untilEnd, std::string &out)
{
    const auto take = [&](std::size_t size) {
        while (buffer_.size() < size) {
            if (!fill())
                return false;
        }
        out += buffer_.substr(0, size);
        buffer_.erase(0, size);
        return true;
    };
    if (lower(headerOf(headers, "Transfer-Encoding")) == "chunked") {
        while (const auto size = line()) {
            const auto bytes = std::stoul(*size, nullptr, 16);
            if (bytes == 0) {
                Headers trailers;
                return this->headers(trailers);
            }
            if (!take(bytes) || !line())
                return false;
        }
        return false;
    }
    const auto length = headerOf(headers, "Content-Length");
    if (!length.empty())
        return take(std::stoul(length));
    while (untilEnd && fill()) { }
    if (untilEnd) {
        out += buffer_;
        buffer_.clear();
    }
    return true;
}

std::optional<Request> Reader::request()
{
    Request request;
    const auto first = line();
    if (!first)
        return std::nullopt;
    const auto space = first->find(' ');
    const auto end = first->rfind(' ');
    if (space == std::string::npos || end <= space)
        return std::nullopt;
    request.method = first->substr(0, space);
    request.target = first->substr(space + 1, end - space - 1);
    if (!headers(request.headers) || !body(request.headers, false, request.body))
        return std::nullopt;
    return request;
}

std::optional<Response> Reader::response()
{
    while (true) {
        Response response;
        const auto first = line();
        if (!first || first->size() < 12)
            return std::nullopt;
        response.status = std::stoi(first->substr(9, 3));
        if (!headers(response.headers))
            return std::nullopt;
        if (response.status / 100 == 1)
            continue;
        const bool bodyless = response.status == 204 || response.status == 304;
        if (!bodyless && !body(response.headers, true, response.body))
            return std::nullopt;
        response.close = lower(response.header("Connection")) == "close";
        return response;
    }
}

bool writeAll(int socket, const std::string &bytes)
{
    std::size_t done = 0;
    while (done < bytes.size()) {
        const auto size = ::send(socket, bytes.data() + done, bytes.size() - done, MSG_NOSIGNAL);
        if (size <= 0)
            return false;
        done += static_cast<std::size_t>(size);
    }
    return true;
}

std::string encode(const Request &request)
{
    auto text = request.method + ' ' + request.target + " HTTP/1.1\r\n";
    for (const auto &[name, value] : request.headers)
        text += name + ": " + value + "\r\n";
    if (!request.body.empty() || request.method == "POST")
        text += "Content-Length: " + std::to_string(request.body.size()) + "\r\n";
    return text + "\r\n" + request.body;
}

std::string encode(const Response &response)
{
    auto text = "HTTP/1.1 " + std::to_string(response.status) + " x\r\n";
    for (const auto &[name, value] : response.headers)
        text += name + ": " + value + "\r\n";
    text += "Content-Length: " + std::to_string(response.body.size()) + "\r\n";
    if (response.close)
        text += "Connection: close\r\n";
    return text + "\r\n" + response.body;
}

int connectTo(const std::string &address, milliseconds timeout)
{
    const int socket = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    const auto to = toAddress(address);
    const timeval limit{timeout.count() / 1000, (timeout.count() % 1000) * 1000};
    ::setsockopt(socket, SOL_SOCKET, SO_SNDTIMEO, &limit, sizeof limit);
    ::setsockopt(socket, SOL_SOCKET, SO_RCVTIMEO, &limit, sizeof limit);
    const int one = 1;
    ::setsockopt(socket, IPPROTO_TCP, TCP_NODELAY, &one, sizeof one);
    if (::connect(socket, reinterpret_cast<const sockaddr *>(&to), sizeof to) == 0)
        return socket;
    ::close(socket);
    return -1;
}

Server::Server(const std::string &ip, int port, Handler handler)
    : handler_(std::move(handler))
{
    listener_ = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    const int one = 1;
    ::setsockopt(listener_, SOL_SOCKET, SO_REUSEADDR, &one, sizeof one);
    auto address = toAddress(ip + ':' + std::to_string(port));
    if (::bind(listener_, reinterpret_cast<sockaddr *>(&address), sizeof address) != 0
        || ::listen(listener_, 512) != 0)
        throw std::runtime_error("cannot listen on " + ip);
    socklen_t size = sizeof address;
    ::getsockname(listener_, reinterpret_cast<sockaddr *>(&address), &size);
    address_ = ip + ':' + std::to_string(ntohs(address.sin_port));
    acceptor_ = std::thread([this] { accept(); });
}

void Server::accept()
{
    while (!stopped_) {
        const int socket = ::accept4(listener_, nullptr, nullptr, SOCK_CLOEXEC);
        if (socket < 0) {
            if (stopped_)
                return;
            std::this_thread::sleep_for(milliseconds(10));
            continue;
        }
        const int one = 1;
        ::setsockopt(socket, IPPROTO_TCP, TCP_NODELAY, &one, sizeof one);
        {
            const std::lock_guard lock(mutex_);
            if (stopped_) {
                ::close(socket);
                return;
            }
            open_[socket] = true;
        }
        ++threads_;
        std::thread([this, socket] {
            serve(socket);
            {
                const std::lock_guard lock(mutex_);
                open_.erase(socket);
                ::close(socket);
            }
            --threads_;
        }).detach();
    }
}

void Server::serve(int socket)
{
    Reader reader(socket);
    while (!stopped_) {
        const auto request = reader.request();
        if (!request || stopped_)
            return;
        const auto response = handler_(*request, socket);
        if (response.drop || stopped_)
            return;
        if (!writeAll(socket, encode(response)))
            return;
        if (response.close)
            return;
    }
}

void Server::stop()
{
    if (stopped_.exchange(true))
        return;
    ::shutdown(listener_, SHUT_RDWR);
    ::close(listener_);
    {
        const std::lock_guard lock(mutex_);
        for (const auto &[socket, used] : open_)
            ::shutdown(socket, SHUT_RDWR);
    }
    acceptor_.join();
    while (threads_ > 0)
        std::this_thread::sleep_for(milliseconds(1));
}

std::optional<Response> Connection::send(const Request &request, milliseconds timeout)
{
    if (socket_ < 0) {
        socket_ = connectTo(address_, timeout);
        if (socket_ < 0)
            return std::nullopt;
        reader_ = std::make_unique<Reader>(socket_);
    }
    std::optional<Response> response;
    if (writeAll(socket_, encode(request)))
        response = reader_->response();
    if (!response || response->close)
        close();
    return response;
}

void Connection::close()
{
    if (socket_ >= 0)
        ::close(socket_);
    socket_ = -1;
}

int freePort(int hosts)
{
    // Below the ephemeral ports, so that no outgoing connection takes it before the program does.
    static int next = 12000 + ::getpid() * 37 % 15000;
    for (;; ++next) {
        bool free = true;
        for (int host = 1; host <= hosts && free; ++host) {
            const auto address =
                toAddress("127.0.1." + std::to_string(host) + ':' + std::to_string(next));
            for (const int type : {SOCK_STREAM, SOCK_DGRAM}) {
                const int socket = ::socket(AF_INET, type | SOCK_CLOEXEC, 0);
                free = free
                    && ::bind(socket, reinterpret_cast<const sockaddr *>(&address), sizeof address)
                        == 0;
                ::close(socket);
            }
        }
        if (free)
            return next++;
    }
}

} // namespace review
