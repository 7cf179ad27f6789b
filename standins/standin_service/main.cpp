#include "common/Registration.h"
#include "common/Standin.h"

#include <absl/flags/flag.h>

#include <map>
#include <vector>

ABSL_FLAG(std::uint16_t, port, 8700, "first port; replicas use consecutive ports");
ABSL_FLAG(int, count, 1, "number of replicas");
ABSL_FLAG(int, work_ms, 20, "time of one call");
ABSL_FLAG(std::string, service, "booking", "name of the service");
ABSL_FLAG(std::vector<std::string>, domains, {"a"}, "failure domains, replicas are spread evenly");
ABSL_FLAG(std::string, region, "local", "region");
ABSL_FLAG(std::uint16_t, instances_port, 0, "port of standin_instances to register at");

/**
 * Booking service. It counts the runs of each idempotency key over all its replicas and never
 * removes duplicates itself, so that a second run is visible.
 *
 * GET /control shows counts, GET /control/runs the runs by key. PUT /control changes work_ms,
 * lose_answers (the next N calls run and are not answered), fail_answers (the next N calls run
 * and are answered with 500) and dead_replica (connections to it end before a call runs; -1 for
 * none, -2 for all).
 */
namespace jy::standins {

namespace {

class BookingService
{
public:
    explicit BookingService(std::chrono::milliseconds work)
        : work_(work)
    { }

    void handle(int replica, const HttpRequest &request, HttpResponder &responder)
    {
        if (request.path() == "/healthz")
            responder.send(isDead(replica) ? 503 : 200, {}, "");
        else if (request.path() == "/control/runs")
            sendJson(responder, runsByKey());
        else if (request.path() == "/control")
            control(request, responder);
        else
            call(replica, request, responder);
    }

private:
    bool isDead(int replica) const { return deadReplica_ == replica || deadReplica_ == -2; }

    void call(int replica, const HttpRequest &request, HttpResponder &responder)
    {
        if (isDead(replica)) {
            loseResponse(responder);
            return;
        }
        const std::string key(request.headers.value("Idempotency-Key"));
        ++calls_;
        ++callsOf_[replica];
        if (!key.empty() && ++runs_[key] > 1)
            ++duplicateRuns_;
        ++inFlight_;
        EventLoop::sleepFor(work_);
        --inFlight_;
        if (loseAnswers_ > 0) {
            --loseAnswers_;
            loseResponse(responder);
            return;
        }
        const bool fail = failAnswers_ > 0;
        failAnswers_ -= fail ? 1 : 0;
        sendJson(responder,
                 boost::json::object{{"key", key},
                                     {"method", request.method},
                                     {"path", request.target},
                                     {"replica", replica}},
                 fail ? 500 : 201);
    }

    boost::json::object runsByKey() const
    {
        boost::json::object json;
        for (const auto &[key, count] : runs_)
            json[key] = count;
        return json;
    }

    void control(const HttpRequest &request, HttpResponder &responder)
    {
        const auto json = bodyObject(request);
        readField(json, "work_ms", work_);
        readField(json, "lose_answers", loseAnswers_);
        readField(json, "fail_answers", failAnswers_);
        readField(json, "dead_replica", deadReplica_);
        sendJson(responder,
                 boost::json::object{{"calls", calls_},
                                     {"calls_by_replica", boost::json::value_from(callsOf_)},
                                     {"keys", runs_.size()},
                                     {"duplicate_runs", duplicateRuns_},
                                     {"in_flight", inFlight_}});
    }

    std::chrono::milliseconds work_;
    int loseAnswers_ = 0;
    int failAnswers_ = 0;
    int deadReplica_ = -1;
    std::map<std::string, int> runs_;
    std::map<int, std::uint64_t> callsOf_;
    std::uint64_t calls_ = 0;
    std::uint64_t duplicateRuns_ = 0;
    int inFlight_ = 0;
};

} // namespace

} // namespace jy::standins

int main(int argc, char **argv)
{
    using namespace jy::standins;
    std::unique_ptr<BookingService> service;
    std::unique_ptr<jy::HttpClient> http;
    return runStandin(argc, argv, [&](jy::EventLoop &loop) {
        const int count = absl::GetFlag(FLAGS_count);
        service = std::make_unique<BookingService>(
            std::chrono::milliseconds(absl::GetFlag(FLAGS_work_ms)));
        http = jy::HttpClient::create(loop, {});
        auto servers = listenOnAll(loop, absl::GetFlag(FLAGS_port), count,
                                   [&](int replica, const auto &request, auto &responder) {
                                       service->handle(replica, request, responder);
                                   });
        const auto domains = absl::GetFlag(FLAGS_domains);
        for (int i = 0; i < count; ++i) {
            const auto domain =
                static_cast<std::size_t>(i) * domains.size() / static_cast<std::size_t>(count);
            const boost::json::object meta{{"region", absl::GetFlag(FLAGS_region)},
                                           {"domain", domains[domain]},
                                           {"service", absl::GetFlag(FLAGS_service)}};
            Registration(*http, absl::GetFlag(FLAGS_instances_port), "service",
                         "service-" + std::to_string(i),
                         static_cast<std::uint16_t>(absl::GetFlag(FLAGS_port) + i), meta)
                .list();
        }
        return servers;
    });
}
