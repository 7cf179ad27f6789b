#include "Ledger.h"

#include <algorithm>
#include <utility>

namespace jy::soak {

namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr int firstSuccess = 200;
constexpr int firstRedirect = 300;
constexpr int firstServerError = 500;

bool isSuccess(int status)
{
    return status >= firstSuccess && status < firstRedirect;
}

/** Statuses that guarantee that the request has not run and never will. */
bool guaranteesNotRun(int status)
{
    return status == 408 || status == 421 || status == 429 || status == 503;
}

void dropBefore(std::deque<TimePoint> &times, TimePoint start)
{
    while (!times.empty() && times.front() < start)
        times.pop_front();
}

std::string inMilliseconds(Duration duration)
{
    return std::to_string(std::chrono::duration_cast<milliseconds>(duration).count()) + " ms";
}

} // namespace

Ledger::Ledger(const Disturbances &disturbances, Bounds bounds, Report report)
    : disturbances_(disturbances)
    , bounds_(bounds)
    , report_(std::move(report))
{ }

void Ledger::sent(const Call &call)
{
    ++counts_.calls;
    calls_.push_back(call.sent);
    records_[call.id].call = call;
}

void Ledger::callerLeft(const std::string &id, TimePoint at)
{
    records_.at(id).callerLeftAt = at;
}

void Ledger::arrived(const Arrival &arrival)
{
    const auto found = records_.find(arrival.id);
    if (found == records_.end()) {
        note("UNASKED", "id=" + arrival.id + " server=" + arrival.server + " no caller sent it");
        return;
    }
    auto &record = found->second;
    const auto &call = record.call;
    if (arrival.path != call.path || arrival.body != call.body)
        reportViolation("UNASKED", record, "path or body changed");
    if (arrival.workspace != call.workspace || arrival.hasKey)
        reportViolation("UNASKED", record,
                        "workspace '" + arrival.workspace + "', or the key forwarded");
    if (record.arrived) {
        repeats_.push_back(arrival.at);
        checkRepeats(arrival.at);
    }
    record.arrived = true;
    const auto gone = withdrawn_.find(arrival.server);
    if (gone != withdrawn_.end() && arrival.at > gone->second + bounds_.drain
        && isUndisturbed(record, arrival.at))
        reportViolation("DRAIN", record,
                        "reached " + arrival.server + ' '
                            + inMilliseconds(arrival.at - gone->second)
                            + " after it was withdrawn");
    if (record.callerLeftAt && arrival.at > *record.callerLeftAt + bounds_.leaveSlack
        && isUndisturbed(record, arrival.at))
        reportViolation("GONE", record, "reached " + arrival.server + " after its caller had left");
    checkCold(arrival);
}

void Ledger::runs(const Arrival &arrival, const std::string &seal)
{
    ++counts_.runs;
    const auto found = records_.find(arrival.id);
    if (found == records_.end())
        return;
    auto &record = found->second;
    record.runs[seal] = {arrival.server, 0, {}};
    record.servers.insert(arrival.server);
    if (!mayRepeat(record.call.kind) && record.runs.size() > 1)
        reportViolation("TWICE", record, "run " + std::to_string(record.runs.size()) + " times");
    if (!mayRepeat(record.call.kind) && record.refused)
        reportViolation("REFUSED", record, "runs at " + arrival.server + " after a refusal");
    if (std::cmp_greater(record.servers.size(), record.call.maxServers))
        reportViolation("BUDGET", record,
                        "runs at " + std::to_string(record.servers.size()) + " servers of "
                            + std::to_string(record.call.maxServers));
}

void Ledger::finished(const std::string &id, const std::string &seal, int status,
                      const std::string &text, TimePoint at)
{
    const auto found = records_.find(id);
    if (found == records_.end())
        return;
    auto &record = found->second;
    auto &run = record.runs[seal];
    run.status = status;
    run.text = text;
    if (record.callerLeftAt && at > *record.callerLeftAt + bounds_.leaveSlack
        && mayRepeat(record.call.kind) && isUndisturbed(record, at)
        && disturbances_.undisturbed(run.server, record.call.sent, at))
        reportViolation("GONE", record,
                        "work went on for " + inMilliseconds(at - *record.callerLeftAt)
                            + " without a caller");
}

void Ledger::answered(const std::string &id, const CallResult &result)
{
    auto &record = records_.at(id);
    if (isSuccess(result.status))
        ++counts_.served;
    else if (guaranteesNotRun(result.status))
        ++counts_.refused;
    else
        ++counts_.failed;
    record.refused = guaranteesNotRun(result.status) && result.seal.empty();
    checkResult(record, result);
    checkTime(record, result);
    if (result.status == 0 && result.closed)
        checkLost(record);
    checkServed(record, result);
}

