#pragma once

#include "jy_base/ids/Ids.h"
#include "jy_base/time/TimeTypes.h"

#include <map>
#include <unordered_map>

namespace jy {

/** Requests at one backend server. */
struct ServerUse
{
    int inFlight = 0;

    /** Those of them whose answer has not begun. */
    int waiting = 0;

    bool operator==(const ServerUse &) const = default;
};

using UseByServer = std::map<ServerId, ServerUse>;

/**
 * Use of the backend servers: by own requests, exactly, and by those of the other instances as of
 * their last heartbeat.
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
    void setPeerUse(const InstanceId &instance, UseByServer use, TimePoint now);

    /** Replaces what a group of other instances reported as its sum. */
    void setGroupUse(std::size_t group, UseByServer use, TimePoint now);

    /** Own use and what single instances reported: the sum of the own group. */
    UseByServer ownGroup() const;

    /** Forgets all reports, because the groups of the fleet have changed. */
    void clearReports();

    /** Drops what instances reported that have been silent for too long. */
    void expire(TimePoint now);

    std::size_t reportingInstances() const { return peers_.size(); }

    /** Use by this instance. */
    ServerUse own(const ServerId &server) const;

    /** Use by all instances, as far as known. */
    ServerUse total(const ServerId &server) const;

    const UseByServer &own() const { return own_; }

private:
    struct PeerUse
    {
        UseByServer use;
        TimePoint received;
    };

    void replace(PeerUse &report, UseByServer use, TimePoint now);
    void addToSum(const UseByServer &use);
    void takeFromSum(const UseByServer &use);

    UseByServer own_;
    std::map<InstanceId, PeerUse> peers_;
    std::map<std::size_t, PeerUse> groups_;
    std::unordered_map<ServerId, ServerUse> peerSum_;
};

} // namespace jy
