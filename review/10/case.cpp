// All machines but one are lost; the directory of the one that is left goes on naming them.
#include "Fleet.h"

#include <csignal>
#include <cstdio>

using namespace review;
using std::chrono::seconds;

namespace {

// stable_window_ms + 3 s.
constexpr milliseconds named{6000};

} // namespace

int main(int, char **arguments)
{
    Record record(arguments[1]);
    Store store(8);
    Gateways gateways(store, record, smallDeployment());
    store.put("op/config", config(7, {{"r-book", "/book/", "unsafe", "school-app"}}));
    Replica first(store, record, {.id = "i-first", .service = "school-app", .zone = "cascadia-a"});
    if (!gateways.awaitReady())
        return 2;
    std::this_thread::sleep_for(seconds(8));
    const int left = 3;
    const auto killed = Clock::now();
    if (trouble()) {
        for (int machine = 0; machine < gateways.count(); ++machine) {
            if (machine != left)
                gateways.signal(machine, SIGKILL);
        }
    }
    const auto lastKilled = Clock::now();
    std::this_thread::sleep_until(lastKilled + named);
    int wrong = 0;
    int answers = 0;
    double latest = 0;
    while (Clock::now() < killed + seconds(12)) {
        Connection connection(gateways.directory(left));
        const auto asked = Clock::now();
        const auto response = connection.send(
            {"GET",
             "/jacinthyoke/resolve?name=ficu95.example&region=cascadia&zone=cascadia-b",
             {{"Host", "directory"}, {"Connection", "close"}},
             ""},
            milliseconds(1000));
        const auto after = std::chrono::duration<double>(asked - lastKilled).count();
        record.note("answered: " + (response ? response->body : "not at all"));
        answers += response && response->status == 200 ? 1 : 0;
        int dead = 0;
        for (int machine = 0; response && trouble() && machine < gateways.count(); ++machine) {
            if (machine != left)
                dead +=
                    response->body.find('"' + gateways.front(machine) + '"') != std::string::npos
                    ? 1
                    : 0;
        }
        if (dead > 0) {
            ++wrong;
            latest = after;
            record.note("DRAIN: names " + std::to_string(dead) + " machines that were killed "
                        + std::to_string(after) + " s before");
        }
        std::this_thread::sleep_for(milliseconds(200));
    }
    std::printf("%d of %d answers name killed machines, the last %.2f s after\n", wrong, answers,
                latest);
    if (answers == 0)
        return 2;
    return wrong > 3 ? 1 : 0;
}
