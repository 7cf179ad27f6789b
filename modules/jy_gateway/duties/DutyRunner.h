#pragma once

#include "jy_gateway/duties/DutyLease.h"
#include "jy_gateway/duties/ServerScaling.h"
#include "jy_gateway/duties/UsageReports.h"
#include "jy_gateway/duties/UsageTable.h"
#include "jy_gateway/model/FleetChange.h"
#include "jy_runtime/metrics/Metrics.h"
#include "jy_runtime/supervision/StopToken.h"

#include <functional>
#include <map>
#include <optional>
#include <set>
#include <string_view>
#include <vector>

namespace jy {

/** Prefix of the keys that only holders of the duties read. */
inline constexpr std::string_view dutyStateKeys = "duty-state/";

struct DutySettings
{
    std::set<Duty> duties;
    DutyLeaseSettings lease;
    std::chrono::milliseconds usageWindow{5000};
    std::chrono::milliseconds usageLateness{10000};

    /** Time between two calls to the platform, by its limit on calls. */
    std::chrono::milliseconds callInterval{100};
};

/** References must outlive the runner. All hooks are called on the loop's thread. */
struct DutyDependencies
{
    /** The store itself, not a copy held by another instance. */
    const SharedStore &store;

    /** Latest known era of the store, updated before any of its responses is returned. */
    std::function<StoreEra()> storeEra;

    DutyApi api;
    Metrics &metrics;

    /** Live instances, including this one. */
    std::function<std::vector<RegisteredInstance>()> liveInstances;

    /** Whether the copy of the store is complete and current, so that a missing holder means that
     * there is none. */
    std::function<bool()> storeInContact;

    std::function<WallTime()> trueTime;

    /** Sends usage counts to another instance; may lose them. */
    std::function<void(const UsageMessage &, const RegisteredInstance &)> sendUsage;

    /** Services whose number of servers this system orders, with their load. */
    std::function<std::vector<ScalableService>()> scalableServices;
};

/**
 * Performs the duties of the deployment while this instance holds them, and contributes its usage
 * counts otherwise.
 *
 * A few instances collect the usage counts of all others; the holder is one of them, so the counts
 * survive a change of the holder. The sums are also kept in the shared store in case that all
 * collectors end.
 */
class DutyRunner
{
public:
    DutyRunner(DutyDependencies dependencies, const RegisteredInstance &self,
               std::uint64_t incarnation, DutySettings settings);

    /** Whether any of the deployment's duties are known; otherwise no other function has effect. */
    bool enabled() const { return !settings_.duties.empty(); }

    /** A backend server began to run a request. @param began time on the monotonic clock */
    void attemptBegan(const WorkspaceId &workspace, TimePoint began);

    void receive(const UsageMessage &message) { table_.receive(message); }

    /** The copy of the store shows this holder, or none. */
    void holderChanged(const StoreItem &item);

    /** Children of the supervisor. */
    void runLease(StopToken &stop);
    void runCounts(StopToken &stop);
    void runCalls(StopToken &stop);

    /** Hands the duties over at a planned stop. */
    void release();

private:
    /** Whether the holder is this process. */
    bool isSelf(const DutyHolder &holder) const;
    bool mayAcquire(TimePoint now) const;
    void acquire();
    std::vector<RegisteredInstance> collectors() const;
    void sendCounts();

    void beginTerm();
    Result<void> load();

    /** Notes when a new era of the store is first known here. */
    void observeEra();

    /** Time before which stored reports may be lost without the knowledge of this process. */
    std::optional<WallTime> lostBefore(const std::deque<StoredReport> &stored) const;

    /** Commits under the conditions that were read in the era of the lease. */
    Result<std::uint64_t> commit(const StoreTransaction &transaction);

    /** Takes the next step of the reports. @returns whether another one may follow at once */
    bool reportUsage();
    bool storeReport(UsageWindow window);
    bool sendReport(UsageWindow window);
    void storeSnapshot();
    void orderServers();

    DutyDependencies dependencies_;
    RegisteredInstance self_;
    std::uint64_t incarnation_;
    DutySettings settings_;
    DutyLease lease_;
    UsageCalendar calendar_;
    UsageCounts counts_;
    UsageTable table_;
    UsageReports reports_;
    ServerScaling scaling_;

    /** Holder by the copy of the store, and since when there is none. */
    std::optional<DutyHolder> holder_;
    TimePoint vacantSince_;

    /** Term whose state was loaded: the fencing token. */
    std::uint64_t loadedTerm_ = 0;
    std::uint64_t reportsRevision_ = 0;
    bool needsLoad_ = true;

    /** Whether the state was loaded in this term. */
    bool termLoaded_ = false;

    /** The latest era of the store, and when this process first knew of it. */
    std::optional<StoreEra> era_;
    TimePoint eraSeenAt_;

    /** Whether this process has seen a restore of the store. */
    bool sawRestore_ = false;

    /** Whether the duties were held here until the latest restore, so that no stored report can be
     * lost that this process does not know. */
    bool heldUntilRestore_ = false;

    TimePoint snapshotDue_;
    UsageByWindow storedSnapshot_;
    StoreEra snapshotEra_ = 0;
    TimePoint ordersAllowedAt_;
    bool released_ = false;
};

} // namespace jy
