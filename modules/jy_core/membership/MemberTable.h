#pragma once

#include "jy_base/time/TimeTypes.h"
#include "jy_core/membership/MembershipMessages.h"

#include <map>
#include <optional>
#include <vector>

namespace jy {

/** How far a revision has spread. */
struct Convergence
{
    std::size_t live = 0;

    /** Live routers on which the revision or a higher one is in force. */
    std::size_t applied = 0;

    std::vector<InstanceId> lagging;
};

/**
 * The member records and their merge rule.
 *
 * A record with a higher incarnation replaces a lower one. At equal incarnations the state may
 * only advance in the order alive, suspect, leaving, dead, left, and the applied revision only
 * grows. The merge of full records is therefore commutative and idempotent. A short record applies
 * only to a record of the same incarnation, because a higher one may have other endpoints.
 */
class MemberTable
{
public:
    struct Record
    {
        MemberInfo info;

        /** Time of the last change of state. */
        TimePoint since;

        /** The instance list shows the router as leaving. */
        bool listedLeaving = false;

        /** The router may own servers and take new work. */
        bool isLive() const;
    };

    enum class Merge {
        Ignored,
        Revision, /**< only the applied revision grew */
        Changed, /**< state or incarnation changed */
        Added,
    };

    /** Merges a full or short record. An unknown router that is dead or has left is not added. */
    Merge merge(const MemberInfo &update, TimePoint now);

    /** Sets a record regardless of the merge rule; for the own record. */
    void put(const MemberInfo &member, TimePoint now);

    const Record *find(const InstanceId &id) const;

    /** Marks a record as leaving, or no longer, according to the instance list. */
    bool setListedLeaving(const InstanceId &id, bool leaving);

    /** Removes records that were dead or left for longer than the given times. */
    void forget(TimePoint now, Duration deadRetention, Duration leftRetention);

    const std::map<InstanceId, Record> &records() const { return records_; }

    /** Order-independent digest of the routers believed to answer. */
    std::uint64_t digest() const { return digest_; }

private:
    std::map<InstanceId, Record> records_;
    std::uint64_t digest_ = 0;
};

/** Alive, suspect or leaving: the router is believed to answer. */
bool isReachable(MemberState state);

/** An update without endpoints, see Piggyback::updates. */
bool isShort(const MemberInfo &update);

/** The short form of a record. */
MemberInfo shortForm(const MemberInfo &member);

} // namespace jy
