#pragma once

#include "jy_core/ledger/OwnerLedger.h"
#include "jy_core/placement/OwnershipMap.h"
#include "jy_core/placement/ServerDirectory.h"
#include "jy_peer/generated/peer.pb.h"
#include "jy_router/ownership/FiberGroup.h"

#include <boost/fiber/future.hpp>

#include <functional>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

namespace jy {

/** What a probe of a backend server returns. */
struct ProbeResult
{
    /** Changes when the server restarts. */
    std::string startIdentity;

    /** False while the server loads a version. */
    bool ready = true;
};

/** Everything that OwnerService needs from the rest of the router. Calls may suspend the fiber. */
struct OwnerServiceDependencies
{
    ServerDirectory &directory;
    OwnershipMap &ownership;
    std::function<TimePoint()> now;
    std::function<WallTime()> wallNow;

    /** Sends a hand-off to another router. */
    std::function<Result<peer::HandOffReply>(const InstanceId &, const peer::HandOffRequest &)>
        sendHandOff;

    /** Sends the owned part of a pool to the pool's aggregator. */
    std::function<void(const peer::PoolReport &)> sendPoolReport;

    std::function<Result<ProbeResult>(const BackendServer &)> probe;

    /** Records a timeline event about a server; may be empty. */
    std::function<void(std::string_view kind, const ServerId &, std::string_view detail)> event;
};

/** One periodic activity, to be run by a supervised fiber. */
struct PeriodicTask
{
    std::string name;
    std::chrono::milliseconds interval;
    std::function<void()> run;
};

/**
 * Serves the calls that concern servers owned by this router, and keeps ownership in line with
 * membership. All methods must be called on the loop's thread; those that wait suspend the fiber.
 */
class OwnerService
{
public:
    OwnerService(LedgerSettings settings, OwnerServiceDependencies dependencies);
    OwnerService(const OwnerService &) = delete;
    OwnerService &operator=(const OwnerService &) = delete;

    /** Handlers of the calls of peer.proto. */
    peer::ReserveReply handleReserve(const peer::ReserveRequest &request);
    peer::ReleaseReply handleRelease(const peer::ReleaseRequest &request);
    peer::InFlightReply handleReport(const peer::InFlightReport &report);
    peer::HandOffReply handleHandOff(const peer::HandOffRequest &request);

    /** The totals of a pool arrived from its aggregator. */
    void onPoolTotals(const peer::PoolTotals &totals);

    /**
     * Takes over and hands off servers after a change of the live routers, of the instance list or
     * of the desired state. tasks() also calls it once a second, so that a hand-off that failed is
     * repeated. Start the tasks once membership has heard from a peer or has given up waiting,
     * because a router that sees only itself owns every server.
     */
    void synchronise();

    /** Sets whether this router sees only a minority of its region's routers. */
    void setMinorityPartition(bool minority);

    /** Ticks of the ledger, ownership changes, probes and pool reports. */
    std::vector<PeriodicTask> tasks();

    const OwnerLedger &ledger() const { return ledger_; }

private:
    using QueueResult = Result<ReservationKey>;

    Result<ReservationKey> waitInQueue(const ServerId &server, std::uint64_t ticket,
                                       Duration maxWait);
    Result<const BackendServer *> ownedServer(const ServerId &server, std::uint64_t chatHash);
    void dispatchActions();
    void acquire(const BackendServer &server);
    void handOff(const BackendServer &server, const InstanceId &newOwner);
    void sendHandOffs(const InstanceId &to, std::vector<HandOffState> states);
    void noticeGoneRouters();
    void closeServers();
    void probeAll();
    void probeOne(const BackendServer &server);
    void reportPools();
    OwnedServerSpec specOf(const BackendServer &server) const;
    double weightOf(const WorkspaceId &workspace) const;
    void event(std::string_view kind, const ServerId &server, std::string_view detail);

    LedgerSettings settings_;
    OwnerServiceDependencies dependencies_;
    OwnerLedger ledger_;
    std::unordered_map<std::uint64_t, std::shared_ptr<boost::fibers::promise<QueueResult>>>
        waiting_;

    /** The owner that the last synchronise() found. */
    std::unordered_map<ServerId, InstanceId> lastOwner_;

    /** Routers that may still act as the owner of a server that this router has taken over. */
    std::unordered_map<ServerId, InstanceId> previousOwner_;

    /** Live routers and their incarnations at the last synchronise(). */
    std::map<InstanceId, std::uint64_t> liveRouters_;
    std::unordered_map<ServerId, int> failedProbes_;
    std::set<ServerId> probing_;
    std::map<InstanceId, std::vector<HandOffState>> handOffs_;

    // Last, so that it is destroyed first.
    FiberGroup fibers_;
};

} // namespace jy
