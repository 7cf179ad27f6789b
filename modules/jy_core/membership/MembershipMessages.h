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
    Suspect, /**< missed a probe; still counted as live until the suspicion times out */
    Dead,
    Leaving, /**< withdraws; answers probes, takes no new work */
    Left,
};

/** What the fleet knows of one router. */
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

/** Identifies a set of stop marks, to notice a difference cheaply. */
struct StopMarkDigest
{
    std::uint32_t count = 0;
    std::uint64_t hash = 0;

    bool operator==(const StopMarkDigest &) const = default;
};

/** Part of every datagram. */
struct Piggyback
{
    MemberInfo sender;

    /**
     * Changes in the member table. An update without a gossip endpoint is short: it carries only
     * id, incarnation, state and applied revision, and a receiver that does not know the member
     * ignores it.
     */
    std::vector<MemberInfo> updates;

    std::uint64_t headRevision = 0;
    StopMarkDigest stopMarks;
    HybridTime hybridTime;

    /** Digest of the sender's live members; a difference starts a synchronisation. */
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

/** Asks the receiver to probe a third router. */
struct PingRequest
{
    std::uint64_t sequence = 0;
    Endpoint target;
    InstanceId targetId;
    bool operator==(const PingRequest &) const = default;
};

/** Carries only the piggyback. */
struct Announce
{
    bool operator==(const Announce &) const = default;
};

/** Asks for the page of the member table after an id; the empty id asks for the first page. */
struct SyncRequest
{
    InstanceId after;
    bool operator==(const SyncRequest &) const = default;
};

/** One page of the member table, in the updates of the piggyback. */
struct SyncPage
{
    /** The request that this page answers. */
    InstanceId after;

    /** Last id of the page; empty on the last page. */
    InstanceId next;
    bool operator==(const SyncPage &) const = default;
};

/** Load of the servers of one pool that the sender owns. */
struct PoolReport
{
    /** "model@region". */
    std::string pool;
    std::uint32_t inFlight = 0;
    std::uint32_t servers = 0;
    std::uint32_t limit = 0;
    std::uint32_t queued = 0;

    bool operator==(const PoolReport &) const = default;
};

/** Sums of the reports of a pool. */
struct PoolTotals
{
    PoolReport sum;
    bool operator==(const PoolTotals &) const = default;
};

struct Datagram
{
    Piggyback piggyback;
    std::variant<Announce, Ping, Ack, PingRequest, SyncRequest, SyncPage, PoolReport, PoolTotals>
        body;

    bool operator==(const Datagram &) const = default;
};

} // namespace jy
