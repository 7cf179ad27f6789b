#pragma once

#include "jy_base/time/TimeTypes.h"
#include "jy_core/orders/OrderLease.h"
#include "jy_gateway/adapter/DutyApi.h"
#include "jy_gateway/adapter/SharedStore.h"

#include <algorithm>
#include <chrono>
#include <functional>
#include <optional>
#include <string>

namespace jy {

/** Key of the holder of the duties in the shared store. Its lease is that of the holder. */
inline constexpr std::string_view dutyHolderKey = "duties/holder";

/**
 * Key that keeps the fencing tokens rising over restores of the store: written with each holder,
 * without a lease.
 */
inline constexpr std::string_view dutyFenceKey = "duties/fence";

/**
 * Content of the holder's key. The fencing token is the revision of the key, or tokenFloor if that
 * is higher.
 */
struct DutyHolder
{
    InstanceId instance;

    /** Start time of the process in Unix milliseconds. */
    std::uint64_t incarnation = 0;

    /** Number of the attempt to acquire the duties, to recognise the result of a lost response. */
    std::uint64_t attempt = 0;

    /** Lowest token that is above those of all earlier holders; 0 if an earlier build wrote it. */
    std::uint64_t tokenFloor = 0;

    bool operator==(const DutyHolder &) const = default;
};

std::string encodeHolder(const DutyHolder &holder);
std::optional<DutyHolder> decodeHolder(std::string_view text);

/** Content of the fence's key. */
struct DutyFence
{
    /** Era in which it was written. */
    StoreEra era = 0;

    /** The tokenFloor of the holder that was written with it. */
    std::uint64_t tokenFloor = 0;

    bool operator==(const DutyFence &) const = default;
};

std::string encodeFence(const DutyFence &fence);
std::optional<DutyFence> decodeFence(std::string_view text);

struct DutyLeaseSettings
{
    /** Lifetime of the lease in the store, and minimum time between acts of two holders. */
    std::chrono::milliseconds lifetime{3000};

    /** Whether the platform rejects calls with an outdated fencing token. */
    bool fencingRequired = false;

    /** Time before the end of the lease from which nothing is sent. */
    std::chrono::milliseconds guard() const { return lifetime / 10; }

    /** Timeout of a call to the platform. Leaves two thirds of the lifetime for renewals. */
    std::chrono::milliseconds callTimeout() const
    {
        return std::min(std::chrono::milliseconds(1000), lifetime / 3);
    }
};

/**
 * Acquires and keeps the right to perform the duties of the deployment.
 *
 * The holder is the instance whose entry is at dutyHolderKey, written on the condition that there
 * was none and bound to a lease. The fencing token is the revision of that write as long as the
 * store was not restored; afterwards the fence keeps it above those of all earlier holders. A
 * holder sends only while the lease is valid by its own monotonic clock, counted from before the
 * latest renewal was sent, and a new holder waits for longer than that before its first call.
 *
 * The lease belongs to the era in which it was granted: it is lost once a later era is known, and
 * its identifier, which may be that of another lease then, is used no more.
 *
 * All calls suspend the calling fiber. At most one fiber may use acquire(), renew() and release().
 */
class DutyLease
{
public:
    using ClockHook = std::function<TimePoint()>;
    using EraHook = std::function<StoreEra()>;

    /**
     * @p store must outlive this object.
     *
     * @param clock bootTime() in production
     * @param storeEra latest known era, updated before any response of the store is returned
     */
    DutyLease(const SharedStore &store, DutyHolder self, DutyLeaseSettings settings,
              ClockHook clock, EraHook storeEra);

    /**
     * Tries to become the holder. Call it when the store is believed to have no holder, or to show
     * this process as the holder while it has not acquired the duties.
     *
     * @returns KvConflict if another instance is the holder, or the error of the store; after
     * KvOutcomeUnknown the next call finds out what became of the write
     */
    Result<void> acquire();

    /** Renews the lease if that is due. The right is lost if the store no longer knows the lease,
     * or was restored. */
    Result<void> renew();

    /** Gives the right up, so that another instance can take over at once. After an error the
     * lease ends by itself. */
    Result<void> release();

    /** Gives the right up because another holder was seen in the store. */
    void lose();

    /** Notes the era of the store; called regularly, so that the first one is known even if this
     * process tries to acquire the duties only after a restore. */
    void noteEra();

    /** Notes the token of a holder that the store shows; later tokens of this process are above it.
     */
    void noteHolder(std::uint64_t token) { highestToken_ = std::max(highestToken_, token); }

    /** Whether this instance has acquired the duties and not lost them since. The lease may have
     * expired meanwhile, which only a renewal shows. */
    bool acquired() const { return acquired_; }

    bool held() const { return acquired_ && inEra() && order_.held(clock_()); }

    /** Whether the store was not restored since the latest acquisition, as far as is known. */
    bool inEra() const { return storeEra_() == era_; }

    /** Era of the latest acquisition. */
    StoreEra era() const { return era_; }

    /**
     * Time before which no other instance can have acquired the duties before a restore of the
     * store; nothing if another one may have since the latest acquisition.
     */
    std::optional<TimePoint> soleUntil() const { return soleUntil_; }

    /** The fencing token; 0 before the first acquisition. */
    std::uint64_t token() const { return token_; }

    /** @returns nothing if no call may be sent now: the lease may end before the call does, or a
     * call of the previous holder may still be on its way */
    std::optional<DutyCredential> credentialForCall() const;

    /** Revision of the holder's key, in the era of the acquisition. */
    std::uint64_t revision() const { return revision_; }

    /** Condition under which only the current holder can write to the store, in era(). */
    StoreCondition condition() const { return {std::string(dutyHolderKey), revision_}; }

private:
    /** A write of the holder's key whose outcome is unknown. */
    struct Unresolved
    {
        TimePoint requestSent;
        StoreEra era = 0;
    };

    void granted(std::uint64_t revision, TimePoint requestSent, StoreEra era);
    bool isOwn(const DutyHolder &holder) const;
    std::uint64_t tokenFloorAfter(const DutyFence &fence, std::uint64_t fenceRevision,
                                  StoreEra era) const;
    Result<void> loseWithEra();

    /** Determines whether a write without a response has taken effect. */
    Result<void> resolve();

    const SharedStore &store_;
    DutyHolder self_;
    DutyLeaseSettings settings_;
    ClockHook clock_;
    EraHook storeEra_;
    OrderLease order_;
    bool acquired_ = false;
    std::uint64_t token_ = 0;
    std::uint64_t revision_ = 0;
    std::uint64_t lease_ = 0;
    StoreEra era_ = 0;
    std::optional<TimePoint> soleUntil_;

    /** Earliest era that this process has seen. */
    std::optional<StoreEra> firstEra_;

    /** Highest token of a holder that the store has shown. */
    std::uint64_t highestToken_ = 0;
    std::optional<Unresolved> unresolved_;
};

} // namespace jy
