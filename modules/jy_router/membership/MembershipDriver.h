#pragma once

#include "jy_core/membership/Membership.h"
#include "jy_core/membership/PoolAggregator.h"
#include "jy_peer/gossip/GossipSocket.h"
#include "jy_platform/instances/InstanceList.h"
#include "jy_runtime/events/Event.h"
#include "jy_runtime/supervision/StopToken.h"

#include <functional>
#include <memory>
#include <random>

namespace jy {

/**
 * What MembershipDriver needs of the rest of the router.
 *
 * The hooks run in the fiber that handles a datagram or a tick and must not suspend it; start a
 * fiber for longer work. Missing hooks are skipped.
 */
struct MembershipDriverDependencies
{
    EventLoop &loop;
    std::shared_ptr<const KeyRing> keys;

    /** Reads the instance list; may suspend. */
    std::function<Result<InstanceSnapshot>()> fetchInstances;

    /** Timestamp for an outgoing datagram, and the receipt of one. @see EventBuffer */
    std::function<HybridTime()> hybridNow;
    std::function<void(HybridTime)> hybridObserve;

    EventSink events;

    std::function<void(const MemberChanged &)> memberChanged;
    std::function<void(const InstanceSnapshot &)> instancesListed;

    /** A higher revision was seen; it is in force on this router or on another one that applied it.
     */
    std::function<void(std::uint64_t revision, const MemberInfo &from)> headRevisionSeen;
    std::function<void(const MemberInfo &peer)> stopMarksDiffer;

    /** This process was paused, or the fleet took it for dead: its state may be outdated. */
    std::function<void()> viewOutdated;

    std::function<void(const PoolTotals &)> poolTotals;
};

struct MembershipDriverSettings
{
    MembershipSettings membership;
    std::chrono::milliseconds tickInterval{100};

    /** Time between two reads of the instance list; varied by a fifth. */
    std::chrono::milliseconds listInterval{5000};

    /** Longest time between two reads while the list cannot be read. */
    std::chrono::milliseconds largestListBackOff{60000};
};

/** Connects Membership to its socket, the instance list and the rest of the router. */
class MembershipDriver
{
public:
    /**
     * Binds the gossip endpoint of @p self; port 0 binds a free one.
     *
     * @param seed of all random choices
     * @returns SettingsInvalid
     */
    static Result<std::unique_ptr<MembershipDriver>>
    create(MembershipDriverDependencies dependencies, MembershipDriverSettings settings,
           MemberInfo self, std::uint64_t seed);

    MembershipDriver(const MembershipDriver &) = delete;
    MembershipDriver &operator=(const MembershipDriver &) = delete;

    /** Child of the supervisor: probes until a stop is requested. */
    void runProbes(StopToken &stop);

    /** Child of the supervisor: reads the instance list until a stop is requested. */
    void runInstanceList(StopToken &stop);

    /** Withdraws this router from the live ones. */
    void leave();

    /** Tells the fleet that this router is gone; the last call before the process ends. */
    void finishLeave();

    void setHeadRevision(std::uint64_t revision) { membership_.setHeadRevision(revision); }
    void setAppliedRevision(std::uint64_t revision);
    void setStopMarks(const StopMarkDigest &digest);

    /** Sends the load of the owned servers of a pool to its aggregator; call once a second. */
    void reportPool(const PoolReport &report);

    /** Whether this router is one of those that watch the configuration head in its region. */
    bool watchesConfig() const;

    const Membership &membership() const { return membership_; }
    const GossipCounters &counters() const { return socket_->counters(); }

private:
    MembershipDriver(MembershipDriverDependencies dependencies, MembershipDriverSettings settings,
                     Membership membership, std::uint64_t seed);

    void receive(const Datagram &datagram, const Endpoint &from);
    void receivePool(const Datagram &datagram, const Endpoint &from);
    void perform(const MembershipActions &actions);
    void perform(const SendDatagram &action);
    void perform(const MemberChanged &action);
    void perform(const SelfPaused &action);
    void perform(const SelfRefuted &action);
    void perform(const HeadRevisionSeen &action);
    void perform(const StopMarksDiffer &action);
    void record(const std::string &kind, std::vector<EventField> fields) const;
    std::chrono::milliseconds nextListDelay(bool failed);

    MembershipDriverDependencies dependencies_;
    MembershipDriverSettings settings_;
    Membership membership_;
    std::mt19937_64 random_;
    PoolAggregator aggregator_;
    std::chrono::milliseconds listDelay_;
    std::unique_ptr<GossipSocket> socket_;
};

} // namespace jy
