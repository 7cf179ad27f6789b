#pragma once

#include "jy_core/ledger/LedgerTypes.h"
#include "jy_core/ledger/ServerLedger.h"

#include <functional>
#include <map>
#include <optional>
#include <string>
#include <unordered_map>
#include <vector>

namespace jy {

/** Load and limits of one owned server, for status output and metrics. */
struct OwnedServerView
{
    ServerId server;
    int inFlight = 0;
    int queued = 0;
    int limit = 0;
    int bound = 0;
    bool cold = false;
    bool recovering = false;
    bool closed = false;
};

/**
 * The ledgers of all servers that this router owns, and the load of their pools.
 *
 * Calls for a server that is not owned are refused with NotOwner. Actions accumulate until
 * takeActions() is called, which the driver does after every call.
 */
class OwnerLedger
{
public:
    explicit OwnerLedger(LedgerSettings settings);

    /**
     * Becomes the owner without a hand-off; the server starts in recovery. For a server that is
     * already owned, only the configuration changes.
     */
    void acquire(const OwnedServerSpec &spec, bool previousOwnerLive, TimePoint now);

    /** Becomes the owner with the previous owner's state, or merges it when already the owner. */
    void acceptHandOff(const OwnedServerSpec &spec, const HandOffState &state, TimePoint now);

    /**
     * Stops owning a server. Queued requests are refused with NotOwner.
     *
     * @returns the state for the new owner; nothing when the server was not owned
     */
    std::optional<HandOffState> handOff(const ServerId &server, TimePoint now);

    /** Removes all state of a server that no longer exists. */
    void remove(const ServerId &server, TimePoint now);

    ReserveResult reserve(const ReserveInput &input, TimePoint now);

    /** Errors: NotOwner. A repeated or late release succeeds and changes nothing. */
    Result<void> release(const ReleaseInput &input, TimePoint now);

    /**
     * Renews the reservations of a holder.
     *
     * @param held all reservations that the holder has at servers of this owner
     * @returns the servers in the report that this router does not own
     */
    std::vector<ServerId> report(const InstanceId &holder, const std::vector<HeldReservation> &held,
                                 TimePoint now);

    /** Marks a holder as dead or gone; its reservations expire unless it reports again. */
    void holderGone(const InstanceId &holder, TimePoint now);

    /** Lets recovery end: the previous owner is gone or has confirmed this owner. */
    void previousOwnerGone(const ServerId &server, TimePoint now);

    /** Removes a queued request whose caller has disconnected. */
    void cancel(const ServerId &server, std::uint64_t ticket);

    /** Records that a chat whose home server is @p home is now served by @p server. */
    void recordException(const ServerId &home, std::uint64_t chatHash, const ServerId &server,
                         TimePoint now);

    /** Removes exceptions that name a server that no longer exists. */
    void forgetExceptionsTo(const ServerId &server);

    /** Closes a server to new work for the given reason, or reopens it. */
    void setClosed(const ServerId &server, std::optional<Error> reason, TimePoint now);

    void setStartIdentity(const ServerId &server, const std::string &identity, TimePoint now);

    /** While set, the recovery limit applies to every server. */
    void setMinorityPartition(bool minority, TimePoint now);

    /** The load of the owned servers by pool, to be sent to the pools' aggregators. */
    std::map<std::string, PoolLoad> poolReports(TimePoint now);

    void setPoolTotals(const std::string &pool, const PoolLoad &totals, TimePoint now);

    /** Expires reservations and queue entries, then grants queued requests. Call it at least ten
     *  times per second. */
    void tick(TimePoint now);

    LedgerActions takeActions();

    bool owns(const ServerId &server) const { return servers_.contains(server); }

    /** Whether a server is owned and on its cold-start ramp. */
    bool cold(const ServerId &server) const;
    std::vector<ServerId> owned() const;
    std::vector<OwnedServerView> views(TimePoint now) const;
    std::size_t memoryBytes() const;

private:
    struct Pool
    {
        /** Sums over the owned servers. The in-flight count is updated with every change, the rest
         *  only by refreshPools(), so that a decision need not visit every owned server. */
        PoolLoad own;

        std::optional<PoolLoad> totals;

        /** Own requests in flight in the last report, and in the report that the totals include. */
        int lastReport = 0;
        int reportedInFlight = 0;
    };

    /** Puts every server into recovery if this process was paused for longer than the threshold. */
    void detectPause(TimePoint now);
    void refreshPools(TimePoint now);
    PoolBound boundFor(const ServerLedger &ledger) const;

    /** Applies @p body to a ledger, grants queued requests that now fit, and updates the pool's
     *  in-flight count. */
    void applyAndGrant(ServerLedger &ledger, TimePoint now, const std::function<void()> &body);

    ServerLedger *ledgerOf(const ServerId &server);

    LedgerSettings settings_;
    std::map<ServerId, ServerLedger> servers_;
    std::map<std::string, Pool> pools_;
    std::unordered_map<ServerId, LastKnownState> lastKnown_;
    std::uint64_t nextSequence_ = 1;
    bool minority_ = false;
    TimePoint lastStep_;
    LedgerActions actions_;
};

} // namespace jy
