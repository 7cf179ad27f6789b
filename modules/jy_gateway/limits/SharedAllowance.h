#pragma once

#include "jy_base/ids/Ids.h"
#include "jy_base/time/TimeTypes.h"

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <set>

namespace jy {

/**
 * Shares a request rate that a backend server tolerates between instances, without messages.
 *
 * A few of the live instances, chosen by rendezvous hashing of the server, have equal shares; the
 * others send nothing. Shares are not transferred, so an instance that hangs or is disconnected
 * cannot use more than its own. A share saves up one request at most, so that the instances
 * together exceed the rate by no more than one request each.
 */
class SharedAllowance
{
public:
    explicit SharedAllowance(InstanceId self);

    /** Sets the live instances, including this one. */
    void setInstances(std::set<InstanceId> live);

    std::size_t liveInstances() const { return live_.size(); }

    /**
     * Whether a request may be sent now.
     *
     * @param ratePerSecond requests per second from all instances together
     * @param sharers number of instances that share it
     */
    bool available(const ServerId &server, double ratePerSecond, std::size_t sharers,
                   TimePoint now);

    /** When the next request may be sent, as of the last call of available(). Has no value if this
     * instance has no share. */
    std::optional<TimePoint> nextAt(const ServerId &server) const;

    /** Counts a request that is sent. */
    void spend(const ServerId &server, TimePoint now);

    /** Drops the servers that are not in @p known. */
    void retain(const std::set<ServerId> &known);

private:
    struct Share
    {
        double tokens = 1;
        TimePoint filled;

        /** Requests per second of this instance; 0 if it has no share. */
        double rate = 0;

        /** Number of live instances that precede this one in the order for the server, as of
         * @c fleet. */
        std::size_t rank = 0;
        std::uint64_t fleet = 0;
    };

    /** Number of live instances that precede this one in the order for the server. */
    std::size_t rankFor(const ServerId &server) const;

    InstanceId self_;
    std::set<InstanceId> live_;

    /** Incremented with each change of the live instances. */
    std::uint64_t fleet_ = 1;
    std::map<ServerId, Share> shares_;
};

} // namespace jy
