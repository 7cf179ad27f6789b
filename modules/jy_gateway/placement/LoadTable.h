#pragma once

#include "jy_base/ids/Ids.h"
#include "jy_base/time/TimeTypes.h"

#include <map>
#include <unordered_map>

namespace jy {

/** Requests in flight at one backend server. */
struct ServerRequestCounts
{
    int inFlight = 0;

    /** Requests in flight whose response has not started. */
    int waiting = 0;

    bool operator==(const ServerRequestCounts &) const = default;
};

using RequestCountsByServer = std::map<ServerId, ServerRequestCounts>;

/**
 * Requests in flight at the backend servers: exact counts of this instance, and those of the other
 * instances as of their last heartbeat.
 *
 * The sum over the other instances is updated with each heartbeat, so that the cost of reading it
 * does not depend on the size of the fleet.
 */
class LoadTable
{
public:
    /** Age above which expire() drops a report. */
    static constexpr std::chrono::milliseconds maxAge{6000};

    void requestStarted(const ServerId &server);

    /** The response to a request has started. */
    void responseStarted(const ServerId &server);

    /** @param hadResponse whether responseStarted() was called for the request */
    void requestFinished(const ServerId &server, bool hadResponse);

    /** Replaces the counts that another instance reported. */
    void setPeerRequests(const InstanceId &instance, RequestCountsByServer requests, TimePoint now);

    /** Replaces the sum that a group of other instances reported. */
    void setGroupRequests(std::size_t group, RequestCountsByServer requests, TimePoint now);

    /** @returns the sum over the group of this instance: its own requests and the reports of single
     * instances */
    RequestCountsByServer ownGroup() const;

    /** Drops all reports; called when the groups of the fleet change. */
    void clearReports();

    /** Drops the reports that are older than maxAge. */
    void expire(TimePoint now);

    std::size_t reportingInstances() const { return peers_.size(); }

    /** Requests of this instance. */
    ServerRequestCounts own(const ServerId &server) const;

    /** Requests of all instances, as far as they were reported. */
    ServerRequestCounts total(const ServerId &server) const;

    const RequestCountsByServer &own() const { return own_; }

private:
    struct PeerRequests
    {
        RequestCountsByServer requests;
        TimePoint received;
    };

    void replace(PeerRequests &report, RequestCountsByServer requests, TimePoint now);
    void addToSum(const RequestCountsByServer &requests);
    void subtractFromSum(const RequestCountsByServer &requests);

    RequestCountsByServer own_;
    std::map<InstanceId, PeerRequests> peers_;
    std::map<std::size_t, PeerRequests> groups_;
    std::unordered_map<ServerId, ServerRequestCounts> peerSum_;
};

} // namespace jy
