#pragma once

#include "jy_base/ids/Ids.h"
#include "jy_base/time/TimeTypes.h"

#include <map>
#include <unordered_map>

namespace jy {

/** Requests at one backend server. */
struct ServerRequestCounts
{
    int inFlight = 0;

    /** Those of them whose answer has not begun. */
    int waiting = 0;

    bool operator==(const ServerRequestCounts &) const = default;
};

using RequestCountsByServer = std::map<ServerId, ServerRequestCounts>;

/**
 * Requests in flight at the backend servers: own ones, exactly, and those of the other instances as
 * of their last heartbeat.
 *
 * The sum over the other instances is kept as heartbeats come, so that reading it costs the same at
 * any size of the fleet.
 */
class LoadTable
{
public:
    /** Heartbeats older than this are dropped by expire(). */
    static constexpr std::chrono::milliseconds maxAge{6000};

    void start(const ServerId &server);

    /** The answer of a request has begun. */
    void responseStarted(const ServerId &server);

    /** @param began whether responseStarted() was called for the request */
    void finish(const ServerId &server, bool began);

    /** Replaces what another instance reported. */
    void setPeerRequests(const InstanceId &instance, RequestCountsByServer requests, TimePoint now);

    /** Replaces what a group of other instances reported as its sum. */
    void setGroupRequests(std::size_t group, RequestCountsByServer requests, TimePoint now);

    /** Own requests and what single instances reported: the sum of the own group. */
    RequestCountsByServer ownGroup() const;

    /** Forgets all reports, because the groups of the fleet have changed. */
    void clearReports();

    /** Drops what instances reported that have been silent for too long. */
    void expire(TimePoint now);

    std::size_t reportingInstances() const { return peers_.size(); }

    /** Requests of this instance. */
    ServerRequestCounts own(const ServerId &server) const;

    /** Requests of all instances, as far as known. */
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
    void takeFromSum(const RequestCountsByServer &requests);

    RequestCountsByServer own_;
    std::map<InstanceId, PeerRequests> peers_;
    std::map<std::size_t, PeerRequests> groups_;
    std::unordered_map<ServerId, ServerRequestCounts> peerSum_;
};

} // namespace jy
