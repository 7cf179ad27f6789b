#pragma once

#include "jy_base/time/TimeTypes.h"
#include "jy_core/membership/MembershipMessages.h"

#include <map>
#include <optional>
#include <vector>

namespace jy {

/** How many of the live routers have applied a revision. */
struct Convergence
{
    /** Number of live routers. */
    std::size_t live = 0;

    /** Number of live routers on which the revision or a higher one is in force. */
    std::size_t applied = 0;

    /** Live routers on which a lower revision is in force. */
    std::vector<InstanceId> lagging;
};

/**
 * Table of the member records, with the rule by which they are merged.
 *
 * A record with a higher incarnation replaces a lower one. At equal incarnations the state may
 * only advance in the order alive, suspect, leaving, dead, left, and the applied revision only
 * increases. Merging full records is therefore commutative and idempotent. An update without
 * endpoints applies only to a record of the same incarnation, because a router may change its
 * endpoints with its incarnation.
 */
class MemberTable
{
public:
    struct Record
    {
        MemberInfo info;

        /** Time of the last change of state or incarnation. */
        TimePoint since;

        /** The instance list shows the router as leaving; kept apart from the gossiped state. */
        bool listedLeaving = false;

        /** @returns true if the router may own servers and take new work. */
        bool isLive() const;
    };

    enum class MergeResult {
        Ignored,
        Revision, /**< only the applied revision increased */
        Changed, /**< state or incarnation changed */
        Added,
    };

    /**
     * Merges a full record or an update without endpoints. An unknown router that is dead or has
     * left is not added.
     */
    MergeResult merge(const MemberInfo &update, TimePoint now);

    /** Sets a record regardless of the merge rule; for this router's own record. */
    void put(const MemberInfo &member, TimePoint now);

    const Record *find(const InstanceId &id) const;

    /**
     * Sets or clears Record::listedLeaving.
     *
     * @returns true if the value changed
     */
    bool setListedLeaving(const InstanceId &id, bool leaving);

    /** Removes records that have been dead or left for longer than the given times. */
    void removeExpired(TimePoint now, Duration deadRetention, Duration leftRetention);

    const std::map<InstanceId, Record> &records() const { return records_; }

    /** Digest of the records of all reachable routers; independent of their order. */
    std::uint64_t digest() const { return digest_; }

private:
    std::map<InstanceId, Record> records_;
    std::uint64_t digest_ = 0;
};

/** @returns true for alive, suspect and leaving: the router is assumed to reply to probes. */
bool isReachable(MemberState state);

/** @returns true if an update has no endpoints; see Piggyback::updates. */
bool lacksEndpoints(const MemberInfo &update);

/** @returns the id, incarnation, state and applied revision of a record, without endpoints. */
MemberInfo withoutEndpoints(const MemberInfo &member);

} // namespace jy
