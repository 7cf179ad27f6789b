#pragma once

#include "jy_core/ledger/LedgerTypes.h"
#include "jy_core/limits/FairShare.h"

#include <deque>
#include <map>
#include <optional>
#include <set>

namespace jy {

/**
 * The ledger of one owned server: its reservations, concurrency limit, cold-start ramp, request
 * queue and exception table.
 *
 * A new ledger is in recovery: it admits a quarter of the last known limit, at least 1, and counts
 * what holders report. Recovery ends with a hand-off, or two report intervals after the previous
 * owner is known to be gone. Together with the previous owner, which admits up to its limit, the
 * sum stays within limit + max(1, limit / 4).
 */
class ServerLedger
{
public:
    /**
     * @param last state from an earlier ownership by this router; default if there was none
     * @param previousOwnerLive whether another live router may still act as the owner
     */
    ServerLedger(OwnedServerSpec spec, const LedgerSettings &settings, const LastKnownState &last,
                 bool previousOwnerLive, TimePoint now);

    const OwnedServerSpec &spec() const { return spec_; }
    void setSpec(OwnedServerSpec spec);

    /** @param sequence sequence number of the key if granted, ticket if queued */
    ReserveResult reserve(const ReserveInput &input, std::uint64_t sequence, const PoolBound &pool,
                          TimePoint now);

    /** Ends a reservation. A repeated or late release changes nothing. */
    void release(const ReleaseInput &input, TimePoint now);

    /** Renews the reservations of a holder, which lists all that it has at this server. */
    void report(const InstanceId &holder, const std::vector<HeldReservation> &held, TimePoint now,
                LedgerActions &actions);

    void holderGone(const InstanceId &holder, TimePoint now);

    /** Removes a queued request whose caller has disconnected. */
    bool cancel(std::uint64_t ticket);

    /** Closes the server to new work for the given reason and refuses the queue, or reopens it. */
    void setClosed(std::optional<Error> reason, LedgerActions &actions);

    /** Passes on the start identity that a probe returned. A change means a restart. */
    void setStartIdentity(const std::string &identity, TimePoint now);

    /** Enters recovery again, because another router may have become the owner meanwhile. */
    void enterRecovery(TimePoint now);

    void previousOwnerGone(TimePoint now);

    HandOffState handOff(TimePoint now) const;
    LastKnownState lastKnown() const;
    void acceptHandOff(const HandOffState &state, TimePoint now);

    /** Grants queued requests that fit, and refuses those that were evicted from a full queue. */
    void grantQueued(const PoolBound &pool, std::uint64_t &nextSequence, TimePoint now,
                     LedgerActions &actions);

    /** Expires reservations, queue entries and release records. */
    void expire(TimePoint now, LedgerActions &actions);

    /** Refuses all queued requests. */
    void drainQueue(const Error &reason, LedgerActions &actions);

    int inFlight() const { return static_cast<int>(entries_.size()); }
    int queued() const { return static_cast<int>(queue_.size()); }
    bool closed() const { return closed_.has_value(); }
    bool cold() const { return ramp_.cold(); }
    bool recovering(TimePoint now) const { return previousOwnerLive_ || now < recoveryUntil_; }
    double concurrencyLimit() const { return limit_.limit(); }

    /** The concurrency limit with the cold-start ramp and the recovery limit applied. */
    int effectiveLimit(const PoolBound &pool, TimePoint now) const;

    ExceptionTable &exceptions() { return exceptions_; }

    /** Bytes of reservations, release records and exceptions, estimated from their sizes. */
    std::size_t memoryBytes() const;

private:
    struct Entry
    {
        InstanceId holder;
        WorkspaceId workspace;
        TimePoint renewed;

        /** False until the holder itself has reported a reservation that came with a hand-off. */
        bool confirmed = true;
    };

    void add(const ReservationKey &key, Entry entry);
    void remove(const ReservationKey &key);
    void expireReservations(TimePoint now, LedgerActions &actions);
    void recordRelease(const ReservationKey &key, TimePoint now);
    Error refusalFor(const PoolBound &pool, TimePoint now) const;
    ReserveResult enqueue(const ReserveInput &input, std::uint64_t ticket, const PoolBound &pool,
                          TimePoint now);
    std::chrono::milliseconds retryAfter() const;

    OwnedServerSpec spec_;
    LedgerSettings settings_;
    ConcurrencyLimit limit_;
    ColdStartRamp ramp_;
    RequestQueue queue_;
    FairShare workspaces_;
    ExceptionTable exceptions_;
    std::optional<Error> closed_;

    std::map<ReservationKey, Entry> entries_;
    std::map<InstanceId, TimePoint> goneSince_;

    // Recently released keys. A report or hand-off that was sent before a release may arrive after
    // it and would otherwise restore the reservation.
    std::set<ReservationKey> released_;
    std::deque<std::pair<TimePoint, ReservationKey>> releasedOrder_;

    /** Holder of each queued ticket. */
    std::map<std::uint64_t, InstanceId> queuedHolders_;

    /** Tickets evicted from a full queue; grantQueued() refuses them. */
    std::vector<std::uint64_t> evictedTickets_;

    /** Limit of which recovery admits a quarter. */
    double recoveryBase_;
    /** Another live router may still act as the owner; recovery lasts until it is gone. */
    bool previousOwnerLive_;
    TimePoint recoveryUntil_;

    /** Moving mean of the duration of a request, for the expected wait in the queue. */
    Duration meanDuration_{0};
};

} // namespace jy
