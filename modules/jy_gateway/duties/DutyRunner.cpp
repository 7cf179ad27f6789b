#include "jy_gateway/duties/DutyRunner.h"

#include "jy_base/errors/ErrorTable.h"
#include "jy_base/hashing/StableHash.h"
#include "jy_base/time/BootClock.h"
#include "jy_gateway/duties/UsageJson.h"
#include "jy_gateway/registry/InstanceRanking.h"
#include "jy_runtime/fibers/EventLoop.h"
#include "jy_runtime/logging/Log.h"

#include <algorithm>

namespace jy {

namespace {

using std::chrono::milliseconds;
using SteadyClock = std::chrono::steady_clock;

// Keys of the shared store. Only holders read these, so copies of the store leave them out.
const std::string stateKeys(dutyStateKeys);
const std::string reportsKey = stateKeys + "usage-reports";
const std::string snapshotKey = stateKeys + "usage-open";

// Instances that collect the usage counts; all but one may end at the same time.
constexpr std::size_t collectorCount = 3;

constexpr milliseconds leasePeriod{100};
constexpr milliseconds callPeriod{100};

// Steps of the usage reports without a pause; two for each window.
constexpr int maxStepsAtOnce = 8;

// Pause after a failed call to the store.
constexpr milliseconds storeRetryPause{400};

// Time from the start until an instance may acquire the duties: by then it knows the others.
constexpr milliseconds startupTime{2000};

// The collectors try to acquire vacant duties in the order of their rank, this much apart.
constexpr milliseconds rankDelay{400};

// Other instances try only if no collector has, at different times, so that few of them meet.
constexpr milliseconds outsiderDelay{4000};
constexpr milliseconds outsiderSpread{4000};

// Period of usage messages. It grows with the fleet, so that collectors receive a bounded number.
constexpr milliseconds minCountsPeriod{500};
constexpr milliseconds countsPeriodPerInstance{7};

// Largest encoded size of the counts in one message.
constexpr std::size_t maxCountsBytes = 1200;

// Period of snapshots, and the size above which they become rarer.
constexpr milliseconds minSnapshotPeriod{1000};
constexpr std::size_t snapshotBytesPerSecond = 8 * 1024;

// Pause after an order of servers that was not accepted.
constexpr milliseconds orderRetryPause{1000};

std::uint64_t sumOf(const WorkspaceCounts &counts)
{
    std::uint64_t sum = 0;
    for (const auto &[workspace, count] : counts)
        sum += count;
    return sum;
}

/** Label of a call's result in the metrics. */
std::string resultName(const Result<void> &result)
{
    return std::string(result ? "accepted" : answerFor(result.error().kind).name);
}

} // namespace

DutyRunner::DutyRunner(DutyDependencies dependencies, const RegisteredInstance &self,
                       std::uint64_t incarnation, DutySettings settings)
    : dependencies_(std::move(dependencies))
    , self_(self)
    , incarnation_(incarnation)
    , settings_(std::move(settings))
    , lease_(dependencies_.store, {self.id, incarnation}, settings_.lease, bootTime,
             dependencies_.storeEra)
    , calendar_(settings_.usageWindow)
    , counts_(calendar_)
    , reports_({calendar_, settings_.usageLateness})
    , vacantSince_(bootTime() + startupTime)
{ }

void DutyRunner::attemptBegan(const WorkspaceId &workspace, TimePoint began)
{
    if (!settings_.duties.contains(Duty::UsageReport) || workspace.empty())
        return;
    const auto ago = std::chrono::duration_cast<WallTime::duration>(SteadyClock::now() - began);
    counts_.add(workspace, dependencies_.trueTime() - ago);
}

void DutyRunner::holderChanged(const StoreItem &item)
{
    const auto now = bootTime();
    const auto holder = item.removed ? std::nullopt : decodeHolder(item.value);
    if (holder_ && !holder)
        vacantSince_ = std::max(vacantSince_, now);
    holder_ = holder;
    // Tokens can be compared across restores of the store, unlike revisions.
    const auto token = holder ? std::max(item.revision, holder->tokenFloor) : 0;
    const bool later = holder ? token > lease_.token() : item.revision > lease_.revision();
    lease_.noteHolder(token);
    if (lease_.acquired() && !(holder && isSelf(*holder)) && later) {
        logEvent(LogLevel::Warn, "duty-lost",
                 {{"reason", "the store shows another holder"}, {"token", lease_.token()}});
        lease_.lose();
    }
}

bool DutyRunner::isSelf(const DutyHolder &holder) const
{
    return holder.instance == self_.id && holder.incarnation == incarnation_;
}

std::vector<RegisteredInstance> DutyRunner::collectors() const
{
    return widestInstances("duties", dependencies_.liveInstances(), collectorCount);
}

bool DutyRunner::mayAcquire(TimePoint now) const
{
    if (released_ || now < vacantSince_ || !dependencies_.storeInContact())
        return false;
    // After a restore, the store shows this process as the holder by a lease that is lost.
    if (holder_)
        return isSelf(*holder_);
    const auto vacant = now - vacantSince_;
    const auto ranked = collectors();
    const auto own = std::ranges::find(ranked, self_.id, &RegisteredInstance::id);
    if (own != ranked.end())
        return vacant >= rankDelay * (own - ranked.begin());
    const auto share = stableHash(self_.id.value()) % outsiderSpread.count();
    return vacant >= outsiderDelay + milliseconds(share);
}

void DutyRunner::runLease(StopToken &stop)
{
    while (stop.sleepFor(leasePeriod)) {
        observeEra();
        if (lease_.acquired()) {
            const auto renewed = lease_.renew();
            if (!renewed && !lease_.acquired())
                logEvent(LogLevel::Warn, "duty-lost",
                         {{"reason", renewed.error().message}, {"token", lease_.token()}});
            if (!renewed && !stop.sleepFor(storeRetryPause))
                return;
        } else if (mayAcquire(bootTime())) {
            acquire();
            if (!lease_.acquired() && !stop.sleepFor(storeRetryPause))
                return;
        }
    }
}

void DutyRunner::acquire()
{
    const auto acquired = lease_.acquire();
    if (acquired) {
        logEvent(
            LogLevel::Info, "duty-acquired",
            {{"token", lease_.token()}, {"revision", lease_.revision()}, {"era", lease_.era()}});
        return;
    }
    // Another instance was faster; the copy of the store will show it.
    if (acquired.error().kind == ErrorKind::KvConflict)
        vacantSince_ = bootTime() + leasePeriod;
    logEvent(
        LogLevel::Info, "duty-not-acquired",
        {{"kind", answerFor(acquired.error().kind).name}, {"reason", acquired.error().message}});
}

void DutyRunner::release()
{
    released_ = true;
    if (!lease_.acquired())
        return;
    const auto released = lease_.release();
    logEvent(LogLevel::Info, "duty-released",
             {{"token", lease_.token()},
              {"outcome", released ? std::string("released") : released.error().message}});
}

void DutyRunner::runCounts(StopToken &stop)
{
    while (true) {
        const auto instances = static_cast<int>(dependencies_.liveInstances().size());
        if (!stop.sleepFor(std::max(minCountsPeriod, countsPeriodPerInstance * instances)))
            return;
        sendCounts();
    }
}

void DutyRunner::sendCounts()
{
    const auto now = dependencies_.trueTime();
    counts_.expire(now);
    table_.expire(reports_.oldestNeeded(now));
    const UsageMessage message{self_.id, incarnation_, now, counts_.windows()};
    table_.receive(message);
    std::map<InstanceId, RegisteredInstance> receivers;
    for (const auto &collector : collectors())
        receivers.emplace(collector.id, collector);
    for (const auto &instance : dependencies_.liveInstances()) {
        if (holder_ && instance.id == holder_->instance)
            receivers.emplace(instance.id, instance);
    }
    receivers.erase(self_.id);
    for (const auto &part : splitUsage(message, maxCountsBytes)) {
        for (const auto &[id, receiver] : receivers)
            dependencies_.sendUsage(part, receiver);
    }
}

void DutyRunner::runCalls(StopToken &stop)
{
    auto &holds =
        dependencies_.metrics.gauge("jy_duty_holder", "1 while this instance holds the duties.");
    while (stop.sleepFor(callPeriod)) {
        observeEra();
        holds.set(lease_.held() ? 1 : 0);
        if (!lease_.held())
            continue;
        if (loadedTerm_ != lease_.token())
            beginTerm();
        if (needsLoad_) {
            const auto loaded = load();
            if (!loaded) {
                logEvent(LogLevel::Warn, "duty-state-unavailable",
                         {{"reason", loaded.error().message}});
                if (!stop.sleepFor(storeRetryPause))
                    return;
                continue;
            }
        }
        if (settings_.duties.contains(Duty::UsageReport)) {
            // After an outage several windows are due, each within its own time.
            for (int step = 0; step < maxStepsAtOnce && reportUsage(); ++step) { }
            storeSnapshot();
        }
        if (settings_.duties.contains(Duty::Autoscale))
            orderServers();
    }
}

void DutyRunner::beginTerm()
{
    loadedTerm_ = lease_.token();
    needsLoad_ = true;
    termLoaded_ = false;
    scaling_.reset();
}

void DutyRunner::observeEra()
{
    const auto era = dependencies_.storeEra();
    lease_.noteEra();
    if (era_ == era)
        return;
    // 0 until the first response of the store.
    if (era_.value_or(0) != 0) {
        sawRestore_ = true;
        heldUntilRestore_ = termLoaded_ && loadedTerm_ == lease_.token() && lease_.era() == era_
            && lease_.soleUntil() && bootTime() < *lease_.soleUntil();
    }
    era_ = era;
    eraSeenAt_ = bootTime();
}

std::optional<WallTime> DutyRunner::lostBefore(const std::deque<StoredReport> &stored) const
{
    if (heldUntilRestore_ || writtenIn(lease_.era(), stored))
        return std::nullopt;
    // Lists of earlier builds state no era.
    const bool statesEra = std::ranges::any_of(
        stored, [](const StoredReport &entry) { return entry.era.has_value(); });
    if (!statesEra && !sawRestore_)
        return std::nullopt;
    // Not the true time of that moment, which is uncertain right after the start.
    return dependencies_.trueTime()
        - std::chrono::duration_cast<WallTime::duration>(bootTime() - eraSeenAt_);
}

Result<std::uint64_t> DutyRunner::commit(const StoreTransaction &transaction)
{
    if (!lease_.inEra())
        return failure(ErrorKind::KvConflict, "the store was restored");
    auto revision = dependencies_.store.commit(transaction);
    if (!lease_.inEra())
        return failure(ErrorKind::KvOutcomeUnknown, "the store was restored during the write");
    return revision;
}

Result<void> DutyRunner::load()
{
    BOOST_OUTCOME_TRY(const auto page, dependencies_.store.list(stateKeys, {}));
    if (!lease_.inEra() || page.era != lease_.era())
        return failure(ErrorKind::KvUnavailable, "the store was restored");
    std::deque<StoredReport> reports;
    reportsRevision_ = 0;
    for (const auto &item : page.items) {
        if (item.key == reportsKey) {
            auto read = decodeReports(item.value);
            if (!read)
                return failure(ErrorKind::Internal, "the stored usage reports are unreadable");
            reports = std::move(*read);
            reportsRevision_ = item.revision;
        } else if (item.key == snapshotKey) {
            auto snapshot = decodeSnapshot(item.value);
            if (!snapshot)
                logEvent(LogLevel::Warn, "usage-snapshot-unreadable",
                         {{"revision", item.revision}});
            else if (storedSnapshot_.empty()) // Otherwise the table contains the snapshot's counts.
                table_.restore(std::move(*snapshot));
        }
    }
    const auto lost = lostBefore(reports);
    reports_.load(reports, lost);
    if (lost && !termLoaded_)
        logEvent(LogLevel::Warn, "usage-windows-skipped",
                 {{"before", reports_.oldestNeeded(dependencies_.trueTime())},
                  {"reason", "their reports may be lost with the store"},
                  {"era", lease_.era()}});
    needsLoad_ = false;
    termLoaded_ = true;
    return success();
}

bool DutyRunner::reportUsage()
{
    std::set<InstanceId> live;
    for (const auto &instance : dependencies_.liveInstances())
        live.insert(instance.id);
    const auto complete = [&](WallTime until) { return table_.complete(live, until); };
    const auto action = reports_.next(table_.firstWindow(), dependencies_.trueTime(), complete);
    switch (action.step) {
    case UsageReports::Step::Wait:
        return false;
    case UsageReports::Step::Store:
        return storeReport(action.window);
    case UsageReports::Step::Send:
        return sendReport(action.window);
    }
    return false;
}

bool DutyRunner::storeReport(UsageWindow window)
{
    auto reports = reports_.withNew({window, table_.totals(window)}, lease_.era());
    const auto stored = commit({.conditions = {lease_.condition(), {reportsKey, reportsRevision_}},
                                .writes = {{reportsKey, encodeReports(reports)}}});
    if (!stored) {
        // Another holder may have stored a report, or this write may still take effect.
        needsLoad_ = true;
        logEvent(LogLevel::Warn, "usage-not-stored",
                 {{"window", window}, {"reason", stored.error().message}});
        return false;
    }
    reportsRevision_ = stored.value();
    reports_.stored(std::move(reports));
    return true;
}

bool DutyRunner::sendReport(UsageWindow window)
{
    const auto *entry = reports_.find(window);
    const auto credential = lease_.credentialForCall();
    if (!entry || !credential)
        return false;
    const auto report = entry->report;
    const auto sent = dependencies_.api.reportUsage(*credential, report);
    const auto now = dependencies_.trueTime();
    EventLoop::sleepFor(settings_.callInterval);
    const auto late = now - calendar_.endOf(window);
    if (sent)
        reports_.accepted(window);
    else
        reports_.failed(now);
    dependencies_.metrics
        .counter("jy_usage_reports_total", "Usage reports by result.",
                 {{"result", resultName(sent)}})
        .add();
    logEvent(sent ? LogLevel::Info : LogLevel::Warn, sent ? "usage-sent" : "usage-not-sent",
             {{"window", window},
              {"requests", sumOf(report.counts)},
              {"workspaces", report.counts.size()},
              {"token", credential->fencingToken},
              {"era", lease_.era()},
              {"after_ms", std::chrono::floor<milliseconds>(late)},
              {"overdue", late > settings_.usageLateness},
              {"outcome", sent ? std::string("accepted") : sent.error().message}});
    return sent.has_value();
}

void DutyRunner::storeSnapshot()
{
    const auto now = bootTime();
    if (now < snapshotDue_)
        return;
    const auto snapshot = table_.snapshot(dependencies_.trueTime());
    if (snapshot.windows == storedSnapshot_ && snapshotEra_ == lease_.era())
        return;
    const auto value = encodeSnapshot(snapshot);
    snapshotDue_ = now
        + std::max(minSnapshotPeriod, milliseconds(1000 * value.size() / snapshotBytesPerSecond));
    const auto stored =
        commit({.conditions = {lease_.condition()}, .writes = {{snapshotKey, value}}});
    if (stored) {
        storedSnapshot_ = snapshot.windows;
        snapshotEra_ = lease_.era();
    } else
        logEvent(LogLevel::Warn, "usage-snapshot-not-stored", {{"reason", stored.error().message}});
}

void DutyRunner::orderServers()
{
    const auto now = bootTime();
    const auto services = dependencies_.scalableServices();
    scaling_.observe(services, now);
    if (now < ordersAllowedAt_)
        return;
    const auto order = scaling_.next(services, now);
    const auto credential = lease_.credentialForCall();
    if (!order || !credential)
        return;
    const auto sent = dependencies_.api.orderServers(*credential, *order);
    EventLoop::sleepFor(settings_.callInterval);
    if (sent)
        scaling_.accepted(*order, now);
    else
        ordersAllowedAt_ = bootTime() + orderRetryPause;
    dependencies_.metrics
        .counter("jy_server_orders_total", "Orders of backend servers by result.",
                 {{"result", resultName(sent)}})
        .add();
    logEvent(sent ? LogLevel::Info : LogLevel::Warn, "servers-ordered",
             {{"service", order->service},
              {"domain", order->domain},
              {"count", order->count},
              {"token", credential->fencingToken},
              {"outcome", sent ? std::string("accepted") : sent.error().message}});
}

} // namespace jy
