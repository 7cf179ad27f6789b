#pragma once

#include "jy_base/ids/Ids.h"
#include "jy_base/time/TimeTypes.h"

#include <cstddef>
#include <map>
#include <set>
#include <vector>

namespace jy {

/**
 * This instance's part of the requests that cold backend servers tolerate.
 *
 * A few instances, chosen by rendezvous hashing of the server among the live instances, divide the
 * rate of one cold server; the others send it nothing. Allowances are not exchanged, so a frozen or
 * cut instance can use up no more than its own part.
 */
class ColdAllowance
{
public:
    /** Instances that share one cold server. Few, so that each has whole requests to spend. */
    static constexpr std::size_t maxHolders = 4;

    /** Part of the tolerated rate that is used; the rest covers views that differ for a moment. */
    static constexpr double usedShare = 0.7;

    explicit ColdAllowance(InstanceId self);

    /** Sets the instances among which allowances are divided; includes the own one. */
    void setInstances(std::set<InstanceId> live) { live_ = std::move(live); }

    /** Whether a request may be sent now. @param ratePerSecond tolerated by the server in all */
    bool available(const ServerId &server, double ratePerSecond, TimePoint now);

    /** Counts a request that is sent. */
    void spend(const ServerId &server, TimePoint now);

    /** Drops the servers that are not in @p known. */
    void retain(const std::set<ServerId> &known);

private:
    struct Bucket
    {
        double tokens = 1;
        TimePoint filled;
    };

    bool holds(const ServerId &server, std::size_t holders) const;

    InstanceId self_;
    std::set<InstanceId> live_;
    std::map<ServerId, Bucket> buckets_;
};

} // namespace jy
