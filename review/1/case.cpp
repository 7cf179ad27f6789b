// Case 1: a gateway that is told to reload its settings (SIGHUP) while it stops (SIGTERM).

#include "../standins/Deployment.h"

namespace {

using namespace review;
using std::chrono::seconds;

constexpr int streams = 12;
constexpr int bookings = 8;
constexpr int events = 70;

// Events of a stream, about 3 s in all: well within grace_s after the SIGTERM.
constexpr milliseconds eventGap{40};
constexpr milliseconds bookingTime{1200};

constexpr std::string_view config =
    R"({"version":7,"routes":[)"
    R"({"name":"advice","host":"app.example","prefix":"/advice/","route_kind":"stream",)"
    R"("service":"pool","timeout_ms":15000,"target_latency_ms":300,"gap_target_ms":250,)"
    R"("max_attempts":1,"priority":1},)"
    R"({"name":"booking","host":"app.example","prefix":"/booking/","route_kind":"unsafe",)"
    R"("service":"pool","timeout_ms":3000,"target_latency_ms":300,"max_attempts":1,"priority":1}],)"
    R"("services":[{"name":"pool","max_connections":370}],)"
    R"("limits":{"max_header_bytes":16384,"max_body_bytes":1048576,"header_timeout_ms":5000,)"
    R"("idle_timeout_ms":15000}})";

/** What became of one request. */
struct Result
{
    std::string id;
    std::string outcome;
    bool answered = false;
};

Result call(Record &record, const Gateway &gateway, const std::string &route, int number)
{
    Result result{.id = route + '-' + std::to_string(number), .outcome = "no connection"};
    const auto connection = Connection::open(gateway.caller);
    const bool sent = connection
        && connection->write("POST /" + route
                             + "/1 HTTP/1.1\r\nHost: app.example\r\n"
                               "Jacinthyoke-Attempt-Id: "
                             + result.id
                             + "\r\nJacinthyoke-Deadline-Ms: 15000\r\nContent-Length: 2\r\n\r\nhi");
    record.line("client sends " + result.id + " to " + gateway.name());
    if (sent) {
        const auto answer = connection->read(Clock::now() + seconds(15), true);
        const bool streamed = route == "advice";
        result.answered = answer && answer->status() == 200 && answer->complete
            && (!streamed
                || answer->body.find("id: " + std::to_string(events) + "\n") != std::string::npos);
        result.outcome = !answer ? "connection ended without an answer"
            : result.answered    ? "whole answer"
                                 : std::to_string(answer->status()) + ", broken off after "
                + std::to_string(answer->body.size()) + " bytes";
    }
    record.line("client: " + result.id + ": " + result.outcome);
    return result;
}

Verdict run(Record &record)
{
    const TemporaryFolder folder;
    auto &store = *new Store;
    store.put("op/config", std::string(config));
    for (int i = 1; i <= 3; ++i) {
        const auto id = "i-" + std::to_string(i);
        new Server(
            store, id, "pool", "zone-" + std::to_string(i), 64,
            [&record, id](const Message &request, Connection &out) {
                const auto attempt = request.value("Jacinthyoke-Attempt-Id");
                const auto seal = "Jacinthyoke-Attempt-Id: " + attempt
                    + "\r\nJacinthyoke-Replica-Seal: " + id + "\r\n";
                record.line("server " + id + " runs " + attempt);
                if (request.target().starts_with("/booking/")) {
                    pause(bookingTime);
                    const bool delivered =
                        !out.peerClosed() && out.write(response(200, seal, "booked"));
                    record.line("server " + id + " has run " + attempt
                                + (delivered ? "" : "; the gateway has closed the connection"));
                    return;
                }
                out.write(
                    "HTTP/1.1 200 OK\r\n" + seal
                    + "Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n");
                for (int event = 1; event <= events; ++event) {
                    const auto text = "id: " + std::to_string(event) + "\ndata: word\n\n";
                    char size[16];
                    std::snprintf(size, sizeof size, "%zx\r\n", text.size());
                    if (out.peerClosed() || !out.write(size + text + "\r\n")) {
                        record.line("server " + id + " stops " + attempt + " at event "
                                    + std::to_string(event)
                                    + ": the gateway has closed the connection");
                        out.close();
                        return;
                    }
                    pause(eventGap);
                }
                out.write("0\r\n\r\n");
                record.line("server " + id + " has run " + attempt);
            });
    }
    std::vector<std::unique_ptr<Gateway>> gateways;
    for (int i = 1; i <= 3; ++i)
        gateways.push_back(std::make_unique<Gateway>("front-" + std::to_string(i),
                                                     "zone-" + std::to_string(i), folder.path(),
                                                     store.address()));
    for (const auto &gateway : gateways) {
        gateway->writeSettings({gateways[0]->control});
        gateway->start();
    }
    const bool ready = within(seconds(15), [&] {
        return std::ranges::all_of(gateways, [](const auto &one) { return one->ready(); });
    });
    if (!ready)
        return couldNotRun;
    // Longer than stable_window_ms, so that the machines are in touch.
    pause(seconds(4));

    auto &stopped = *gateways[1];
    std::vector<std::thread> callers;
    std::vector<Result> results(streams + bookings);
    const auto send = [&](int index, const std::string &route) {
        callers.emplace_back([&, index, route] {
            results[static_cast<std::size_t>(index)] = call(record, stopped, route, index);
        });
    };
    for (int i = 0; i < streams; ++i)
        send(i, "advice");
    pause(milliseconds(300));
    for (int i = streams; i < streams + bookings; ++i)
        send(i, "booking");
    pause(milliseconds(200));
    record.line("platform: SIGTERM to " + stopped.name());
    stopped.signal(SIGTERM);
    pause(milliseconds(400));
    // Another machine was added, so the settings name a further seed.
    stopped.writeSettings({gateways[0]->control, gateways[2]->control});
    if (withTrouble()) {
        record.line("platform: the settings file changed, SIGHUP to " + stopped.name());
        stopped.signal(SIGHUP);
    }
    std::optional<int> status;
    within(seconds(9), [&] { return (status = stopped.ended()).has_value(); });
    if (status && WIFSIGNALED(*status))
        record.line(stopped.name() + " was ended by signal " + std::to_string(WTERMSIG(*status)));
    else if (status)
        record.line(stopped.name() + " ended with exit status "
                    + std::to_string(WEXITSTATUS(*status)));
    else
        record.line(stopped.name() + " has not ended 9 s after the SIGTERM");
    for (auto &caller : callers)
        caller.join();
    const auto lost =
        std::ranges::count_if(results, [](const Result &one) { return !one.answered; });
    record.line(std::to_string(lost) + " of " + std::to_string(results.size())
                + " accepted requests ended without a complete answer");
    return lost > 0 ? broken : held;
}

} // namespace

int main(int, char **arguments)
{
    review::runCase(arguments[1], "LOST", run);
}
