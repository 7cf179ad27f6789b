#include "Scenario.h"

#include "jy_core/config/WallTimeText.h"
#include "jy_runtime/jy_runtime.h"

#include <algorithm>

namespace jy::bench {

namespace {

using namespace std::chrono_literals;
using Json = Fleet::Json;

// Bounds of section 1 of the design page.
constexpr double shareAtRiskBound = 0.05;
constexpr double badVersionStopBoundMs = 3000;
constexpr double backendLeaveBoundMs = 5000;
constexpr double controlBytesBound = 14 * 1024;
constexpr double overheadCoreBound = 0.013;
constexpr double overheadMegabytesBound = 256;

/** Moves use less than the allowed share, so that the hash of a few hundred chats stays below it.
 */
constexpr double canaryShare = 0.03;

/** Five failures in a row are evidence: below one in a million at an error rate of 5 %. */
constexpr std::size_t evidenceAnswers = 5;

std::vector<std::string> chats(int count, int thinkMs, int seconds, double bookingsPerSecond = 0)
{
    return {"--chats=" + std::to_string(count), "--think_ms=" + std::to_string(thinkMs),
            "--seconds=" + std::to_string(seconds),
            "--bookings_per_second=" + std::to_string(bookingsPerSecond)};
}

/** Requests of a load that ended in one of the given ways. */
double ended(const Run &run, const std::string &load, const std::vector<std::string> &ends)
{
    double sum = 0;
    for (const std::string &end : ends) {
        if (const auto *count = run.summaries.at(load).at("ends").as_object().if_contains(end))
            sum += count->to_number<double>();
    }
    return sum;
}

/** Every request must be answered: the remaining capacity suffices. */
Step nothingFails(const std::string &load)
{
    return act("nothing fails", [load](Run &run) {
        run.atMost(
            "failed_requests",
            ended(run, load, {"refused", "interrupted", "truncated", "silent_end", "no_router"}),
            "requests", 0);
    });
}

Step nothingInterrupted(const std::string &load)
{
    return act("nothing interrupted", [load](Run &run) {
        run.atMost("interrupted_requests", ended(run, load, {"interrupted", "truncated"}),
                   "requests", 0);
    });
}

Step domainState(const std::string &mark, const std::string &domain, const std::string &state)
{
    return change(mark, {"domains", domain, "state"}, boost::json::string(state));
}

/** Engines for a new version, started beside the old ones. */
Step startSpares(int count)
{
    return act("start spare engines", [count](Run &run) { run.fleet.startSpareEngines(count); });
}

Step startMove(std::chrono::seconds deadline)
{
    return act("start move", [deadline](Run &run) {
        const std::string finishBy = wallTimeText(std::chrono::floor<std::chrono::milliseconds>(
            std::chrono::system_clock::now() + deadline));
        change(
            "move", {"models", run.fleet.spec().model, "moves", "m1"},
            Json{
                {"from", "v1"}, {"to", "v2"}, {"finishBy", finishBy}, {"canaryShare", canaryShare}})
            .run(run);
        for (const Json &engine : run.fleet.engineCounts())
            run.numbers["v1 before"] += engine.at("started").to_number<double>();
    });
}

double versionField(const Json &engine, const char *field, const char *version)
{
    const auto *value = engine.at(field).as_object().if_contains(version);
    return value != nullptr ? value->to_number<double>() : 0;
}

Step checkBadVersion()
{
    return act("check bad version", [](Run &run) {
        double all = -run.numbers["v1 before"];
        double bad = 0;
        double last = 0;
        std::vector<double> failures;
        for (const Json &engine : run.fleet.engineCounts()) {
            all += engine.at("started").to_number<double>();
            bad += versionField(engine, "started_by_version", "v2");
            last = std::max(last, versionField(engine, "last_start_by_version", "v2"));
            for (const auto &time : engine.at("bad_unix_ms").as_array())
                failures.push_back(time.to_number<double>());
        }
        std::sort(failures.begin(), failures.end());
        run.atMost("share_at_risk", all > 0 ? bad / all : 1, "share", shareAtRiskBound);
        run.atLeast("evidence", static_cast<double>(failures.size()), "answers", evidenceAnswers);
        if (failures.size() >= evidenceAnswers)
            run.atMost("stopped_after_evidence",
                       std::max(0.0, last - failures[evidenceAnswers - 1]), "ms",
                       badVersionStopBoundMs);
    });
}

Scenario badVersion(const std::string &name, const Json &bad)
{
    return {name,
            "fitzroy",
            nullptr,
            {startSpares(6), engines({{"bad", bad}}), load("chats", chats(400, 800, 38)), wait(3s),
             startMove(30s), moveReaches("m1", "taken-back", 32s), checkBadVersion(),
             finish("chats"), noColdOverload()}};
}

/** Value of a counter without labels, or the sum over its labels. */
double metric(Fleet &fleet, int router, const std::string &name)
{
    const auto response =
        fleet.http().request(fleet.operatorEndpoint(router), {.target = "/metrics"}, 3s);
    if (!response)
        throw std::runtime_error("no metrics: " + response.error().message);
    double sum = 0;
    bool found = false;
    const std::string &text = response.value().body;
    for (std::size_t at = 0; at < text.size();) {
        const std::size_t end = std::min(text.find('\n', at), text.size());
        const std::string line = text.substr(at, end - at);
        at = end + 1;
        if (!line.starts_with(name) || (line[name.size()] != ' ' && line[name.size()] != '{'))
            continue;
        sum += std::stod(line.substr(line.rfind(' ') + 1));
        found = true;
    }
    if (!found)
        throw std::runtime_error("the router has no metric " + name);
    return sum;
}

/** Largest growth per second over the routers, of a value that @p read returns. */
double largestRate(Run &run, std::chrono::seconds duration,
                   const std::function<double(Fleet &, int)> &read)
{
    std::vector<double> before;
    before.reserve(static_cast<std::size_t>(run.fleet.routerCount()));
    for (int i = 0; i < run.fleet.routerCount(); ++i)
        before.push_back(read(run.fleet, i));
    EventLoop::sleepFor(duration);
    double largest = 0;
    for (int i = 0; i < run.fleet.routerCount(); ++i) {
        const double growth = read(run.fleet, i) - before[static_cast<std::size_t>(i)];
        largest = std::max(largest, growth / std::chrono::duration<double>(duration).count());
    }
    return largest;
}

Step configurationRounds(int rounds)
{
    return act("configuration rounds", [rounds](Run &run) {
        std::map<int, std::uint64_t> seen;
        double slowest = 0;
        int reverts = 0;
        for (int round = 0; round < rounds; ++round) {
            const auto revision = run.fleet.applyChange({"global", "queueLength"}, 64 + round,
                                                        round % run.fleet.routerCount());
            const auto took = run.fleet.waitInForce(revision, 15s);
            slowest = std::max(slowest, took ? static_cast<double>(took->count()) : 15000.0);
            for (int i = 0; i < run.fleet.routerCount(); ++i) {
                const auto now =
                    run.fleet.routerStatus(i).at("revision").to_number<std::uint64_t>();
                reverts += now < seen[i] ? 1 : 0;
                seen[i] = now;
            }
        }
        run.atMost("slowest_in_force", slowest, "ms", 7000);
        run.atMost("reverts", reverts, "count", 0);
    });
}

Step killRouter(int router)
{
    return act("kill router", [router](Run &run) { run.fleet.router(router).kill(); });
}

Step startRouter(int router)
{
    return act("start router", [router](Run &run) { run.fleet.startRouter(router); });
}

Step shutDownRouter(int router)
{
    return act("shut down router", [router](Run &run) {
        run.fleet.router(router).terminate();
        const auto code = run.fleet.router(router).waitForExit(30s);
        run.atMost("exit_code", code.value_or(255), "code", 0);
    });
}

Step kv(const Json &knobs)
{
    return act("kv", [knobs](Run &run) { run.fleet.kv(knobs); });
}

Step service(const Json &knobs)
{
    return act("service", [knobs](Run &run) { run.fleet.service(knobs); });
}

Step fault(const std::string &link, const Json &rules)
{
    return act("fault " + link, [link, rules](Run &run) { run.fleet.fault(link, rules); });
}

Step someBookingsDone()
{
    return act("some bookings done", [](Run &run) {
        run.atLeast("bookings_done", run.numbers["bookings_done"], "calls", 1);
    });
}

void proxied(FleetSpec &spec)
{
    spec.proxyEngines = true;
}

std::vector<Scenario> serviceScenarios()
{
    return {
        {"domain-drain-return",
         "cedar-drift",
         nullptr,
         {load("chats", chats(90, 500, 32, 5)), wait(5s), domainState("out", "cascadia-2", "out"),
          inForce(), wait(7s), lastWorkInDomain("out", 1),
          domainState("returning", "cascadia-2", "returning"), wait(10s),
          domainState("back", "cascadia-2", "in-service"), finish("chats"), nothingFails("chats"),
          noColdOverload()}},
        {"domain-loss",
         "cedar-drift",
         nullptr,
         {load("chats", chats(90, 500, 30, 5)), wait(5s),
          act("kill domain", [](Run &run) { run.fleet.killDomain(1); }), wait(10s),
          act("restart domain", [](Run &run) { run.fleet.restartDomain(1); }), finish("chats"),
          load("after", chats(30, 300, 5)), finish("after"), nothingFails("after")}},
        {"load-skew",
         "cedar-drift",
         nullptr,
         {load("chats", chats(150, 150, 22)), wait(5s),
          load(
              "surge",
              {"--chats=80", "--think_ms=100", "--seconds=8", "--workspaces=harbour", "--seed=77"}),
          sampleLoadBound(10s), finish("surge"), finish("chats")}},
        {"cold-start",
         "cedar-drift",
         nullptr,
         {load("chats", chats(90, 300, 20)), wait(5s), engines({{"action", "restart"}}), wait(5s),
          engines({{"action", "cold"}}), finish("chats"), noColdOverload()}},
        {"backend-leave",
         "cedar-drift",
         nullptr,
         {load("chats", chats(90, 300, 18)), wait(5s),
          act("leave",
              [](Run &run) {
                  run.marks["leave"] = unixMs();
                  run.fleet.engine(0, {{"action", "leave"}});
              }),
          wait(8s),
          act("last work",
              [](Run &run) {
                  const auto last =
                      run.fleet.engineCounts().front().at("last_start_unix_ms").to_number<double>();
                  run.atMost("work_after_leaving",
                             std::max(0.0, last - static_cast<double>(run.marks["leave"])), "ms",
                             backendLeaveBoundMs);
              }),
          finish("chats"), nothingFails("chats")}},
        {"late-answers",
         "cedar-drift",
         proxied,
         {fault("all", {{"delay_ms", 5}, {"jitter_ms", 60}}), load("chats", chats(90, 300, 15)),
          finish("chats")}},
        {"stream-resume",
         "cedar-drift",
         proxied,
         {load("chats", {"--chats=60", "--think_ms=200", "--seconds=16", "--max_tokens=60"}),
          act("resets",
              [](Run &run) {
                  for (int i = 0; i < 12; ++i) {
                      EventLoop::sleepFor(1s);
                      const std::string link = run.fleet.engineId(i % run.fleet.engineCount());
                      run.fleet.fault(link, {{"reset", true}});
                      run.fleet.fault(link, {{"reset", false}});
                  }
                  double resumed = 0;
                  for (const Json &engine : run.fleet.engineCounts())
                      resumed += engine.at("resumed").to_number<double>();
                  run.atLeast("resumed_streams", resumed, "streams", 1);
              }),
          finish("chats"), nothingInterrupted("chats")}},
    };
}

std::vector<Scenario> rolloutScenarios()
{
    return {
        badVersion("version-bad", {{"version", "v2"}, {"mode", "fail"}}),
        badVersion("version-bad-late", {{"version", "v2"}, {"mode", "fail"}, {"after_ms", 3000}}),
        badVersion("version-bad-route", {{"version", "v2"}, {"mode", "fail"}, {"route", "stream"}}),
        badVersion("version-bad-slow", {{"version", "v2"}, {"mode", "slow"}, {"slow_factor", 20}}),
        {"version-good",
         "fitzroy",
         nullptr,
         {startSpares(9), load("chats", chats(300, 600, 45)), wait(3s), startMove(40s),
          moveReaches("m1", "done", 40s), finish("chats"), nothingFails("chats"),
          noColdOverload()}},
        {"at-most-once",
         "fitzroy",
         nullptr,
         {load("calls", chats(0, 1000, 26, 30)), wait(3s), service({{"lose_answers", 5}}),
          kv({{"lose_write_answers", 5}}), wait(3s), killRouter(2), wait(3s), kv({{"down", true}}),
          wait(3s), kv({{"down", false}}), startRouter(2), wait(2s),
          act("pause", [](Run &run) { run.fleet.router(1).pause(); }), wait(5s),
          act("resume", [](Run &run) { run.fleet.router(1).resume(); }), finish("calls"),
          someBookingsDone()}},
        {"kv-write-rate",
         "fitzroy",
         nullptr,
         {load("calls", chats(0, 1000, 15, 100)), finish("calls"), someBookingsDone(),
          act("refused calls",
              [](Run &run) {
                  run.atMost("kv_calls_refused", run.fleet.kv().at("refused").to_number<double>(),
                             "calls", 0);
              })}},
    };
}

std::vector<Scenario> controlScenarios()
{
    return {
        {"config-propagation", "fitzroy", nullptr, {configurationRounds(12)}},
        {"kv-outage",
         "cedar-drift",
         nullptr,
         {load("chats", chats(60, 400, 25)), load("calls", chats(0, 1000, 25, 10)), wait(4s),
          kv({{"down", true}}), wait(12s), kv({{"down", false}}), wait(2s),
          change("after", {"global", "queueLength"}, 80), inForce(), finish("chats"),
          nothingFails("chats"), finish("calls"), someBookingsDone()}},
        {"router-churn",
         "cedar-drift",
         nullptr,
         {load("chats", chats(90, 400, 32, 5)), wait(4s), killRouter(1), wait(6s), startRouter(1),
          wait(3s), killRouter(4), wait(6s), startRouter(4), finish("chats"), noColdOverload(),
          load("after", chats(30, 300, 5)), finish("after"), nothingFails("after")}},
        {"graceful-shutdown",
         "cedar-drift",
         nullptr,
         {load("chats", {"--chats=90", "--think_ms=300", "--seconds=20", "--max_tokens=40"}),
          wait(4s), shutDownRouter(1), finish("chats"), nothingInterrupted("chats")}},
        {"control-traffic",
         "fitzroy",
         nullptr,
         {load("chats", chats(100, 500, 25)), wait(5s),
          act("control bytes",
              [](Run &run) {
                  const auto bytes = [](Fleet &fleet, int router) {
                      return metric(fleet, router, "jy_control_bytes_total");
                  };
                  run.atMost("control_bytes", largestRate(run, 12s, bytes), "B/s",
                             controlBytesBound);
              }),
          finish("chats")}},
        {"overhead",
         "fitzroy",
         nullptr,
         {wait(5s),
          act("idle usage",
              [](Run &run) {
                  const auto seconds = [](Fleet &fleet, int router) {
                      return fleet.router(router).usage().cpuSeconds;
                  };
                  run.atMost("idle_core_share", largestRate(run, 15s, seconds), "core",
                             overheadCoreBound);
                  double memory = 0;
                  for (int i = 0; i < run.fleet.routerCount(); ++i)
                      memory = std::max(memory, run.fleet.router(i).usage().residentMegabytes);
                  run.atMost("resident", memory, "MB", overheadMegabytesBound);
              })}},
    };
}

} // namespace

const std::vector<Scenario> &scenarios()
{
    static const std::vector<Scenario> all = [] {
        std::vector<Scenario> list = serviceScenarios();
        for (auto more : {rolloutScenarios(), controlScenarios()})
            list.insert(list.end(), more.begin(), more.end());
        return list;
    }();
    return all;
}

} // namespace jy::bench
