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

/** Names one reservation in the fleet: the owner that granted it and its sequence number. */
struct ReservationKey
{
    InstanceId owner;
    std::uint64_t incarnation = 0;
    std::uint64_t sequence = 0;

    auto operator<=>(const ReservationKey &) const = default;
};

/** A request for one place at a server. */
struct ReserveInput
{
    InstanceId holder;
    ServerId server;
    WorkspaceId workspace;
    double weight = 1;

    /** Zero for a request without a chat. */
    std::uint64_t chatHash = 0;

    Priority priority = Priority::Normal;

    /** Longest time in the queue. */
    Duration maxWait{0};

    /** The server is not the chat's home, or its exception was tried: no redirect. */
    bool displaced = false;

    /** All candidates have refused: wait here even if the pool has room elsewhere. */
    bool lastResort = false;
};

struct Granted
{
    ReservationKey key;
};

/** The request waits; a GrantQueued or RefuseQueued action with the ticket follows. */
struct Queued
{
    std::uint64_t ticket = 0;
};

/** An exception of the chat names another server, which has the chat's prefix in its cache. */
struct Redirected
{
    ServerId server;
};

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

    /** False when nothing was sent, so the outcome says nothing about the server. */
    bool hasSample = true;
};

/** One reservation as its holder or the previous owner describes it. */
struct HeldReservation
{
    ReservationKey key;
    ServerId server;
    WorkspaceId workspace;
    InstanceId holder;
};

struct GrantQueued
{
    std::uint64_t ticket = 0;
    ReservationKey key;
};

struct RefuseQueued
{
    std::uint64_t ticket = 0;
    Error error;
};

/** A reservation was removed without a release. */
struct ReservationExpired
{
    ServerId server;
    ReservationKey key;
    InstanceId holder;
};

using LedgerAction = std::variant<GrantQueued, RefuseQueued, ReservationExpired>;
using LedgerActions = std::vector<LedgerAction>;

/** Everything that a new owner needs to continue without recovery. */
struct HandOffState
{
    ServerId server;
    std::vector<HeldReservation> inFlight;

    /** Zero when the sender never owned the server or is itself in recovery: the hand-off then only
     *  confirms the new owner, which continues its recovery. */
    double limit = 0;

    bool cold = true;
    std::string startIdentity;
    double baselineFirstTokenMs = 0;
    std::vector<ExceptionTable::Item> exceptions;
};

/** What a router remembers of a server that it owned before. */
struct LastKnown
{
    double limit = 0;
    bool cold = true;
    std::string startIdentity;
};

/** The parts of the configuration that concern one owned server. */
struct OwnedServerSpec
{
    ServerId id;

    /** Servers whose mean load bounds this one. @see poolName() */
    std::string pool;

    int maxConcurrency = 16;
    double loadMultiple = 1.25;
    int loadFloor = 4;

    bool operator==(const OwnedServerSpec &) const = default;
};

struct LedgerSettings
{
    InstanceId self;

    /** Start time of this process; part of every key it grants. */
    std::uint64_t incarnation = 0;

    Duration reportInterval = std::chrono::seconds(1);

    /** Reservations of a holder that has failed, or that no longer reports them, expire after
     *  this time without renewal. */
    Duration expiry = std::chrono::seconds(4);

    /** An owner that made no step for this long treats its servers as possibly taken over. It is
     *  less than the time in which membership declares a router dead. */
    Duration pauseThreshold = std::chrono::seconds(2);

    std::size_t queueLength = 64;
    std::size_t exceptionCapacity = ExceptionTable::defaultCapacity;
    ColdStartSettings coldStart;
};

/** Sums over a pool; the totals come from the pool's aggregator. */
struct PoolLoad
{
    int inFlight = 0;
    int servers = 0;
    int limit = 0;
    int queued = 0;

    bool operator==(const PoolLoad &) const = default;
};

/** What the pool allows one of its servers at the moment of a decision. */
struct PoolBound
{
    /** Largest number of requests in flight. */
    int bound = 0;

    /** No server of the pool has room, so waiting is better than trying the next one. */
    bool saturated = false;

    /** This router is in a minority partition: every server is under the recovery limit. */
    bool restricted = false;
};

} // namespace jy
