#include "Conversation.h"
#include "Report.h"
#include "RouterClient.h"

#include "common/Standin.h"
#include "common/UuidV7.h"

#include <absl/flags/flag.h>
#include <absl/flags/parse.h>

#include <algorithm>
#include <cstdio>
#include <cstdlib>
#include <fstream>

ABSL_FLAG(std::vector<std::string>, routers, {}, "addresses of routers for lookups");
ABSL_FLAG(std::string, model, "wattle-8b", "model of the chats");
ABSL_FLAG(std::vector<std::string>, workspaces, {"acme"}, "workspaces of the chats");
ABSL_FLAG(std::vector<std::string>, weights, {}, "share of chats of each workspace, default equal");
ABSL_FLAG(int, chats, 50, "number of chats that run at the same time");
ABSL_FLAG(int, think_ms, 1000, "mean pause between the turns of a chat");
ABSL_FLAG(int, max_tokens, 8, "tokens of each response");
ABSL_FLAG(double, stream_share, 0.7, "share of streamed responses");
ABSL_FLAG(int, deadline_ms, 10000, "deadline of each request");
ABSL_FLAG(double, bookings_per_second, 0, "rate of protected calls");
ABSL_FLAG(std::string, service, "booking", "service of the protected calls");
ABSL_FLAG(double, repeat_share, 0.2, "share of finished bookings sent again with the same key");
ABSL_FLAG(double, seconds, 10, "length of the run");
ABSL_FLAG(bool, direct, false, "send to the given addresses without a lookup");
ABSL_FLAG(std::uint64_t, seed, 1, "seed of chats, pauses and keys");
ABSL_FLAG(std::string, output, "", "file for the JSON summary; standard output when empty");

/**
 * Load generator: returning chats and protected bookings through the lookup, with a check of each
 * response against its own prompt.
 */
namespace jy::standins {

namespace {

using std::chrono::milliseconds;
using std::chrono::steady_clock;

constexpr milliseconds finishTimeout{15000};

class LoadRun
{
public:
    explicit LoadRun(EventLoop &loop)
        : http_(HttpClient::create(loop, {}))
        , random_(absl::GetFlag(FLAGS_seed))
        , start_(steady_clock::now())
        , end_(start_
               + std::chrono::duration_cast<steady_clock::duration>(
                   std::chrono::duration<double>(absl::GetFlag(FLAGS_seconds))))
        , report_(start_)
    {
        const auto routers = absl::GetFlag(FLAGS_routers);
        load_.routers.reserve(routers.size());
        for (const std::string &router : routers)
            load_.routers.push_back(parseEndpoint(router));
        load_.direct = absl::GetFlag(FLAGS_direct);
        load_.model = absl::GetFlag(FLAGS_model);
        load_.deadline = milliseconds(absl::GetFlag(FLAGS_deadline_ms));
    }

    boost::json::object run()
    {
        for (int i = 0; i < absl::GetFlag(FLAGS_chats); ++i)
            start([this, i] { runChat(i); });
        if (absl::GetFlag(FLAGS_bookings_per_second) > 0)
            start([this] { runBookings(); });
        const TimePoint latest = end_ + finishTimeout;
        while (running_ > 0 && steady_clock::now() < latest)
            EventLoop::sleepFor(milliseconds(20));
        auto json = report_.toJson();
        json["unfinished"] = running_;
        return json;
    }

private:
    void start(std::function<void()> body)
    {
        ++running_;
        EventLoop::spawn([this, body = std::move(body)] {
            try {
                body();
            } catch (const std::exception &error) {
                std::fprintf(stderr, "event=caller_failed error=\"%s\"\n", error.what());
            }
            --running_;
        });
    }

    void pause(double meanMs)
    {
        std::exponential_distribution<> distribution(1.0 / std::max(1.0, meanMs));
        EventLoop::sleepFor(milliseconds(static_cast<std::int64_t>(distribution(random_))));
    }

    std::string workspaceOf(int chat)
    {
        const auto names = absl::GetFlag(FLAGS_workspaces);
        const auto weights = absl::GetFlag(FLAGS_weights);
        if (weights.size() != names.size())
            return names[static_cast<std::size_t>(chat) % names.size()];
        std::vector<double> shares;
        shares.reserve(weights.size());
        for (const std::string &weight : weights)
            shares.push_back(std::stod(weight));
        return names[std::discrete_distribution<std::size_t>(shares.begin(),
                                                             shares.end())(random_)];
    }

    void runChat(int number)
    {
        RouterClient client(*http_, load_, random_);
        Conversation conversation(
            client, load_,
            {.workspace = workspaceOf(number),
             .chat = "s" + std::to_string(absl::GetFlag(FLAGS_seed)) + "c" + std::to_string(number),
             .maxTokens = absl::GetFlag(FLAGS_max_tokens),
             .streamShare = absl::GetFlag(FLAGS_stream_share)});
        // Chats start spread over the first pause, so that they do not arrive at once.
        pause(absl::GetFlag(FLAGS_think_ms));
        while (steady_clock::now() < end_) {
            report_.addChat(conversation.nextTurn(random_));
            pause(absl::GetFlag(FLAGS_think_ms));
        }
    }

    void runBookings()
    {
        while (steady_clock::now() < end_) {
            const std::string key = uuidV7(std::chrono::system_clock::now(), random_);
            start([this, key] { book(key); });
            pause(1000 / absl::GetFlag(FLAGS_bookings_per_second));
        }
    }

    void book(const std::string &key)
    {
        RouterClient client(*http_, load_, random_);
        report_.addBooking(key, sendBooking(client, key));
        if (std::uniform_real_distribution<>(0, 1)(random_) < absl::GetFlag(FLAGS_repeat_share))
            sendBooking(client, key);
    }

    CallRecord sendBooking(RouterClient &client, const std::string &key)
    {
        HttpRequest request;
        request.method = "POST";
        request.target = "/v1/services/" + absl::GetFlag(FLAGS_service) + "/bookings";
        request.headers = {{"Content-Type", "application/json"},
                           {"X-Workspace", absl::GetFlag(FLAGS_workspaces).front()},
                           {"X-Request-Id", key},
                           {"Idempotency-Key", key},
                           {"X-Deadline-Ms", std::to_string(load_.deadline.count())}};
        request.body = R"({"desk":1})";
        CallRecord record;
        // The key makes a repetition safe, whatever happened to the first attempt.
        client.call(
            absl::GetFlag(FLAGS_workspaces).front(), key, request, true, [] {}, nullptr, record);
        return record;
    }

    std::unique_ptr<HttpClient> http_;
    LoadSettings load_;
    std::mt19937_64 random_;
    TimePoint start_;
    TimePoint end_;
    Report report_;
    int running_ = 0;
};

} // namespace

} // namespace jy::standins

int main(int argc, char **argv)
{
    absl::ParseCommandLine(argc, argv);
    jy::EventLoop loop;
    loop.run([&] {
        jy::standins::LoadRun run(loop);
        const std::string summary = boost::json::serialize(run.run());
        const std::string output = absl::GetFlag(FLAGS_output);
        if (output.empty())
            std::puts(summary.c_str());
        else
            std::ofstream(output) << summary << '\n';
        std::fflush(nullptr);
        // Callers that did not finish in time still hold fibers.
        std::_Exit(0);
    });
}
