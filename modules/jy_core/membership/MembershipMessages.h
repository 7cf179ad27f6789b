#pragma once

#include "jy_base/ids/Ids.h"
#include "jy_base/time/HybridClock.h"
#include "jy_core/model/Endpoint.h"

#include <cstdint>
#include <string>
#include <variant>
#include <vector>

namespace jy {

/** State of a router in the member table. */
enum class MemberState {
    Alive,
    Suspect, /**< did not reply to a probe; counts as live until the suspicion times out */
    Dead,
    Leaving, /**< shutting down: replies to probes but takes no new work */
    Left,
};

/** Record of one router in the member table. */
struct MemberInfo
{
    InstanceId id;
    DomainId domain;
    RegionId region;
    Endpoint gossip;
    Endpoint rpc;
    Endpoint caller;
    Endpoint operations;

    /** Start time in milliseconds since the Unix epoch, raised to refute a suspicion. */
    std::uint64_t incarnation = 0;

    MemberState state = MemberState::Alive;

    /** Configuration revision in force on this router. */
    std::uint64_t appliedRevision = 0;

    bool operator==(const MemberInfo &) const = default;
};

/** Digest of a set of stop marks, exchanged to detect differences. */
struct StopMarkDigest
{
    std::uint32_t count = 0;
    std::uint64_t hash = 0;

    bool operator==(const StopMarkDigest &) const = default;
};

/** Membership data that every datagram carries. */
struct Piggyback
{
    MemberInfo sender;

    /**
     * Changes in the member table. An update without a gossip endpoint carries only id,
     * incarnation, state and applied revision; a receiver that does not know the member ignores it.
     */
    std::vector<MemberInfo> updates;

    std::uint64_t headRevision = 0;
    StopMarkDigest stopMarks;
    HybridTime hybridTime;

    /** Digest of the sender's reachable members; a lasting difference starts a synchronisation. */
    std::uint64_t tableDigest = 0;

    bool operator==(const Piggyback &) const = default;
};

struct Ping
{
    std::uint64_t sequence = 0;
    bool operator==(const Ping &) const = default;
};

struct Ack
{
    std::uint64_t sequence = 0;
    bool operator==(const Ack &) const = default;
};

/** Asks the receiver to probe another router on behalf of the sender. */
struct PingRequest
{
    std::uint64_t sequence = 0;
    Endpoint target;
    InstanceId targetId;
    bool operator==(const PingRequest &) const = default;
};

/** Empty body: the datagram carries only the piggyback. */
struct Announce
{
    bool operator==(const Announce &) const = default;
};

/** Requests the page of the member table after an id; an empty id requests the first page. */
struct SyncRequest
{
    InstanceId after;
    bool operator==(const SyncRequest &) const = default;
};

/** Reply to SyncRequest; the records of the page are in Piggyback::updates. */
struct SyncPage
{
    /** Copied from SyncRequest::after. */
    InstanceId after;

    /** Last id of the page; empty on the last page. */
    InstanceId next;
    bool operator==(const SyncPage &) const = default;
};

/** Load of those servers of a pool that the sender owns. */
struct PoolReport
{
    /** Name of the pool, "model@region". */
    std::string pool;
    std::uint32_t inFlight = 0;
    std::uint32_t servers = 0;
    std::uint32_t limit = 0;
    std::uint32_t queued = 0;

    bool operator==(const PoolReport &) const = default;
};

/** Totals over the reports of all owners of a pool. */
struct PoolTotals
{
    PoolReport sum;
    bool operator==(const PoolTotals &) const = default;
};

/** A message between routers. */
struct Datagram
{
    Piggyback piggyback;
    std::variant<Announce, Ping, Ack, PingRequest, SyncRequest, SyncPage, PoolReport, PoolTotals>
        body;

    bool operator==(const Datagram &) const = default;
};

} // namespace jy
