#include "Scenario.h"

#include "jy_runtime/jy_runtime.h"

#include <algorithm>
#include <cmath>
#include <limits>
#include <stdexcept>

namespace jy::bench {

namespace {

using Json = Fleet::Json;
using std::chrono::milliseconds;

// Bounds of section 1 of the design page.
constexpr double firstTokenBoundMs = 1400;
constexpr double betweenTokensBoundMs = 26;
constexpr double inForceBoundMs = 7000;
constexpr double domainOutBoundMs = 5000;
constexpr double loadMultiple = 1.25;
constexpr int loadFloor = 4;

double number(const Json &json, const char *name)
{
    return json.at(name).to_number<double>();
}

/** Checks every booking against what the service really ran. */
void checkBookings(Run &run, const Json &bookings)
{
    if (bookings.empty())
        return;
    const Json runs = run.fleet.serviceRuns();
    int duplicates = 0;
    int falselyNotRun = 0;
    int done = 0;
    int falselyDone = 0;
    for (const auto &[key, count] : runs)
        duplicates += count.to_number<int>() > 1 ? 1 : 0;
    for (const auto &[key, outcome] : bookings) {
        const bool ran = runs.contains(key);
        done += outcome == "done" ? 1 : 0;
        falselyNotRun += outcome == "not_run" && ran ? 1 : 0;
        falselyDone += outcome == "done" && !ran ? 1 : 0;
    }
    run.atMost("duplicate_runs", duplicates, "calls", 0);
    run.atMost("not_run_but_ran", falselyNotRun, "calls", 0);
    run.atMost("done_but_not_run", falselyDone, "calls", 0);
    run.numbers["bookings_done"] = done;
    run.numbers["bookings"] = static_cast<double>(bookings.size());
}

Json moveStatus(Fleet &fleet, const std::string &move)
{
    for (int i = 0; i < fleet.routerCount(); ++i) {
        try {
            const Json status = fleet.routerStatus(i);
            for (const auto &entry : status.at("moves").as_array()) {
                if (entry.at("id").as_string() == move)
                    return entry.as_object();
            }
        } catch (const std::exception &) {
            continue;
        }
    }
    return {};
}

} // namespace

std::int64_t unixMs()
{
    return std::chrono::duration_cast<milliseconds>(
               std::chrono::system_clock::now().time_since_epoch())
        .count();
}

Step act(const std::string &name, const std::function<void(Run &)> &action)
{
    return {name, action};
}

Step wait(milliseconds duration)
{
    return {"wait", [duration](Run &) { EventLoop::sleepFor(duration); }};
}

Step load(const std::string &name, const std::vector<std::string> &flags)
{
    return {"load " + name,
            [name, flags](Run &run) { run.loads[name] = run.fleet.startLoad(name, flags); }};
}

Step finish(const std::string &name)
{
    return {"finish " + name, [name](Run &run) {
                const Json summary = run.fleet.finishLoad(*run.loads.at(name), name);
                run.summaries[name] = summary;
                const Json &violations = summary.at("violations").as_object();
                for (const auto &[kind, count] : violations)
                    run.atMost(std::string(kind), count.to_number<double>(), "count", 0);
                run.atMost("unfinished", number(summary, "unfinished"), "count", 0);
                if (number(summary, "chats") > 0) {
                    // A summary without complete chats has no latency to check.
                    run.atLeast("complete_chats", number(summary, "complete_chats"), "count", 1);
                    run.atMost("first_token_p95",
                               number(summary.at("first_token_ms").as_object(), "p95"), "ms",
                               firstTokenBoundMs);
                    run.atMost("between_tokens_p95",
                               number(summary.at("between_tokens_ms").as_object(), "p95"), "ms",
                               betweenTokensBoundMs);
                }
                checkBookings(run, summary.at("bookings").as_object());
            }};
}

Step change(const std::string &mark, const std::vector<std::string> &path,
            const boost::json::value &value)
{
    return {"change " + path.back(), [mark, path, value](Run &run) {
                run.revision = run.fleet.applyChange(path, value);
                run.marks[mark] = unixMs();
            }};
}

Step inForce()
{
    return {"in force", [](Run &run) {
                const auto took = run.fleet.waitInForce(run.revision, milliseconds(15000));
                run.atMost("in_force", took ? static_cast<double>(took->count()) : 15000, "ms",
                           inForceBoundMs);
            }};
}

Step engines(const Json &knobs)
{
    return {"engines", [knobs](Run &run) { run.fleet.engine(-1, knobs); }};
}

Step noColdOverload()
{
    return {"no cold overload", [](Run &run) {
                double overloads = 0;
                for (const Json &engine : run.fleet.engineCounts())
                    overloads += number(engine, "cold_overloads");
                run.atMost("cold_overloads", overloads, "requests", 0);
            }};
}

Step lastWorkInDomain(const std::string &mark, int domain)
{
    return {"last work in domain", [mark, domain](Run &run) {
                double last = 0;
                for (const Json &engine : run.fleet.engineCounts()) {
                    if (engine.at("domain").as_string() == run.fleet.domainName(domain))
                        last = std::max(last, number(engine, "last_start_unix_ms"));
                }
                run.atMost("work_in_out_domain",
                           std::max(0.0, last - static_cast<double>(run.marks.at(mark))), "ms",
                           domainOutBoundMs);
            }};
}

Step moveReaches(const std::string &move, const std::string &state, milliseconds timeout)
{
    return {"move reaches " + state, [move, state, timeout](Run &run) {
                std::string last = "unknown";
                const auto reached = [&] {
                    const Json status = moveStatus(run.fleet, move);
                    if (!status.empty())
                        last = status.at("state").as_string();
                    return last == state;
                };
                const auto took = Fleet::waitUntil(reached, timeout);
                run.atMost("move_" + state,
                           took ? static_cast<double>(took->count())
                                : std::numeric_limits<double>::infinity(),
                           "ms", static_cast<double>(timeout.count()));
                if (!took)
                    throw std::runtime_error("the move is " + last + ", not " + state);
            }};
}

Step sampleLoadBound(milliseconds duration)
{
    return {"load bound", [duration](Run &run) {
                const TimePoint end = std::chrono::steady_clock::now() + duration;
                double previousTotal = 0;
                std::vector<double> previous;
                int over = 0;
                double worst = 0;
                while (std::chrono::steady_clock::now() < end) {
                    std::vector<double> running;
                    double total = 0;
                    for (const Json &engine : run.fleet.engineCounts()) {
                        running.push_back(number(engine, "running") + number(engine, "waiting"));
                        total += running.back();
                    }
                    // The engines are read one after the other, so a load counts as excessive only
                    // if it lasts for two samples and exceeds the bound of both.
                    const double mean =
                        (std::max(total, previousTotal) + 1) / static_cast<double>(running.size());
                    const double bound =
                        std::max<double>(loadFloor, std::ceil(loadMultiple * mean));
                    for (std::size_t i = 0; i < running.size() && i < previous.size(); ++i) {
                        const double lasting = std::min(running[i], previous[i]);
                        worst = std::max(worst, lasting / bound);
                        over += lasting > bound ? 1 : 0;
                    }
                    previous = running;
                    previousTotal = total;
                    EventLoop::sleepFor(milliseconds(20));
                }
                run.numbers["worst_load_share"] = worst;
                run.atMost("samples_over_load_bound", over, "samples", 0);
            }};
}

} // namespace jy::bench
