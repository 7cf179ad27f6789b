#include "common/KvStore.h"
#include "common/RateLimit.h"
#include "common/Standin.h"

#include <absl/flags/flag.h>
#include <boost/beast/core/detail/base64.hpp>

ABSL_FLAG(std::uint16_t, port, 8500, "port of the API and of /control");
ABSL_FLAG(double, read_rate, 2000, "reads per second before calls are refused");
ABSL_FLAG(double, write_rate, 400, "writes per second before calls are refused");

/**
 * Key-value service with a subset of the Consul HTTP API (version 1): KV with cas, acquire,
 * release, recurse and blocking queries, and sessions. GET /control shows counts; PUT /control
 * changes down, slow_ms, lose_write_answers, read_rate and write_rate.
 */
namespace jy::standins {

namespace {

constexpr std::size_t maxValueBytes = 1000 * 1000;
constexpr std::chrono::milliseconds expiryPeriod{50};
constexpr std::string_view kvPrefix = "/v1/kv/";
constexpr std::string_view sessionPrefix = "/v1/session/";

std::string base64(const std::string &text)
{
    namespace codec = boost::beast::detail::base64;
    std::string encoded(codec::encoded_size(text.size()), '\0');
    encoded.resize(codec::encode(encoded.data(), text.data(), text.size()));
    return encoded;
}

boost::json::object toJson(const KvEntry &entry)
{
    boost::json::object json{{"LockIndex", entry.lockIndex},
                             {"Key", entry.key},
                             {"Flags", 0},
                             {"Value", base64(entry.value)},
                             {"CreateIndex", entry.createIndex},
                             {"ModifyIndex", entry.modifyIndex}};
    if (!entry.session.empty())
        json["Session"] = entry.session;
    return json;
}

class KvService
{
public:
    KvService()
        : reads_(absl::GetFlag(FLAGS_read_rate))
        , writes_(absl::GetFlag(FLAGS_write_rate))
    { }

    void expireLoop()
    {
        while (true) {
            EventLoop::sleepFor(expiryPeriod);
            if (store_.expireSessions(now()))
                changed_.notify();
        }
    }

    void handle(const HttpRequest &request, HttpResponder &responder)
    {
        if (request.path() == "/control") {
            control(request, responder);
            return;
        }
        const bool write = request.method != "GET";
        ++(write ? writeCalls_ : readCalls_);
        if (slow_.count() > 0)
            EventLoop::sleepFor(slow_);
        if (down_) {
            responder.send(500, {}, "No cluster leader");
            return;
        }
        if (!(write ? writes_ : reads_).take(now())) {
            ++refusedCalls_;
            responder.send(429, {}, "Your IP is issuing too many concurrent connections or calls");
            return;
        }
        if (request.path().starts_with(kvPrefix))
            write ? writeKey(request, responder) : readKey(request, responder);
        else if (request.path().starts_with(sessionPrefix))
            session(request, responder);
        else
            responder.send(404, {}, "no such path");
    }

private:
    static TimePoint now() { return std::chrono::steady_clock::now(); }

    static std::string keyOf(const HttpRequest &request)
    {
        return percentDecode(request.path().substr(kvPrefix.size()));
    }

    void readKey(const HttpRequest &request, HttpResponder &responder)
    {
        const std::string key = keyOf(request);
        const bool recurse = request.queryParameter("recurse").has_value();
        const BlockingQuery query = blockingQuery(request);
        ++pendingReads_;
        waitForChange(changed_, query, responder,
                      [&] { return down_ || store_.indexOf(key, recurse) > query.index; });
        --pendingReads_;
        if (down_) {
            responder.send(500, {}, "No cluster leader");
            return;
        }
        boost::json::array found;
        if (recurse) {
            for (const KvEntry &entry : store_.list(key))
                found.push_back(toJson(entry));
        } else if (const KvEntry *entry = store_.find(key)) {
            found.push_back(toJson(*entry));
        }
        const HttpHeaders headers{{"X-Consul-Index", std::to_string(store_.indexOf(key, recurse))}};
        if (found.empty())
            responder.send(404, headers, "");
        else
            sendJson(responder, found, 200, headers);
    }

