// Case 3: a sound server pauses for a second in the middle of its streams, while the other server
// is full.

#include "../standins/Deployment.h"

namespace {

using namespace review;
using std::chrono::seconds;

constexpr int slots = 6;
constexpr int queued = 2;
constexpr int streams = 2 * (slots + queued);
constexpr int events = 80;
constexpr milliseconds eventGap{40};

// The pause of server i-1, after this event. Clients leave after a gap of 2 s.
constexpr int pauseAfter = 30;
constexpr milliseconds pauseTime{1400};

constexpr std::string_view config =
    R"({"version":7,"routes":[)"
    R"({"name":"advice","host":"app.example","prefix":"/advice/","route_kind":"stream",)"
    R"("stream_resume":true,"service":"pool","timeout_ms":15000,"target_latency_ms":300,)"
    R"("gap_target_ms":250,"max_attempts":2,"priority":1}],)"
    R"("services":[{"name":"pool","max_connections":370}],)"
    R"("limits":{"max_header_bytes":16384,"max_body_bytes":1048576,"header_timeout_ms":5000,)"
    R"("idle_timeout_ms":15000}})";

Verdict run(Record &record)
{
    const TemporaryFolder folder;
    auto &store = *new Store;
    store.put("op/config", std::string(config));
    for (int i = 1; i <= 2; ++i) {
        const auto id = "i-" + std::to_string(i);
        auto &running = *new std::atomic<int>(0);
        new Server(
            store, id, "pool", "zone-" + std::to_string(i), slots,
            [&, id, i](const Message &request, Connection &out) {
                const auto attempt = request.value("Jacinthyoke-Attempt-Id");
                const auto echo = "Jacinthyoke-Attempt-Id: " + attempt + "\r\n";
                if (++running > slots + queued) {
                    --running;
                    record.line("server " + id + " is full and refuses " + attempt);
                    out.write(response(503, echo + "Jacinthyoke-Not-Executed: 1\r\n", ""));
                    return;
                }
                const auto last = std::atoi(request.value("Last-Event-Id").c_str());
                record.line("server " + id + " runs " + attempt + " after event "
                            + std::to_string(last));
                out.write(
                    "HTTP/1.1 200 OK\r\n" + echo + "Jacinthyoke-Replica-Seal: " + id
                    + "\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n");
                bool open = true;
                for (int event = last + 1; event <= events && open; ++event) {
                    const auto text = "id: " + std::to_string(event) + "\ndata: word\n\n";
                    char size[16];
                    std::snprintf(size, sizeof size, "%zx\r\n", text.size());
                    open = !out.peerClosed() && out.write(size + text + "\r\n");
                    pause(eventGap);
                    if (withTrouble() && i == 1 && event == pauseAfter)
                        pause(pauseTime);
                }
                open = open && out.write("0\r\n\r\n");
                record.line("server " + id
                            + (open ? " has run " : ": the gateway closed the connection of ")
                            + attempt);
                --running;
                if (!open)
                    out.close();
            });
    }
    std::vector<std::unique_ptr<Gateway>> gateways;
    for (int i = 1; i <= 2; ++i) {
        gateways.push_back(std::make_unique<Gateway>("front-" + std::to_string(i),
                                                     "zone-" + std::to_string(i), folder.path(),
                                                     store.address()));
        gateways.back()->writeSettings({gateways[0]->control});
        gateways.back()->start();
    }
    const bool ready = within(seconds(15), [&] {
        return std::ranges::all_of(gateways, [](const auto &one) { return one->ready(); });
    });
    if (!ready)
        return couldNotRun;
    pause(seconds(4));
    for (const auto &gateway : gateways) {
        record.line("platform: SIGHUP to " + gateway->name());
        gateway->signal(SIGHUP);
    }
    pause(milliseconds(200));
    std::vector<std::thread> callers;
    std::vector<bool> whole(streams, false);
    std::mutex mutex;
    for (int i = 0; i < streams; ++i) {
        callers.emplace_back([&, i] {
            const auto attempt = "advice-" + std::to_string(i);
            const auto &gateway = *gateways[0];
            const auto connection = Connection::open(gateway.caller);
            if (!connection)
                return;
            connection->write(
                "POST /advice/1 HTTP/1.1\r\nHost: app.example\r\nJacinthyoke-Attempt-Id: " + attempt
                + "\r\nJacinthyoke-Deadline-Ms: 15000\r\nContent-Length: 0\r\n\r\n");
            record.line("client sends " + attempt + " to " + gateway.name());
            const auto answer = connection->read(Clock::now() + seconds(15), true);
            const std::lock_guard lock(mutex);
            whole[static_cast<std::size_t>(i)] =
                answer && answer->status() == 200 && answer->complete;
            record.line("client: " + attempt + ": "
                        + (!answer                ? "no answer"
                               : answer->complete ? "whole answer"
                                                  : "broken off after "
                                   + std::to_string(answer->body.size()) + " bytes"));
        });
        pause(milliseconds(30));
    }
    for (auto &caller : callers)
        caller.join();
    const auto cut = std::ranges::count(whole, false);
    record.line(std::to_string(cut) + " of " + std::to_string(streams) + " streams were cut");
    return cut > 0 ? broken : held;
}

} // namespace

int main(int, char **arguments)
{
    review::runCase(arguments[1], "LOST", run);
}
