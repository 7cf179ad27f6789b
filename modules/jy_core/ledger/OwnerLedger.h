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

/** Figures of one owned server for status and metrics. */
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

    /** Forgets a server that no longer exists. */
    void remove(const ServerId &server, TimePoint now);

    ReserveResult reserve(const ReserveInput &input, TimePoint now);

    /** Errors: NotOwner. A repeated or late release succeeds and changes nothing. */
    Result<void> release(const ReleaseInput &input, TimePoint now);

    /**
     * Renews the reservations of a holder. @p held names all that it has at owned servers.
     *
     * @returns the servers in the report that this router does not own
     */
    std::vector<ServerId> report(const InstanceId &holder, const std::vector<HeldReservation> &held,
                                 TimePoint now);

    /** A holder is dead or has left; its reservations expire unless it reports again. */
    void holderGone(const InstanceId &holder, TimePoint now);

    /** The router that may still have acted as owner is gone, or has confirmed this owner. */
    void previousOwnerGone(const ServerId &server, TimePoint now);

    /** A caller no longer waits. */
    void cancel(const ServerId &server, std::uint64_t ticket);

    /** Notes that a chat of the home server @p home is now served by @p server. */
    void recordException(const ServerId &home, std::uint64_t chatHash, const ServerId &server,
                         TimePoint now);

    /** Removes exceptions that name a server that no longer exists. */
    void forgetExceptionsTo(const ServerId &server);

    /** Sets or clears the reason for which a server takes no new work. */
    void setClosed(const ServerId &server, std::optional<Error> reason, TimePoint now);

    void setStartIdentity(const ServerId &server, const std::string &identity, TimePoint now);

    /** While set, every server is under the recovery limit. */
    void setMinorityPartition(bool minority, TimePoint now);

    /** The owned part of each pool, to be sent to the pool's aggregator. */
    std::map<std::string, PoolLoad> poolReports(TimePoint now);

    void setPoolTotals(const std::string &pool, const PoolLoad &totals, TimePoint now);

    /** Expires and grants. Call it at least ten times per second. */
    void tick(TimePoint now);

    LedgerActions takeActions();

    bool owns(const ServerId &server) const { return servers_.contains(server); }

    /** Whether an owned server is on its cold-start ramp. */
    bool cold(const ServerId &server) const;
    std::vector<ServerId> owned() const;
    std::vector<OwnedServerView> views(TimePoint now) const;
    std::size_t memoryBytes() const;

private:
    struct Pool
    {
        /** Sums over the owned servers. In-flight counts are exact, the rest is as of the last
         *  tick, so that a decision does not visit every owned server. */
        PoolLoad own;

        std::optional<PoolLoad> totals;

        /** The own part of the last report, and of the report that the totals contain. */
        int lastReport = 0;
        int reportedInFlight = 0;
    };

    void noticePause(TimePoint now);
    void refreshPools(TimePoint now);
    PoolBound boundFor(const ServerLedger &ledger) const;

    /** Runs a change of one ledger, grants what is queued, and keeps the pool's sum. */
    void change(ServerLedger &ledger, TimePoint now, const std::function<void()> &body);

    ServerLedger *ledgerOf(const ServerId &server);

    LedgerSettings settings_;
    std::map<ServerId, ServerLedger> servers_;
    std::map<std::string, Pool> pools_;
    std::unordered_map<ServerId, LastKnown> lastKnown_;
    std::uint64_t nextSequence_ = 1;
    bool minority_ = false;
    TimePoint lastStep_;
    LedgerActions actions_;
};

} // namespace jy
