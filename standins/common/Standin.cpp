#include "common/Standin.h"

#include <absl/flags/flag.h>
#include <absl/flags/parse.h>
#include <boost/asio/signal_set.hpp>
#include <boost/asio/steady_timer.hpp>

#include <algorithm>
#include <charconv>
#include <cstdio>
#include <cstdlib>
#include <stdexcept>

ABSL_FLAG(int, max_seconds, 900, "the process ends by itself after this time");

namespace jy::standins {

namespace {

constexpr std::size_t connectionsOfOneHost = 8000;
constexpr std::chrono::milliseconds longestWait{60000};

} // namespace

int runStandin(int argc, char **argv, const std::function<Servers(EventLoop &)> &start)
{
    absl::ParseCommandLine(argc, argv);
    EventLoop loop;
    int exitCode = 0;
    loop.run([&] {
        try {
            const Servers servers = start(loop);
            boost::asio::signal_set signals(loop.io(), SIGTERM, SIGINT);
            boost::asio::steady_timer timer(loop.io(),
                                            std::chrono::seconds(absl::GetFlag(FLAGS_max_seconds)));
            timer.async_wait([&signals](boost::system::error_code error) {
                if (!error)
                    signals.cancel();
            });
            std::puts("ready");
            std::fflush(stdout);
            boost::system::error_code ignored;
            signals.async_wait(FiberToken{ignored});
        } catch (const std::exception &error) {
            std::fprintf(stderr, "error=%s\n", error.what());
            exitCode = 1;
        }
        // Fibers may still wait on sockets; there is nothing to save.
        std::fflush(nullptr);
        std::_Exit(exitCode);
    });
    return exitCode;
}

std::unique_ptr<HttpServer> listenOn(EventLoop &loop, std::uint16_t port, HttpHandler handler)
{
    HttpServerSettings settings;
    settings.listen = {"127.0.0.1", port};
    settings.maxConnectionsPerSource = connectionsOfOneHost;
    auto guarded = [handler = std::move(handler)](const HttpRequest &request,
                                                  HttpResponder &responder) {
        try {
            handler(request, responder);
        } catch (const std::exception &error) {
            if (!responder.started())
                responder.send(400, {}, error.what());
        }
    };
    auto server = HttpServer::create(loop, settings, std::move(guarded));
    if (!server)
        throw std::runtime_error(server.error().message);
    return std::move(server).value();
}

Servers listenOnAll(EventLoop &loop, std::uint16_t firstPort, int count,
                    const std::function<void(int, const HttpRequest &, HttpResponder &)> &handler)
{
    Servers servers;
    for (int i = 0; i < count; ++i) {
        servers.push_back(listenOn(loop, static_cast<std::uint16_t>(firstPort + i),
                                   [handler, i](const auto &request, auto &responder) {
                                       handler(i, request, responder);
                                   }));
    }
    return servers;
}

bool sendJson(HttpResponder &responder, const boost::json::value &body, int status,
              HttpHeaders headers)
{
    headers.set("Content-Type", "application/json");
    return responder.send(status, headers, boost::json::serialize(body));
}

boost::json::object bodyObject(const HttpRequest &request)
{
    if (request.body.empty())
        return {};
    return boost::json::parse(request.body).as_object();
}

void loseResponse(HttpResponder &responder)
{
    // HttpServer closes the connection when a stream is left unfinished.
    responder.startStream(200, {{"Content-Type", "application/json"}});
}

BlockingQuery blockingQuery(const HttpRequest &request)
{
    BlockingQuery query;
    const auto index = request.queryParameter("index");
    if (!index)
        return query;
    query.index = std::stoull(*index);
    query.wait =
        std::min(longestWait, parseDuration(request.queryParameter("wait").value_or("60s")));
    return query;
}

void waitForChange(ChangeSignal &signal, const BlockingQuery &query, HttpResponder &responder,
                   const std::function<bool()> &condition)
{
    if (query.index == 0)
        return;
    const auto registration = responder.cancellation()->onCancel([&] { signal.notify(); });
    signal.waitUntil(std::chrono::steady_clock::now() + query.wait,
                     [&] { return responder.callerGone() || condition(); });
}

std::chrono::milliseconds parseDuration(std::string_view text)
{
    std::int64_t number = 0;
    const auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), number);
    const std::string_view unit(end, static_cast<std::size_t>(text.data() + text.size() - end));
    if (error == std::errc{}) {
        if (unit == "ms")
            return std::chrono::milliseconds(number);
        if (unit == "s")
            return std::chrono::seconds(number);
        if (unit == "m")
            return std::chrono::minutes(number);
    }
    throw std::invalid_argument("not a duration: " + std::string(text));
}

} // namespace jy::standins
