#pragma once

#include "jy_gateway/limits/SharedAllowance.h"

#include <cstddef>
#include <set>
#include <utility>

namespace jy {

/**
 * Rate limit for the requests of this instance to cold backend servers, of which it has a share,
 * see SharedAllowance.
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

    explicit ColdAllowance(InstanceId self)
        : allowance_(std::move(self))
    { }

    /** Sets the live instances, including this one. */
    void setInstances(std::set<InstanceId> live) { allowance_.setInstances(std::move(live)); }

    /** Whether a request may be sent now. @param ratePerSecond rate that the server tolerates from
     * all instances together */
    bool available(const ServerId &server, double ratePerSecond, TimePoint now);

    /** Counts a request that is sent. */
    void spend(const ServerId &server, TimePoint now) { allowance_.spend(server, now); }

    /** Drops the servers that are not in @p known. */
    void retain(const std::set<ServerId> &known) { allowance_.retain(known); }

private:
    SharedAllowance allowance_;
};

} // namespace jy
