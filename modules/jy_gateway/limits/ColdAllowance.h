#pragma once

#include "jy_base/ids/Ids.h"
#include "jy_base/time/TimeTypes.h"

#include <cstddef>
#include <map>
#include <set>
#include <vector>

namespace jy {

/**
 * Rate limit for the requests of this instance to cold backend servers.
 *
 * A few of the live instances, chosen by rendezvous hashing of the server, share the request rate
 * that one cold server tolerates; the others send it nothing. Shares are not transferred, so an
 * instance that hangs or is disconnected cannot use more than its own.
 */
class ColdAllowance
{
public:
    /** Maximum number of instances that share the rate of a cold server. Low, so that the share of
     * each amounts to whole requests. */
    static constexpr std::size_t maxInstancesPerServer = 4;

    /** Used part of the tolerated rate. The rest is a reserve for moments in which instances
     * disagree on which of them are live. */
    static constexpr double usableShare = 0.7;

    explicit ColdAllowance(InstanceId self);

    /** Sets the live instances, including this one. */
    void setInstances(std::set<InstanceId> live) { live_ = std::move(live); }

    /** Whether a request may be sent now. @param ratePerSecond rate that the server tolerates from
     * all instances together */
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

    /** Whether this instance is one of the @p sharers instances that may send to the server. */
    bool hasShare(const ServerId &server, std::size_t sharers) const;

    InstanceId self_;
    std::set<InstanceId> live_;
    std::map<ServerId, Bucket> buckets_;
};

} // namespace jy
