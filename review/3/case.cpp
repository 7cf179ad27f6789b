// Case 3: a request whose body says how it is coded, but not in a way that the gateway knows, with
// another request inside its body.

#include "../standins/Deployment.h"

#include <array>
#include <set>

namespace {

using namespace review;
using std::chrono::seconds;

constexpr std::string_view config =
    R"({"version":7,"routes":[)"
    R"({"name":"note","host":"app.example","prefix":"/note/","route_kind":"unsafe",)"
    R"("service":"app","timeout_ms":3000,"target_latency_ms":300,"max_attempts":1,"priority":1},)"
    R"({"name":"booking","host":"app.example","prefix":"/booking/","route_kind":"unsafe",)"
    R"("service":"app","timeout_ms":3000,"target_latency_ms":300,"max_attempts":1,"priority":1}],)"
    R"("services":[{"name":"app","max_connections":110}],)"
    R"("limits":{"max_header_bytes":16384,"max_body_bytes":1048576,"header_timeout_ms":5000,)"
    R"("idle_timeout_ms":15000},)"
    R"("tenants":[{"name":"alpha","api_keys":["key-alpha"]},{"name":"beta","api_keys":["key-beta"]}]})";

// Codings of which chunked is not the last one; RFC 9112, section 6.3 asks for 400 and a closed
// connection.
constexpr std::array codings = {"gzip", "identity", "chunked, identity", "xchunked"};

/** Runs at the servers, by attempt id. */
struct Runs
{
    std::mutex mutex;
    std::set<std::string> ids;
};

Verdict run(Record &record)
{
    const TemporaryFolder folder;
    auto &store = *new Store;
    auto &runs = *new Runs;
    store.put("op/config", std::string(config));
    for (int i = 1; i <= 3; ++i) {
        const auto id = "i-" + std::to_string(i);
        new Server(store, id, "app", "zone-" + std::to_string(i), 6,
                   [&, id](const Message &request, Connection &out) {
                       const auto attempt = request.value("Jacinthyoke-Attempt-Id");
                       {
                           const std::lock_guard lock(runs.mutex);
                           runs.ids.insert(attempt);
                       }
                       record.line("server " + id + " runs " + request.startLine + ", id " + attempt
                                   + ", tenant " + request.value("Jacinthyoke-Tenant") + ", body of "
                                   + std::to_string(request.body.size()) + " bytes");
                       pause(milliseconds(20));
                       out.write(response(200,
                                          "Jacinthyoke-Attempt-Id: " + attempt
                                              + "\r\nJacinthyoke-Replica-Seal: " + id + "\r\n",
                                          "done"));
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

    // The request that a user of the client has put into a note; it names another tenant's key.
    const auto inner = [](int number) {
        return "POST /booking/1 HTTP/1.1\r\nHost: app.example\r\nJacinthyoke-Attempt-Id: inside-"
            + std::to_string(number)
            + "\r\nJacinthyoke-Credential: key-beta\r\nContent-Length: 0\r\n\r\n";
    };
    int number = 0;
    std::set<std::string> sent;
    for (const auto &gateway : gateways) {
        for (const std::string coding : codings) {
            ++number;
            const auto body = inner(number);
            const auto id = "note-" + std::to_string(number);
            sent.insert(id);
            std::string message = "POST /note/1 HTTP/1.1\r\nHost: app.example\r\nJacinthyoke-Attempt-Id: "
                + id + "\r\nJacinthyoke-Deadline-Ms: 3000\r\nJacinthyoke-Credential: key-alpha\r\n";
            if (withTrouble())
                message += "Transfer-Encoding: " + coding + "\r\n\r\n" + body;
            else if (number % 2 == 0)
                message += "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
            else {
                char size[16];
                std::snprintf(size, sizeof size, "%zx\r\n", body.size());
                message += "Transfer-Encoding: chunked\r\n\r\n" + (size + body) + "\r\n0\r\n\r\n";
            }
            const auto connection = Connection::open(gateway->caller);
            if (!connection || !connection->write(message))
                return couldNotRun;
            record.line("client sends " + id + " to " + gateway->name()
                        + (withTrouble() ? ", Transfer-Encoding: " + coding : ""));
            const auto until = Clock::now() + seconds(1);
            while (const auto answer = connection->read(until, true))
                record.line("client: " + id + ": " + answer->startLine + ", for the id "
                            + answer->value("Jacinthyoke-Attempt-Id"));
        }
    }
    const std::lock_guard lock(runs.mutex);
    const auto smuggled = std::ranges::count_if(
        runs.ids, [&](const std::string &id) { return !sent.contains(id); });
    record.line(std::to_string(smuggled) + " requests ran that no client sent, out of "
                + std::to_string(runs.ids.size()));
    return smuggled > 0 ? broken : held;
}

} // namespace

int main(int, char **arguments)
{
    review::runCase(arguments[1], "UNASKED", run);
}
