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

/** Statuses that promise that the request has not run and will not. */
bool promisesNotRun(int status)
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

void Ledger::left(const std::string &id, TimePoint at)
{
    records_.at(id).leftAt = at;
}

void Ledger::arrived(const Arrival &arrival)
{
    const auto found = records_.find(arrival.id);
    if (found == records_.end()) {
        note("UNASKED", "id=" + arrival.id + " server=" + arrival.server + " nobody sent it");
        return;
    }
    auto &record = found->second;
    const auto &call = record.call;
    if (arrival.path != call.path || arrival.body != call.body)
        broken("UNASKED", record, "path or body changed");
    if (arrival.workspace != call.workspace || arrival.hasKey)
        broken("UNASKED", record, "workspace '" + arrival.workspace + "', or the key passed on");
    if (record.arrived) {
        repeats_.push_back(arrival.at);
        checkRepeats(arrival.at);
    }
    record.arrived = true;
    const auto gone = withdrawn_.find(arrival.server);
    if (gone != withdrawn_.end() && arrival.at > gone->second + bounds_.drain
        && inTouch(record, arrival.at))
        broken("DRAIN", record,
               "reached " + arrival.server + ' ' + inMilliseconds(arrival.at - gone->second)
                   + " after it was withdrawn");
    if (record.leftAt && arrival.at > *record.leftAt + bounds_.leaveSlack
        && inTouch(record, arrival.at))
        broken("GONE", record, "reached " + arrival.server + " after its caller had left");
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
        broken("TWICE", record, "run " + std::to_string(record.runs.size()) + " times");
    if (!mayRepeat(record.call.kind) && record.refused)
        broken("REFUSED", record, "runs at " + arrival.server + " after a refusal");
    if (std::cmp_greater(record.servers.size(), record.call.maxServers))
        broken("BUDGET", record,
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
    if (record.leftAt && at > *record.leftAt + bounds_.leaveSlack && mayRepeat(record.call.kind)
        && inTouch(record, at) && disturbances_.calm(run.server, record.call.sent, at))
        broken("GONE", record,
               "work went on for " + inMilliseconds(at - *record.leftAt) + " without a caller");
}

void Ledger::answered(const std::string &id, const Answer &answer)
{
    auto &record = records_.at(id);
    if (isSuccess(answer.status))
        ++counts_.served;
    else if (promisesNotRun(answer.status))
        ++counts_.refused;
    else
        ++counts_.failed;
    record.refused = promisesNotRun(answer.status) && answer.seal.empty();
    checkAnswer(record, answer);
    checkTime(record, answer);
    if (answer.status == 0 && answer.closed)
        checkLost(record);
    checkServed(record, answer);
}

void Ledger::checkAnswer(const Record &record, const Answer &answer)
{
    if (record.refused && !mayRepeat(record.call.kind) && !record.runs.empty())
        broken("REFUSED", record, "status " + std::to_string(answer.status) + " but it has run");
    const auto run = record.runs.find(answer.seal);
    if (isSuccess(answer.status) && run == record.runs.end()) {
        broken("MIXED", record, "success without the mark of a run, seal '" + answer.seal + "'");
        return;
    }
    if (run == record.runs.end())
        return;
    // A stream is checked event by event by its caller.
    if (run->second.status != 0 && run->second.status != answer.status)
        broken("MIXED", record,
               "status " + std::to_string(answer.status) + " instead of "
                   + std::to_string(run->second.status));
    if (!isStream(record.call.kind) && isSuccess(answer.status) && answer.text != run->second.text)
        broken("MIXED", record, "body of " + std::to_string(answer.text.size()) + " bytes");
}

void Ledger::checkTime(const Record &record, const Answer &answer)
{
    if (record.leftAt)
        return;
    const auto late = answer.at - record.call.sent - record.call.allowed;
    if (late > bounds_.answerSlack && inTouch(record, answer.at) && !isStream(record.call.kind))
        broken("HELD", record, "final answer " + inMilliseconds(late) + " past the time allowed");
    const bool denied = answer.status >= firstRedirect && answer.status < firstServerError
        && !promisesNotRun(answer.status) && answer.seal.empty();
    if (denied && !record.call.probe && inTouch(record, answer.at))
        broken("DENIED", record, "status " + std::to_string(answer.status));
}

void Ledger::checkLost(const Record &record)
{
    const auto now = std::chrono::steady_clock::now();
    if (!record.runs.empty() && !record.leftAt
        && disturbances_.calmEverywhere(record.call.sent - bounds_.stableWindow, now, true))
        broken("LOST", record, "connection closed without an answer");
}

void Ledger::checkServed(const Record &record, const Answer &answer)
{
    // The load is far below what the servers bear, so only trouble excuses a failure.
    if (!isSuccess(answer.status) && !record.call.probe && !record.leftAt
        && disturbances_.calmEverywhere(record.call.sent - bounds_.stableWindow, answer.at))
        broken("CALM", record, "status " + std::to_string(answer.status) + " without any trouble");
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
    // The budget counts the requests of this window, the one before or the one between them.
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

bool Ledger::inTouch(const Record &record, TimePoint at) const
{
    const auto from = at - bounds_.stableWindow;
    return disturbances_.calm(record.call.instance, from, at)
        && disturbances_.calm("store", from, at);
}

void Ledger::broken(std::string_view rule, const Record &record, const std::string &text) const
{
    std::string runs;
    for (const auto &[seal, run] : record.runs)
        runs += (runs.empty() ? "" : ",") + run.server;
    report_({rule,
             "id=" + record.call.id + " instance=" + record.call.instance + " path="
                 + record.call.path + " ran_at=" + (runs.empty() ? "none" : runs) + ' ' + text});
}

} // namespace jy::soak
