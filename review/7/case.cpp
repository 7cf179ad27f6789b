// The store cuts waiting watches; meanwhile a replica leaves without reporting it.
#include "Fleet.h"

#include <cstdio>

using namespace review;
using std::chrono::seconds;

namespace {

// drain_ms, and time for a request that was sent at the bound to arrive.
constexpr milliseconds drain{2000};
constexpr milliseconds onTheWay{100};

// The replica serves for drain_ms and a little longer, then its process ends.
constexpr milliseconds servesOn{3000};

// Each machine's waiting watch is cut twice, at least this long apart.
constexpr milliseconds cutPeriod{1000};
constexpr int cutsOfMachine = 2;

} // namespace

int main(int, char **arguments)
{
    Record record(arguments[1]);
    Store store(8);
    Gateways gateways(store, record, smallDeployment());
    store.put("op/config", config(7, {{"r-book", "/book/", "unsafe", "school-app"}}));
    Replica first(store, record, {.id = "i-first", .service = "school-app", .zone = "cascadia-a"});
    Replica second(store, record,
                   {.id = "i-second", .service = "school-app", .zone = "cascadia-b"});
    Replica leaving(store, record,
                    {.id = "i-leaving",
                     .service = "school-app",
                     .zone = "cascadia-c",
                     .work = milliseconds(200)});
    if (!gateways.awaitReady())
        return 2;
    std::this_thread::sleep_for(seconds(4));

    std::atomic<bool> stop{false};
    std::atomic<int> failed{0};
    std::vector<std::thread> clients;
    for (int client = 0; client < 3 * gateways.count(); ++client) {
        const int machine = client % gateways.count();
        clients.emplace_back([&, machine] {
            Connection connection(gateways.front(machine));
            while (!stop) {
                const auto attempt = newAttempt();
                record.note("sent " + attempt + " to " + gateways.name(machine));
                const auto response = connection.send(
                    clientRequest("POST", "/book/1", attempt, "key-a"), milliseconds(3000));
                record.note("answered " + attempt + ' '
                            + (response ? std::to_string(response->status) : "not at all"));
                failed += response && response->status == 200 ? 0 : 1;
                std::this_thread::sleep_for(milliseconds(50));
            }
        });
    }
    if (trouble())
        store.cutWatches(cutPeriod, cutsOfMachine);
    std::this_thread::sleep_for(milliseconds(900));
    const auto removed = leaving.leaveUnannounced();
    std::this_thread::sleep_for(servesOn);
    leaving.exit();
    std::this_thread::sleep_for(seconds(2));
    stop = true;
    for (auto &client : clients)
        client.join();

    int late = 0;
    double latest = 0;
    for (const auto &run : leaving.runs()) {
        const auto after = std::chrono::duration<double>(run.arrived - removed).count();
        if (run.arrived - removed <= drain + onTheWay)
            continue;
        ++late;
        latest = std::max(latest, after);
        record.note("DRAIN: " + run.attempt + " reached " + leaving.id() + ' '
                    + std::to_string(after) + " s after the acknowledgement");
    }
    record.note(std::to_string(late)
                + " requests reached the replica later than drain_ms, the last "
                + std::to_string(latest) + " s after; " + std::to_string(failed)
                + " requests failed, " + std::to_string(store.cuts()) + " watches cut");
    std::printf("late %d, the last %.2f s after the acknowledgement, failed %d\n", late, latest,
                failed.load());
    for (int machine = 0; machine < gateways.count(); ++machine) {
        if (gateways.ended(machine))
            return 2;
    }
    return late > 0 ? 1 : 0;
}
