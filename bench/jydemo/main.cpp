#include "common/Fleet.h"

#include "jy_runtime/jy_runtime.h"

#include <absl/flags/flag.h>
#include <absl/flags/parse.h>
#include <boost/asio/signal_set.hpp>
#include <boost/asio/steady_timer.hpp>

#include <cstdio>
#include <filesystem>

ABSL_FLAG(bool, keep, false, "leave the fleet running and print requests to try");
ABSL_FLAG(int, keep_seconds, 600, "with --keep, stop after this time");

/** Demonstration: three routers with stand-ins, returning chats and bookings. */
namespace jy::bench {

namespace {

using Json = Fleet::Json;

void printSummary(Fleet &fleet, const Json &summary)
{
    const auto number = [](const Json &json, const char *name) {
        return json.at(name).to_number<double>();
    };
    const Json &firstToken = summary.at("first_token_ms").as_object();
    std::printf("%.0f chat requests, %.0f answered completely, first token %.0f ms (median) "
                "%.0f ms (95th percentile), %.0f %% of the prompts from caches\n",
                number(summary, "chats"), number(summary, "complete_chats"),
                number(firstToken, "p50"), number(firstToken, "p95"),
                100 * number(summary, "cached_share"));
    for (const auto &[engine, count] : summary.at("served_by").as_object())
        std::printf("  %s answered %lld\n", std::string(engine).c_str(),
                    static_cast<long long>(count.to_number<std::int64_t>()));
    const Json runs = fleet.service();
    std::printf("%zu bookings, %.0f run by the service, %.0f of them more than once\n",
                summary.at("bookings").as_object().size(), number(runs, "calls"),
                number(runs, "duplicate_runs"));
    std::printf("errors: %s\n", boost::json::serialize(summary.at("errors")).c_str());
}

void printRequests(const Fleet &fleet)
{
    const std::string router = "http://" + toString(fleet.callerEndpoint(0));
    const std::string &model = fleet.spec().model;
    std::printf("Try:\n  curl '%s/v1/lookup?workspace=harbour&model=%s&chat=c1'\n", router.c_str(),
                model.c_str());
    std::printf("  curl -N %s/v1/chat/completions -H 'X-Workspace: harbour' -H 'X-Chat-Id: c1' "
                "-d '{\"model\":\"%s\",\"stream\":true,\"max_tokens\":8,"
                "\"messages\":[{\"role\":\"user\",\"content\":\"hello\"}]}'\n",
                router.c_str(), model.c_str());
    std::printf("  curl -H 'Authorization: Bearer %s' http://%s/ops/status\n",
                Fleet::operatorSecret, toString(fleet.operatorEndpoint(0)).c_str());
    std::puts("Stop with Ctrl-C.");
    std::fflush(stdout);
}

void waitForSignal(EventLoop &loop)
{
    boost::asio::signal_set signals(loop.io(), SIGTERM, SIGINT);
    boost::asio::steady_timer timer(loop.io(),
                                    std::chrono::seconds(absl::GetFlag(FLAGS_keep_seconds)));
    timer.async_wait([&](boost::system::error_code) { signals.cancel(); });
    boost::system::error_code ignored;
    signals.async_wait(FiberToken{ignored});
}

void runDemo(EventLoop &loop)
{
    const auto folder = std::filesystem::temp_directory_path() / "jydemo";
    std::filesystem::remove_all(folder);
    std::filesystem::create_directories(folder);
    FleetSpec spec = loadFleetSpec("cedar-drift");
    spec.routers = 3;
    Fleet fleet(loop, spec, 1, folder.string());
    std::printf("starting %d routers, %d engines and %d services; logs in %s\n", spec.routers,
                spec.engines, spec.services, folder.c_str());
    std::fflush(stdout);
    fleet.start();
    std::puts("running 30 returning chats and 5 bookings a second for 8 s");
    std::fflush(stdout);
    const auto load = fleet.startLoad(
        "demo", {"--chats=30", "--think_ms=500", "--seconds=8", "--bookings_per_second=5"});
    printSummary(fleet, fleet.finishLoad(*load, "demo"));
    if (!absl::GetFlag(FLAGS_keep))
        return;
    printRequests(fleet);
    waitForSignal(loop);
}

} // namespace

} // namespace jy::bench

int main(int argc, char **argv)
{
    absl::ParseCommandLine(argc, argv);
    jy::EventLoop loop;
    int exitCode = 0;
    loop.run([&] {
        try {
            jy::bench::runDemo(loop);
        } catch (const std::exception &error) {
            std::fprintf(stderr, "demo failed: %s\n", error.what());
            exitCode = 1;
        }
    });
    return exitCode;
}
