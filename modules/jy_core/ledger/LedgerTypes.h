#pragma once

#include "jy_base/errors/Error.h"
#include "jy_base/ids/Ids.h"
#include "jy_base/time/TimeTypes.h"
#include "jy_core/limits/ColdStartRamp.h"
#include "jy_core/limits/ConcurrencyLimit.h"
#include "jy_core/limits/RequestQueue.h"
#include "jy_core/placement/ExceptionTable.h"

#include <compare>
#include <cstdint>
#include <string>
#include <variant>
#include <vector>

namespace jy {

/** Key of a reservation, unique in the fleet: the owner that granted it and a sequence number. */
struct ReservationKey
{
    InstanceId owner;
    std::uint64_t incarnation = 0;
    std::uint64_t sequence = 0;

    auto operator<=>(const ReservationKey &) const = default;
};

/** A request for one concurrency slot of a server. */
struct ReserveInput
{
    InstanceId holder;
    ServerId server;
    WorkspaceId workspace;
    double weight = 1;

    /** Zero for a request without a chat. */
    std::uint64_t chatHash = 0;

    Priority priority = Priority::Normal;

    /** Longest time the request may spend in the queue; zero to refuse instead of queueing. */
    Duration maxWait{0};

    /** Suppresses the redirect: the server is not the chat's home server, or the server that the
     *  exception names was already tried. */
    bool displaced = false;

    /** Allows queueing even if other servers of the pool have free capacity: all candidates have
     *  refused, or using the prefix cached at this server is worth a short wait. */
    bool mayWait = false;
};

/** The reservation was granted. */
struct Granted
{
    ReservationKey key;
};

/** The request was queued; a GrantQueued or RefuseQueued action with this ticket follows. */
struct Queued
{
    std::uint64_t ticket = 0;
};

/** The exception table maps the chat to another server, whose prompt cache holds its prefix. */
struct Redirected
{
    ServerId server;
};

/** The reservation was refused. */
struct Refused
{
    Error error;
};

using ReserveResult = std::variant<Granted, Queued, Redirected, Refused>;

/** The end of a reservation. */
struct ReleaseInput
{
    ReservationKey key;
    ServerId server;
    RequestSample sample;

    /** False when nothing was sent to the server, so there is no outcome to learn from. */
    bool hasSample = true;
};

/** A reservation as reported by its holder or handed off by the previous owner. */
struct HeldReservation
{
    ReservationKey key;
    ServerId server;
    WorkspaceId workspace;
    InstanceId holder;
};

/** A queued request was granted. */
struct GrantQueued
{
    std::uint64_t ticket = 0;
    ReservationKey key;
};

/** A queued request was refused. */
struct RefuseQueued
{
    std::uint64_t ticket = 0;
    Error error;
};

/** A reservation expired before its holder released it. */
struct ReservationExpired
{
    ServerId server;
    ReservationKey key;
    InstanceId holder;
};

using LedgerAction = std::variant<GrantQueued, RefuseQueued, ReservationExpired>;
using LedgerActions = std::vector<LedgerAction>;

/** The state that lets a new owner of a server continue without a recovery period. */
struct HandOffState
{
    ServerId server;
    std::vector<HeldReservation> inFlight;

    /** Concurrency limit. Zero when the sender never owned the server or is itself in recovery: the
     *  hand-off then only confirms the new owner, which continues its recovery. */
    double limit = 0;

    bool cold = true;
    std::string startIdentity;
    double baselineFirstTokenMs = 0;
    std::vector<ExceptionTable::Item> exceptions;
};

/** What a router knows of a server that it owned before. The limit is zero if it never did. */
struct LastKnownState
{
    double limit = 0;
    bool cold = true;
    std::string startIdentity;
};

/** The configuration of one owned server. */
struct OwnedServerSpec
{
    ServerId id;

    /** Name of the pool whose mean load bounds the load of this server. @see poolName() */
    std::string pool;

    int maxConcurrency = 16;
    double loadMultiple = 1.25;
    int loadFloor = 4;

    bool operator==(const OwnedServerSpec &) const = default;
};

struct LedgerSettings
{
    InstanceId self;

    /** Start time of this process; part of every reservation key, so that keys stay unique across
     *  restarts. */
    std::uint64_t incarnation = 0;

    /** Time between two reports of a holder. */
    Duration reportInterval = std::chrono::seconds(1);

    /** Reservations of a holder that has failed, or that no longer reports them, expire after
     *  this time without renewal. */
    Duration expiry = std::chrono::seconds(4);

    /** After a pause of this length the owner enters recovery, because its servers may have been
     *  taken over. Shorter than the time in which membership declares a router dead. */
    Duration pauseThreshold = std::chrono::seconds(2);

    std::size_t queueLength = 64;
    std::size_t exceptionCapacity = ExceptionTable::defaultCapacity;
    ColdStartSettings coldStart;
};

/** Load summed over servers of a pool: those of one owner, or all as totalled by the aggregator. */
struct PoolLoad
{
    int inFlight = 0;
    int servers = 0;
    int limit = 0;
    int queued = 0;

    bool operator==(const PoolLoad &) const = default;
};

/** Limits that the load of the pool puts on one of its servers. */
struct PoolBound
{
    /** Largest number of requests in flight. */
    int bound = 0;

    /** The pool has no free capacity, so queueing is better than trying the next server. */
    bool saturated = false;

    /** This router is in a minority partition, so the recovery limit applies to every server. */
    bool restricted = false;
};

} // namespace jy
