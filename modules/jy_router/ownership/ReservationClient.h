#pragma once

#include "jy_core/ledger/LedgerTypes.h"
#include "jy_core/placement/OwnershipMap.h"
#include "jy_core/placement/ServerDirectory.h"
#include "jy_router/ownership/OwnerService.h"

#include <functional>
#include <map>
#include <string>
#include <vector>

namespace jy {

/** Calls to the owner of a server, by router. They suspend the fiber until the reply or timeout. */
struct ReservationClientDependencies
{
    OwnerService &owner;
    ServerDirectory &directory;
    OwnershipMap &ownership;
    std::function<TimePoint()> now;
    std::function<Result<peer::ReserveReply>(const InstanceId &, const peer::ReserveRequest &,
                                             std::chrono::milliseconds timeout)>
        reserve;
    std::function<Result<peer::ReleaseReply>(const InstanceId &, const peer::ReleaseRequest &)>
        release;
    std::function<Result<peer::InFlightReply>(const InstanceId &, const peer::InFlightReport &)>
        reportInFlight;
};

/** A caller's request for a place at one of the ranked servers. */
struct PlaceRequest
{
    /** Ranked servers, the home server first. @see ServerDirectory::candidates() */
    std::vector<ServerId> candidates;

    WorkspaceId workspace;
    std::uint64_t chatHash = 0;
    Priority priority = Priority::Normal;
    TimePoint deadline;

    /** Longest wait at the home server before the next one is tried. Set it for a returning chat,
     *  whose prefix is worth more than the wait. */
    std::chrono::milliseconds homeWait{0};

    std::string requestId;
    std::string route;
};

/** A place at a server, to be given back with ReservationClient::release(). */
struct Placed
{
    ReservationKey key;
    ServerId server;
    ServerId home;
    WorkspaceId workspace;
    std::uint64_t chatHash = 0;

    /** The home server refused, so its owner should learn where the chat went. */
    bool displaced = false;

    /** The server is on its cold-start ramp. */
    bool cold = false;
};

/**
 * The caller's side of reservations: finds a server for a request and reports what this router
 * holds. A reservation at an own server needs no message.
 */
class ReservationClient
{
public:
    ReservationClient(InstanceId self, std::uint64_t incarnation,
                      ReservationClientDependencies dependencies);
    ReservationClient(const ReservationClient &) = delete;
    ReservationClient &operator=(const ReservationClient &) = delete;

    /**
     * Obtains a place at the first server that admits the request.
     *
     * An exception of the chat is followed first. When all candidates refuse, the request waits
     * at its home server until the deadline or the queue timeout.
     *
     * Errors: those of the owner, PeerUnreachable, NoCapacity for an empty list of candidates,
     * DeadlineExceeded.
     */
    Result<Placed> place(const PlaceRequest &request);

    /**
     * Gives a place back; returns at once.
     *
     * @param sample null when no byte was sent to the server
     */
    void release(const Placed &placed, const RequestSample *sample, const std::string &route,
                 const std::string &version);

    /** The in-flight report, once a second. */
    std::vector<PeriodicTask> tasks();

    std::size_t held() const { return held_.size(); }

private:
    struct Outcome
    {
        ReservationKey key;
        ServerId redirect;
        bool cold = false;
    };
    struct Held
    {
        ServerId server;
        WorkspaceId workspace;
    };

    /** How a server is asked. */
    struct Attempt
    {
        /** No redirect: the server is not the home, or its exception was tried. */
        bool displaced = false;

        /** Longest wait for a place; zero to wait only while the whole pool is saturated. */
        std::chrono::milliseconds wait{0};
    };

    Result<Outcome> reserve(const PlaceRequest &request, const ServerId &server, Attempt attempt);
    Result<Outcome> reserveAt(const InstanceId &owner, const peer::ReserveRequest &request);
    Result<Placed> tryServer(const PlaceRequest &request, const ServerId &server, Attempt attempt);
    peer::ReserveRequest message(const PlaceRequest &request, const ServerId &server) const;
    void sendRelease(InstanceId owner, const peer::ReleaseRequest &request);
    void report();
    InstanceId ownerOf(const ServerId &server) const;
    bool live(const InstanceId &router) const;

    InstanceId self_;
    std::uint64_t incarnation_;
    ReservationClientDependencies dependencies_;
    std::map<ReservationKey, Held> held_;

    /** Owners that were asked for a reservation, and when; they expect reports. */
    std::map<InstanceId, TimePoint> contacted_;

    // Last, so that it is destroyed first.
    FiberGroup fibers_;
};

} // namespace jy
