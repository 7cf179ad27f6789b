#pragma once

#include "jy_gateway/limits/SharedAllowance.h"

#include <chrono>
#include <deque>
#include <map>
#include <optional>
#include <set>
#include <utility>
#include <vector>

namespace jy {

/** A change of a server's limit, or its renewal, for other instances. */
struct ServerLimitReport
{
    ServerId server;

    /** Requests per second; nothing if the server names no limit any more. */
    std::optional<double> perSecond;
};

/**
 * Limits on requests per second that backend servers named in their responses.
 *
 * A limit is for all instances together and holds for as long as the responses name it. Instances
 * tell each other of limits and divide each one, see SharedAllowance. The number of instances with
 * a share is low enough for each to have whole requests, and for the request that each may have
 * saved up to be a small part of the limit.
 *
 * The load that this answers: servers in need of relief, some or all of a service, in a fleet of
 * any size. Requests that a server may not get go to others, or are refused at once if there are
 * none.
 */
class ServerRateLimits
{
public:
    /** Shortest time after which a limit is forgotten if no response renews it. */
    static constexpr std::chrono::seconds minLifetime{6};

    /** Time after which an instance reports a limit that no other instance has reported since. */
    static constexpr std::chrono::seconds repeatInterval{2};

    /** Instances that share a limit, for each request per second. */
    static constexpr double sharersPerRequest = 2;

    /** Maximum number of reports that wait to be sent. */
    static constexpr std::size_t maxPending = 64;

    explicit ServerRateLimits(InstanceId self);

    /** Sets the live instances, including this one. */
    void setInstances(std::set<InstanceId> live) { allowance_.setInstances(std::move(live)); }

    /**
     * Records what a response of the server said.
     *
     * @param perSecond nothing if the response named no limit
     * @returns whether the limit changed
     */
    bool observe(const ServerId &server, std::optional<double> perSecond, TimePoint now);

    /** Records what another instance of the same group reported, and passes it on to the other
     * groups. @returns whether the limit changed */
    bool receive(const ServerLimitReport &report, TimePoint now);

    /** Records what another group reported. */
    bool receiveFromGroup(const ServerLimitReport &report, TimePoint now);

    /** Removes and returns reports for the next heartbeat, changes first. */
    std::vector<ServerLimitReport> takeReports(std::size_t maxCount);

    /** Removes and returns reports for the other groups. */
    std::vector<ServerLimitReport> takeGroupReports(std::size_t maxCount);

    /** @returns the limit in force, or nothing */
    std::optional<double> limitOf(const ServerId &server, TimePoint now) const;

    /** Whether a request may be sent to the server now. */
    bool available(const ServerId &server, TimePoint now);

    /** When this instance may send the next request to a server that is not available; nothing if
     * it has no share. */
    std::optional<TimePoint> nextAt(const ServerId &server) const
    {
        return allowance_.nextAt(server);
    }

    /** Counts a request that is sent. */
    void spend(const ServerId &server, TimePoint now);

    /** Drops the servers that are not in @p known. */
    void retain(const std::set<ServerId> &known);

private:
    struct Limit
    {
        double perSecond = 0;
        TimePoint renewed;

        /** When any instance last reported it. */
        TimePoint reported;
    };

    using Reports = std::deque<ServerLimitReport>;

    bool set(const ServerId &server, std::optional<double> perSecond, TimePoint now);
    static void queue(Reports &reports, const ServerLimitReport &report, bool changed);
    static std::vector<ServerLimitReport> take(Reports &reports, std::size_t maxCount);

    std::map<ServerId, Limit> limits_;
    SharedAllowance allowance_;
    Reports heartbeats_;
    Reports groupReports_;
};

} // namespace jy