void Ledger::checkResult(const Record &record, const CallResult &result)
{
    if (record.refused && !mayRepeat(record.call.kind) && !record.runs.empty())
        reportViolation("REFUSED", record,
                        "status " + std::to_string(result.status) + " but it has run");
    const auto run = record.runs.find(result.seal);
    if (isSuccess(result.status) && run == record.runs.end()) {
        reportViolation("MIXED", record,
                        "success without the mark of a run, seal '" + result.seal + "'");
        return;
    }
    if (run == record.runs.end())
        return;
    // The caller checks the events of a stream itself.
    if (run->second.status != 0 && run->second.status != result.status)
        reportViolation("MIXED", record,
                        "status " + std::to_string(result.status) + " instead of "
                            + std::to_string(run->second.status));
    if (!isStream(record.call.kind) && isSuccess(result.status) && result.text != run->second.text)
        reportViolation("MIXED", record,
                        "body of " + std::to_string(result.text.size()) + " bytes");
}

void Ledger::checkTime(const Record &record, const CallResult &result)
{
    if (record.callerLeftAt)
        return;
    const auto late = result.at - record.call.sent - record.call.allowed;
    if (late > bounds_.answerSlack && isUndisturbed(record, result.at)
        && !isStream(record.call.kind))
        reportViolation("HELD", record,
                        "final response " + inMilliseconds(late) + " past the time allowed");
    const bool denied = result.status >= firstRedirect && result.status < firstServerError
        && !guaranteesNotRun(result.status) && result.seal.empty();
    if (denied && !record.call.probe && isUndisturbed(record, result.at))
        reportViolation("DENIED", record, "status " + std::to_string(result.status));
}

void Ledger::checkLost(const Record &record)
{
    const auto now = std::chrono::steady_clock::now();
    if (!record.runs.empty() && !record.callerLeftAt
        && disturbances_.undisturbedEverywhere(record.call.sent - bounds_.stableWindow, now, true))
        reportViolation("LOST", record, "connection closed without a response");
}

void Ledger::checkServed(const Record &record, const CallResult &result)
{
    // The load is far below the servers' capacity, so only a disturbance excuses a failure.
    if (!isSuccess(result.status) && !record.call.probe && !record.callerLeftAt
        && disturbances_.undisturbedEverywhere(record.call.sent - bounds_.stableWindow, result.at))
        reportViolation("CALM", record,
                        "status " + std::to_string(result.status) + " without any disturbance");
}

void Ledger::checkCold(const Arrival &arrival)
{
    const auto cold = coldUntil_.find(arrival.server);
    if (cold == coldUntil_.end() || arrival.at > cold->second)
        return;
    auto &times = coldArrivals_[arrival.server];
    times.push_back(arrival.at);
    dropBefore(times, arrival.at - seconds(1));
    if (std::cmp_equal(times.size(), bounds_.coldRequests + 1))
        note("FAILBACK",
             "server=" + arrival.server + " got " + std::to_string(times.size())
                 + " requests in one second while cold");
}

void Ledger::checkRepeats(TimePoint now)
{
    dropBefore(repeats_, now - bounds_.repeatWindow);
    dropBefore(calls_, now - 2 * bounds_.repeatWindow);
    // The retry budget may count the requests of this window, of the one before, or of the window
    // that overlaps half of each.
    std::ptrdiff_t most = 0;
    for (const auto shift :
         {Duration(0), Duration(bounds_.repeatWindow) / 2, Duration(bounds_.repeatWindow)}) {
        const auto to = now - shift;
        const auto from = to - bounds_.repeatWindow;
        most = std::max(most, std::ranges::count_if(calls_, [&](TimePoint sent) {
                            return from <= sent && sent <= to;
                        }));
    }
    if (static_cast<double>(repeats_.size())
        > bounds_.repeatShare * static_cast<double>(most) + bounds_.repeatSlack)
        note("BUDGET", std::to_string(repeats_.size()) + " repeats in ten seconds");
}

bool Ledger::isUndisturbed(const Record &record, TimePoint at) const
{
    const auto from = at - bounds_.stableWindow;
    return disturbances_.undisturbed(record.call.instance, from, at)
        && disturbances_.undisturbed("store", from, at);
}

void Ledger::reportViolation(std::string_view rule, const Record &record,
                             const std::string &text) const
{
    std::string runs;
    for (const auto &[seal, run] : record.runs)
        runs += (runs.empty() ? "" : ",") + run.server;
    report_({rule,
             "id=" + record.call.id + " instance=" + record.call.instance + " path="
                 + record.call.path + " ran_at=" + (runs.empty() ? "none" : runs) + ' ' + text});
}

} // namespace jy::soak
