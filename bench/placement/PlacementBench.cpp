#include "PlacementBench.h"

#include "LoadModel.h"
#include "jy_base/hashing/StableHash.h"

#include <malloc.h>

#include <algorithm>
#include <iomanip>
#include <string>

namespace jy::bench {

namespace {

using namespace std::chrono_literals;

const TimePoint start{1h};

double percent(int part, int whole)
{
    return 100.0 * part / std::max(1, whole);
}

std::size_t heapBytes()
{
    const auto info = mallinfo2();
    return info.uordblks + info.hblkhd;
}

/** Mean CPU time of one call in ns. */
template <class Function>
double nanosecondsPerCall(int calls, Function &&function)
{
    const auto before = std::chrono::steady_clock::now();
    for (int i = 0; i < calls; ++i)
        function(i);
    const std::chrono::duration<double, std::nano> elapsed =
        std::chrono::steady_clock::now() - before;
    return elapsed.count() / calls;
}

OwnedServerSpec spec(int number)
{
    return {.id = ServerId("engine-" + std::to_string(number)), .pool = "m@r"};
}

void measureServers(std::ostream &out)
{
    out << "owned servers: bytes each, tick ns, reserve+release ns (baseline: a bare counter "
           "map)\n";
    for (const int count : {3, 30, 100, 300}) {
        const auto before = heapBytes();
        auto ledger = std::make_unique<OwnerLedger>(
            LedgerSettings{.self = InstanceId("a"), .incarnation = 1});
        for (int i = 0; i < count; ++i) {
            ledger->acceptHandOff(spec(i), {.server = spec(i).id, .limit = 16, .cold = false},
                                  start);
        }
        const auto bytes = (heapBytes() - before) / static_cast<std::size_t>(count);
        const auto tick = nanosecondsPerCall(2000, [&](int i) { ledger->tick(start + i * 50us); });
        const auto reserve = nanosecondsPerCall(20000, [&](int i) {
            const auto now = start + 100ms + i * 1ms;
            const auto id = spec(i % count).id;
            const auto result = ledger->reserve({.holder = InstanceId("h"), .server = id}, now);
            if (const auto *granted = std::get_if<Granted>(&result))
                (void)ledger->release({.key = granted->key, .server = id, .hasSample = false}, now);
        });
        std::unordered_map<ServerId, int> counters;
        const auto baseline = nanosecondsPerCall(20000, [&](int i) {
            ++counters[spec(i % count).id];
            --counters[spec(i % count).id];
        });
        out << "  " << count << ": " << bytes << " B, " << tick << " ns, " << reserve
            << " ns (baseline " << baseline << " ns)\n";
    }
}

void measureChats(std::ostream &out, std::uint64_t seed)
{
    out << "displaced chats: bytes each, find ns (baseline: unordered_map of hash to id)\n";
    for (const int count : {1000, 4000, 8000, 16000}) {
        auto before = heapBytes();
        ExceptionTable table;
        for (int i = 0; i < count; ++i)
            table.record(stableHash(std::to_string(i), seed), spec(i % 18).id, start);
        const auto bytes = static_cast<double>(heapBytes() - before) / count;
        const auto find = nanosecondsPerCall(100000, [&](int i) {
            (void)table.find(stableHash(std::to_string(i % count), seed), start);
        });
        before = heapBytes();
        std::unordered_map<std::uint64_t, ServerId> plain;
        for (int i = 0; i < count; ++i)
            plain[stableHash(std::to_string(i), seed)] = spec(i % 18).id;
        const auto plainBytes = static_cast<double>(heapBytes() - before) / count;
        out << "  " << count << ": kept " << percent(static_cast<int>(table.size()), count)
            << " %, " << bytes << " B, " << find << " ns (baseline " << plainBytes << " B)\n";
    }
}

void measureRanking(std::ostream &out)
{
    out << "ranking of a pool: candidates() ns (baseline: hash modulo pool size)\n";
    for (const int count : {9, 18, 100, 300}) {
        ServerDirectory directory(RegionId("r"), nullptr);
        auto state = std::make_shared<DesiredState>();
        state->domains[DomainId("a")] = {DomainId("a"), RegionId("r")};
        state->models[ModelId("m")] = {.id = ModelId("m"), .serve = VersionId("v")};
        for (int i = 0; i < 9000; ++i) {
            const WorkspaceId id("w" + std::to_string(i));
            state->workspaces[id] = {.id = id, .models = {ModelId("m")}};
        }
        std::vector<BackendServer> list;
        list.reserve(static_cast<std::size_t>(count));
        for (int i = 0; i < count; ++i) {
            list.push_back({.id = spec(i).id,
                            .domain = DomainId("a"),
                            .region = RegionId("r"),
                            .model = ModelId("m"),
                            .version = VersionId("v")});
        }
        directory.applyInstanceList(list);
        directory.applyDesiredState(state);
        const auto rank = nanosecondsPerCall(20000, [&](int i) {
            (void)directory.candidates({.workspace = WorkspaceId("w" + std::to_string(i % 9000)),
                                        .model = ModelId("m"),
                                        .chatHash = stableHash(std::to_string(i))},
                                       start, WallTime{});
        });
        std::size_t sum = 0;
        const auto modulo = nanosecondsPerCall(20000, [&](int i) {
            sum += stableHash(std::to_string(i)) % static_cast<std::size_t>(count);
        });
        out << "  " << count << ": " << rank << " ns (baseline " << modulo << " ns, checksum "
            << sum % 10 << ")\n";
    }
}

void measureWorkspaces(std::ostream &out)
{
    out << "workspaces in flight at one server: bytes each, reserve+release ns\n";
    for (const int count : {10, 100, 1000, 9000}) {
        auto large = spec(0);
        large.maxConcurrency = count + 1;
        large.loadFloor = count + 1;
        const auto before = heapBytes();
        OwnerLedger ledger({.self = InstanceId("a"), .incarnation = 1});
        ledger.acceptHandOff(
            large, {.server = large.id, .limit = static_cast<double>(count + 1), .cold = false},
            start);
        const auto reserve = [&](int i) {
            return ledger.reserve({.holder = InstanceId("h"),
                                   .server = large.id,
                                   .workspace = WorkspaceId("w" + std::to_string(i))},
                                  start);
        };
        for (int i = 0; i < count; ++i)
            (void)reserve(i);
        const auto bytes = (heapBytes() - before) / static_cast<std::size_t>(count);
        const auto time = nanosecondsPerCall(2000, [&](int i) {
            const auto result = reserve(i % count);
            if (const auto *granted = std::get_if<Granted>(&result)) {
                (void)ledger.release({.key = granted->key, .server = large.id, .hasSample = false},
                                     start);
            }
        });
        out << "  " << count << ": " << bytes << " B (one reservation each), " << time << " ns\n";
    }
}

/** Highest number in flight while both routers receive more requests than they may admit. */
int highestSum(bool recovery, int limit, std::uint64_t seed)
{
    std::mt19937_64 random(seed);
    auto server = spec(0);
    server.loadFloor = 100;
    const HandOffState warm{
        .server = server.id, .limit = static_cast<double>(limit), .cold = false};
    std::array<OwnerLedger, 2> owners{OwnerLedger({.self = InstanceId("a"), .incarnation = 1}),
                                      OwnerLedger({.self = InstanceId("b"), .incarnation = 1})};
    std::array<std::vector<ReservationKey>, 2> held;
    for (auto &owner : owners)
        owner.acceptHandOff(server, warm, start);
    if (recovery) {
        owners[1].handOff(server.id, start);
        owners[1].acquire(server, true, start);
    }
    std::size_t highest = 0;
    for (int step = 0; step < 3000; ++step) { // 3 s of different views
        const auto now = start + step * 1ms;
        const auto which = random() % 2;
        if (random() % 3 > 0) {
            const auto result =
                owners[which].reserve({.holder = InstanceId("h"), .server = server.id}, now);
            if (const auto *granted = std::get_if<Granted>(&result))
                held[which].push_back(granted->key);
        } else if (!held[which].empty()) {
            (void)owners[which].release(
                {.key = held[which].back(), .server = server.id, .hasSample = false}, now);
            held[which].pop_back();
        }
        highest = std::max(highest, held[0].size() + held[1].size());
    }
    return static_cast<int>(highest);
}

void printLoad(std::ostream &out, Policy policy, const LoadFigures &figures)
{
    out << "  " << std::setw(16) << toString(policy) << ": warm "
        << percent(figures.warm, figures.returning) << " % of " << figures.returning
        << " returning, refused " << percent(figures.refused, figures.requests)
        << " %, max/mean load mean " << figures.meanSkew << " highest " << figures.maxSkew
        << ", seconds over bound " << figures.secondsOverBound << '\n';
}

} // namespace

void measureCacheReuse(std::ostream &out, std::uint64_t seed)
{
    for (const int engines : {9, 18}) {
        for (const int interval : {10, 30, 100}) {
            const LoadShape shape{.engines = engines,
                                  .chats = 200 * engines,
                                  .cacheChats = 400,
                                  .requestsPerSecond = 2.8 * engines,
                                  .seconds = 900,
                                  .churnInterval = interval};
            out << "cache reuse, " << engines << " engines, a change every " << interval
                << " s, seed " << seed << '\n';
            for (const auto policy : {Policy::Ideal, Policy::PlainHash, Policy::OwnerAdmitted})
                printLoad(out, policy, runLoad(policy, shape, seed));
        }
    }
}

void measureLoadSkew(std::ostream &out, std::uint64_t seed)
{
    for (const int engines : {9, 18}) {
        const LoadShape shape{.engines = engines,
                              .chats = 1000 * engines,
                              .requestsPerSecond = 2.8 * engines,
                              .seconds = 300,
                              .surgeShare = 0.4,
                              .surgeChats = 8};
        out << "load skew, " << engines << " engines, 40 % of requests from 8 chats, seed " << seed
            << '\n';
        for (const auto policy : {Policy::PlainHash, Policy::OwnerAdmitted})
            printLoad(out, policy, runLoad(policy, shape, seed));
    }
}

void measureCosts(std::ostream &out, std::uint64_t seed)
{
    measureServers(out);
    measureChats(out, seed);
    measureRanking(out);
    measureWorkspaces(out);
}

void measureOwnershipOvershoot(std::ostream &out, std::uint64_t seed)
{
    out << "two owners for 3 s, seed " << seed << ": highest in flight (bound)\n";
    for (const int limit : {2, 4, 8, 16}) {
        out << "  limit " << limit << ": " << highestSum(true, limit, seed) << " ("
            << limit + std::max(1, limit / 4) << "), without recovery "
            << highestSum(false, limit, seed) << '\n';
    }
}

} // namespace jy::bench
