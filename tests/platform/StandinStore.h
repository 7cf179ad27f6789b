#pragma once

#include "jy_http/jy_http.h"
#include "jy_runtime/jy_runtime.h"

#include <boost/fiber/condition_variable.hpp>
#include <boost/fiber/mutex.hpp>
#include <boost/json/object.hpp>

#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <string>

namespace jy::platform::test {

/** In-process stand-in for the platform's store; implements the calls that gateways use. */
class StandinStore
{
public:
    explicit StandinStore(EventLoop &loop);
    ~StandinStore();

    Endpoint endpoint() const { return server_->localEndpoint(); }

    /** Writes a key as an operator or a backend server would. */
    void put(const std::string &key, const std::string &value);
    void remove(const std::string &key);

    /** While down, every call gets a 503 response. Leases pause, or keep running and expire. */
    void setDown(bool down, bool leasesPause = true);

    /** Optional hook that replaces the values that gateways write. */
    std::function<std::string(const std::string &key, std::string value)> rewrite;

    /** Drops the change history, so that every watch fails and gateways have to list again. */
    void forgetHistory();

    /** Keeps a copy of the current state for restore(). */
    void saveCopy();

    /**
     * Returns to the state of the last saveCopy(), with its revisions and leases, and raises the
     * era.
     */
    void restore();

    /** Writes again what the operator and the backend servers wrote and a restore took back. */
    void writeAgain();

    /** Number of keys that begin with @p prefix. */
    std::size_t count(const std::string &prefix) const;

    /** Number of calls since the last takeCalls(). */
    std::uint64_t takeCalls();

private:
    struct Item
    {
        std::string value;
        std::uint64_t revision = 0;
        std::uint64_t lease = 0;
    };

    struct Change
    {
        std::string key;
        Item item;
        bool removed = false;
    };

    struct Lease
    {
        std::chrono::milliseconds lifetime{0};
        TimePoint ends;
    };

    void handle(const HttpRequest &request, HttpResponder &responder);
    void send(HttpResponder &responder, int status, const std::string &body = {}) const;
    void sendJson(HttpResponder &responder, const boost::json::object &body) const;
    void range(const HttpRequest &request, HttpResponder &responder);
    void watch(const HttpRequest &request, HttpResponder &responder);
    bool hasHistory(std::uint64_t after) const;
    void transaction(const HttpRequest &request, HttpResponder &responder);
    void lease(const HttpRequest &request, HttpResponder &responder);
    void endLease(std::uint64_t id);
    void expireLeases();
    void write(const std::string &key, Item item, bool removed);

    /** What a restore takes back. */
    struct State
    {
        std::map<std::string, Item> items;
        std::deque<Change> history;
        std::uint64_t historyStart = 1;
        std::uint64_t revision = 1;
        std::map<std::uint64_t, Lease> leases;
        std::uint64_t nextLease = 100;
    };

    State state_;
    State copy_;

    /** Latest values that the operator and the backend servers wrote, by key. */
    std::map<std::string, std::string> written_;
    std::uint64_t era_ = 1;
    std::uint64_t calls_ = 0;
    bool down_ = false;
    bool leasesPause_ = true;
    std::shared_ptr<bool> stopped_ = std::make_shared<bool>(false);
    boost::fibers::mutex mutex_;
    boost::fibers::condition_variable changed_;
    std::unique_ptr<HttpServer> server_;
};

} // namespace jy::platform::test
