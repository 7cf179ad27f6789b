#pragma once

#include "jy_base/jy_base.h"
#include "jy_http/jy_http.h"
#include "jy_runtime/jy_runtime.h"

#include <boost/fiber/condition_variable.hpp>
#include <boost/fiber/mutex.hpp>
#include <boost/json.hpp>

#include <functional>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

namespace jy::standins {

using Servers = std::vector<std::unique_ptr<HttpServer>>;

/**
 * Runs a program until SIGTERM, SIGINT or the flag --max_seconds ends it, so that nothing is left
 * behind when its starter fails. Prints "ready" once @p start has returned.
 *
 * @returns the exit code of the process
 */
int runStandin(int argc, char **argv, const std::function<Servers(EventLoop &)> &start);

/** Listens on a loopback port. A handler that throws answers 400 with the reason. */
std::unique_ptr<HttpServer> listenOn(EventLoop &loop, std::uint16_t port, HttpHandler handler);

/** Listens on @p count consecutive ports; the handler learns the position of its port. */
Servers listenOnAll(EventLoop &loop, std::uint16_t firstPort, int count,
                    const std::function<void(int, const HttpRequest &, HttpResponder &)> &handler);

bool sendJson(HttpResponder &responder, const boost::json::value &body, int status = 200,
              HttpHeaders headers = {});

/** The body as a JSON object, empty for an empty body. Throws on anything else. */
boost::json::object bodyObject(const HttpRequest &request);

/** Connection end without a complete response: the caller cannot tell whether the request ran. */
void loseResponse(HttpResponder &responder);

/** Copies @p json[name] to @p field when present. Throws on a wrong type. */
template <class T>
void readField(const boost::json::object &json, std::string_view name, T &field)
{
    if (const auto *value = json.if_contains(name))
        field = boost::json::value_to<T>(*value);
}

inline void readField(const boost::json::object &json, std::string_view name,
                      std::chrono::milliseconds &field)
{
    if (const auto *value = json.if_contains(name))
        field = std::chrono::milliseconds(value->to_number<std::int64_t>());
}

/** Wakes fibers that wait for a change. */
class ChangeSignal
{
public:
    void notify() { changed_.notify_all(); }

    /** @returns the value of @p condition at the end. */
    bool waitUntil(TimePoint deadline, const std::function<bool()> &condition)
    {
        std::unique_lock lock(mutex_);
        return changed_.wait_until(lock, deadline, condition);
    }

private:
    boost::fibers::mutex mutex_;
    boost::fibers::condition_variable changed_;
};

/** Index and wait time of a blocking query of the Consul HTTP API. */
struct BlockingQuery
{
    std::uint64_t index = 0;
    std::chrono::milliseconds wait{0};
};

BlockingQuery blockingQuery(const HttpRequest &request);

/**
 * Suspends until @p condition holds, the query's wait time has passed or the caller is gone. A
 * query without an index does not wait.
 */
void waitForChange(ChangeSignal &signal, const BlockingQuery &query, HttpResponder &responder,
                   const std::function<bool()> &condition);

/** Reads "10s", "500ms" or "2m". Throws on anything else. */
std::chrono::milliseconds parseDuration(std::string_view text);

} // namespace jy::standins
