// Case 5: a faulty server sends bytes that are no answer, without end, in the body of its response.

#include "../standins/Deployment.h"

namespace {

using namespace review;
using std::chrono::seconds;

// Requests of which half reach the faulty server.
constexpr int requests = 48;
constexpr milliseconds routeTimeout{1500};
constexpr milliseconds allowed{500};
constexpr milliseconds clientDeadline{5000};

constexpr std::string_view config =
    R"({"version":7,"routes":[)"
    R"({"name":"advice","host":"app.example","prefix":"/advice/","route_kind":"stream",)"
    R"("service":"pool","timeout_ms":1500,"target_latency_ms":300,"gap_target_ms":250,)"
    R"("max_attempts":1,"priority":1}],)"
    R"("services":[{"name":"pool","max_connections":370}],)"
    R"("limits":{"max_header_bytes":16384,"max_body_bytes":1048576,"header_timeout_ms":5000,)"
    R"("idle_timeout_ms":15000}})";

/** What became of one request. */
struct Result
{
    milliseconds took{0};
};

Result call(Record &record, const Gateway &gateway, int number)
{
    const auto attempt = "advice-" + std::to_string(number);
    const auto begin = Clock::now();
    Result result;
    const auto connection = Connection::open(gateway.caller);
    if (!connection)
        return result;
    connection->write("POST /advice/1 HTTP/1.1\r\nHost: app.example\r\nJacinthyoke-Attempt-Id: "
                      + attempt
                      + "\r\nJacinthyoke-Deadline-Ms: " + std::to_string(clientDeadline.count())
                      + "\r\nConnection: close\r\nContent-Length: 0\r\n\r\n");
    record.line("client sends " + attempt + " to " + gateway.name());
    // The gateway closes the connection at the end of its answer, whole or not.
    const auto bytes = connection->discard(begin + clientDeadline);
    result.took = std::chrono::duration_cast<milliseconds>(Clock::now() - begin);
    record.line("client: " + attempt + ": "
                + (connection->ended() ? "ended" : "not ended, the client leaves") + " after "
                + std::to_string(result.took.count()) + " ms and " + std::to_string(bytes)
                + " bytes");
    return result;
}

Verdict run(Record &record)
{
    const TemporaryFolder folder;
    auto &store = *new Store;
    store.put("op/config", std::string(config));
    for (int i = 1; i <= 2; ++i) {
        const auto id = "i-" + std::to_string(i);
        const bool faulty = i == 1;
        new Server(store, id, "pool", "zone-" + std::to_string(i), 64,
                   [&record, id, faulty](const Message &request, Connection &out) {
                       const auto attempt = request.value("Jacinthyoke-Attempt-Id");
                       record.line("server " + id + " runs " + attempt);
                       pause(milliseconds(100));
                       out.write("HTTP/1.1 200 OK\r\nJacinthyoke-Attempt-Id: " + attempt
                                 + "\r\nJacinthyoke-Replica-Seal: " + id
                                 + "\r\nContent-Type: text/event-stream\r\n"
                                   "Transfer-Encoding: chunked\r\n\r\n");
                       if (!faulty) {
                           out.write("f\r\nid: 1\ndata: a\n\n\r\n0\r\n\r\n");
                           record.line("server " + id + " has run " + attempt);
                           return;
                       }
                       // Without the disruption, the server falls silent instead.
                       const std::string noise = "4000\r\n" + std::string(0x4000, '\n') + "\r\n";
                       const auto until = Clock::now() + seconds(7);
                       while (Clock::now() < until && !out.peerClosed()) {
                           if (!withTrouble())
                               pause(milliseconds(20));
                           else if (!out.write(noise))
                               break;
                       }
                       record.line("server " + id + ": the connection of " + attempt
                                   + " has ended");
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

    std::vector<Result> results(requests);
    std::vector<std::thread> callers;
    for (int i = 0; i < requests; ++i) {
        const auto index = static_cast<std::size_t>(i);
        callers.emplace_back(
            [&, index, i] { results[index] = call(record, *gateways[index % 2], i); });
    }
    for (auto &caller : callers)
        caller.join();
    const auto longer =
        std::ranges::count_if(results, [](const Result &one) { return one.took > routeTimeout; });
    const auto late = std::ranges::count_if(
        results, [](const Result &one) { return one.took > routeTimeout + allowed; });
    record.line(std::to_string(longer) + " requests lasted longer than the route's timeout_ms; "
                + std::to_string(late) + " of these had not ended 0.5 s after it");
    return late >= 8 && 4 * late > longer ? broken : held;
}

} // namespace

int main(int, char **arguments)
{
    review::runCase(arguments[1], "CONFIG", run);
}