    void writeKey(const HttpRequest &request, HttpResponder &responder)
    {
        if (request.body.size() > maxValueBytes) {
            responder.send(413, {}, "Request body too large");
            return;
        }
        KvCondition condition;
        if (const auto cas = request.queryParameter("cas"))
            condition.cas = std::stoull(*cas);
        condition.acquire = request.queryParameter("acquire").value_or("");
        condition.release = request.queryParameter("release").value_or("");
        const bool applied = request.method == "DELETE"
            ? store_.remove(keyOf(request), request.queryParameter("recurse").has_value(),
                            condition.cas)
            : store_.put(keyOf(request), request.body, condition, now());
        if (applied) {
            ++appliedWrites_;
            changed_.notify();
        }
        answerWrite(responder, applied);
    }

    /** Answers a write that has taken effect, unless its answer is to be lost. */
    void answerWrite(HttpResponder &responder, const boost::json::value &body)
    {
        if (loseWriteAnswers_ > 0) {
            --loseWriteAnswers_;
            ++lostAnswers_;
            loseResponse(responder);
            return;
        }
        sendJson(responder, body);
    }

    void session(const HttpRequest &request, HttpResponder &responder)
    {
        const std::string_view path = request.path().substr(sessionPrefix.size());
        const std::string id(path.substr(path.find('/') + 1));
        if (path == "create") {
            const auto body = bodyObject(request);
            const auto text = [&](const char *name, const char *fallback) {
                const auto *value = body.if_contains(name);
                return value != nullptr ? boost::json::value_to<std::string>(*value) : fallback;
            };
            const std::string created = store_.createSession(
                parseDuration(text("TTL", "15s")), parseDuration(text("LockDelay", "15s")),
                text("Behavior", "release") == "delete", now());
            answerWrite(responder, boost::json::object{{"ID", created}});
        } else if (path.starts_with("renew/")) {
            if (store_.renewSession(id, now()))
                answerWrite(responder, boost::json::array{boost::json::object{{"ID", id}}});
            else
                responder.send(404, {}, "Session id '" + id + "' not found");
        } else if (path.starts_with("destroy/")) {
            store_.endSession(id, now());
            changed_.notify();
            answerWrite(responder, true);
        } else {
            responder.send(404, {}, "no such path");
        }
    }

    void control(const HttpRequest &request, HttpResponder &responder)
    {
        const auto json = bodyObject(request);
        readField(json, "down", down_);
        readField(json, "slow_ms", slow_);
        readField(json, "lose_write_answers", loseWriteAnswers_);
        reads_.update(json, "read_rate");
        writes_.update(json, "write_rate");
        changed_.notify();
        sendJson(responder,
                 boost::json::object{{"reads", readCalls_},
                                     {"writes", writeCalls_},
                                     {"applied_writes", appliedWrites_},
                                     {"refused", refusedCalls_},
                                     {"lost_answers", lostAnswers_},
                                     {"pending_reads", pendingReads_},
                                     {"sessions", store_.sessionCount()},
                                     {"down", down_}});
    }

    KvStore store_;
    ChangeSignal changed_;
    RateLimit reads_;
    RateLimit writes_;
    bool down_ = false;
    std::chrono::milliseconds slow_{0};
    int loseWriteAnswers_ = 0;
    std::uint64_t readCalls_ = 0;
    std::uint64_t writeCalls_ = 0;
    std::uint64_t appliedWrites_ = 0;
    std::uint64_t refusedCalls_ = 0;
    std::uint64_t lostAnswers_ = 0;
    std::int64_t pendingReads_ = 0;
};

} // namespace

} // namespace jy::standins

int main(int argc, char **argv)
{
    using namespace jy::standins;
    std::unique_ptr<KvService> service;
    return runStandin(argc, argv, [&](jy::EventLoop &loop) {
        service = std::make_unique<KvService>();
        jy::EventLoop::spawn([&] { service->expireLoop(); });
        return listenOnAll(loop, absl::GetFlag(FLAGS_port), 1,
                           [&](int, const auto &request, auto &responder) {
                               service->handle(request, responder);
                           });
    });
}
