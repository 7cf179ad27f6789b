#pragma once

#include "jy_base/ids/Ids.h"
#include "jy_base/time/TimeTypes.h"

#include <cstdint>
#include <functional>
#include <map>
#include <unordered_map>
#include <vector>

namespace jy {

/**
 * Detects backend servers that send nothing although their connections stay open.
 *
 * A server that lost power or is behind a network partition resets no connections. Requests would
 * be sent to it until they time out, and those that must not run twice would be lost. Each request
 * in flight therefore has a silence timeout. A server is stalled when one of its requests has
 * waited for longer than that and no other request has received anything from the server in the
 * meantime. The next byte from the server ends the stall.
 *
 * A server with more requests than slots queues the last ones, so in that case only requests whose
 * response has started are taken into account.
 *
 * Instances exchange their stalled servers, because each has only a few requests at a server.
 */
class StallDetector
{
public:
    using RequestKey = std::uint64_t;

    /** Whether a server has more requests in flight than it processes at once. */
    using IsFull = std::function<bool(const ServerId &)>;

    /** Reports of other instances expire after this time unless they are renewed. It spans two
     * heartbeats of a large fleet. */
    static constexpr std::chrono::milliseconds peerLifetime{1200};

    explicit StallDetector(IsFull isFull);

    /**
     * Starts monitoring a request that was sent.
     *
     * @param silenceTimeout time within which a healthy server sends something
     * @param onStall called by check() at most once if the server is stalled; may be empty. Must
     *        not call requestSent() or requestEnded().
     */
    RequestKey requestSent(const ServerId &server, std::chrono::milliseconds silenceTimeout,
                           TimePoint now, std::function<void()> onStall = {});

    /** Part of the response arrived. Restarts the wait with @p silenceTimeout and drops onStall. */
    void dataReceived(const ServerId &server, RequestKey request,
                      std::chrono::milliseconds silenceTimeout, TimePoint now);

    void requestEnded(const ServerId &server, RequestKey request);

    /** Whether new requests should go to other servers if there are any. */
    bool isStalled(const ServerId &server, TimePoint now) const;

    /** Servers that are stalled according to the requests of this instance. */
    std::vector<ServerId> ownStalled(TimePoint now) const;

    /** Replaces the stalled servers that another instance reported. */
    void setPeerStalled(const InstanceId &instance, const std::vector<ServerId> &servers,
                        TimePoint now);

    /** Calls onStall of the requests at stalled servers and drops expired reports. */
    void check(TimePoint now);

    /** Number of servers that other instances reported as stalled. */
    std::size_t reportedServers() const { return peerReports_.size(); }

private:
    struct Request
    {
        std::chrono::milliseconds silenceTimeout{0};

        /** Start of the current wait: when the request was sent or last received data. */
        TimePoint waitingSince;
        bool responseStarted = false;
        std::function<void()> onStall;
    };

    struct Server
    {
        std::map<RequestKey, Request> requests;

        /** When any request of this instance last received data from the server. */
        TimePoint lastReceived;
    };

    bool hasOverdueRequest(const ServerId &id, const Server &server, TimePoint now) const;
    bool isReportedByPeer(const ServerId &server, TimePoint now) const;

    IsFull isFull_;

    /** Servers with requests of this instance in flight. */
    std::unordered_map<ServerId, Server> servers_;

    /** Times of the reports, by stalled server and reporting instance. */
    std::unordered_map<ServerId, std::map<InstanceId, TimePoint>> peerReports_;
    RequestKey nextKey_ = 1;
};

} // namespace jy
