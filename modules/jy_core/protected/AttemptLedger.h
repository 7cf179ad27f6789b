#pragma once

#include "jy_base/time/TimeTypes.h"
#include "jy_core/config/KvValue.h"
#include "jy_core/protected/AttemptRecord.h"
#include "jy_core/protected/AttemptShard.h"
#include "jy_core/protected/ProtectedKey.h"

#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <variant>
#include <vector>

namespace jy {

/** Batching, size limits and retention of an AttemptLedger. */
struct AttemptLedgerSettings
{
    /** Operations that arrive within this time share one write per shard. */
    std::chrono::milliseconds batchWindow{50};

    /** Delay before outcomes and withdrawals are retried. */
    std::chrono::milliseconds retryPause{200};

    /** Largest size of a shard value. */
    std::size_t maxShardBytes = kvValueLimitBytes;

    /** Largest body that is recorded; of a larger one only status and content type are. */
    std::size_t maxBodyBytes = 8 * 1024;

    /** Cache limits; beyond either, the least recently used idle shards are evicted. */
    std::size_t maxCachedShards = 64;
    std::size_t maxCachedBytes = 16'000'000;

    /** Withdrawn attempts remembered, to refuse a claim that arrives after its withdrawal. */
    std::size_t rememberedWithdrawals = 10'000;

    /**
     * Age at which records are deleted. It exceeds the largest configurable retention (4 h), so
     * that raising the retention never admits a key whose record is deleted, by a margin for clocks
     * that differ by up to 10 minutes.
     */
    static constexpr std::chrono::minutes deleteAfter{250};
};

/** The attempt may send the call; no other attempt with this key may. */
struct ClaimGranted
{ };

/** An earlier attempt has completed; its recorded response is returned instead of sending again. */
struct ClaimReplayed
{
    AttemptOutcome outcome;
};

/** Any Error means that the attempt must not send the call. */
using ClaimResult = std::variant<ClaimGranted, ClaimReplayed, Error>;

/**
 * Records claims and outcomes of protected calls in shards of the KV service by compare-and-swap.
 * Several routers may use the same shard; a claim is granted only after a read or a successful
 * write has confirmed that the shard contains its attempt id.
 *
 * A claim that fails may nevertheless be stored, if only the response to the write was lost, so the
 * claimant must withdraw it. Only the claimant may do that, because only it knows that the attempt
 * will never send the call.
 *
 * The class performs no I/O: the caller executes the returned actions and passes the results of
 * reads and writes to onRead() and onSwap().
 */
class AttemptLedger
{
public:
    using Ticket = std::uint64_t;

    /** Read this key of the KV service and call onRead(). */
    struct ReadShard
    {
        std::string key;
    };
    /** Compare-and-swap this key of the KV service and call onSwap(). */
    struct SwapShard
    {
        std::string key;
        std::string value;
        std::uint64_t expectedIndex = 0;
    };
    /** The claim with this ticket has a result. */
    struct ClaimCompleted
    {
        Ticket ticket = 0;
        ClaimResult result;
    };
    /** The outcome or withdrawal with this ticket was stored or has failed. */
    struct WriteCompleted
    {
        Ticket ticket = 0;
        Result<void> result;
    };
    using Action = std::variant<ReadShard, SwapShard, ClaimCompleted, WriteCompleted>;
    using Actions = std::vector<Action>;

    explicit AttemptLedger(const AttemptLedgerSettings &settings = {});

    /**
     * Requests the exclusive right to send a call. Repeating a claim for the same attempt is safe.
     *
     * @param digest hash of the request; a key that was used with another digest is refused
     * @param deadline time at which a pending claim ends, with KvOutcomeUnknown unless the cached
     *                 shard contains a claim of the key by another attempt
     */
    Ticket claim(const ProtectedKey &key, const std::string &attempt, std::uint64_t digest,
                 TimePoint deadline, TimePoint now);

    /** Records the response of an attempt that sent the call. */
    Ticket recordOutcome(const ProtectedKey &key, const std::string &attempt, std::uint64_t digest,
                         AttemptOutcome outcome, TimePoint deadline, TimePoint now);

    /** Removes the claim of an attempt that has not sent a byte and never will. */
    Ticket withdraw(const ProtectedKey &key, const std::string &attempt, TimePoint deadline,
                    TimePoint now);

    /** Starts due reads and writes and ends operations that have passed their deadline. */
    Actions tick(TimePoint now);

    Actions onRead(const std::string &shardKey, const Result<std::optional<KvValue>> &result,
                   TimePoint now);
    Actions onSwap(const std::string &shardKey, const Result<std::uint64_t> &result, TimePoint now);

    /** Whether an operation is queued or a read or write is in progress. */
    bool busy() const;

private:
    Ticket enqueue(const ProtectedKey &key, AttemptOperation operation, TimePoint now);
    void advance(const std::string &key, AttemptShard &shard, TimePoint now, Actions &actions);
    void startSwap(const std::string &key, AttemptShard &shard, Actions &actions);
    void startRead(const std::string &key, AttemptShard &shard, Actions &actions);
    void failOperations(AttemptShard &shard, const Error &error, TimePoint now, Actions &actions);
    void expire(AttemptShard &shard, TimePoint now, Actions &actions);
    void cancelQueuedClaim(AttemptShard &shard, const std::string &attempt);
    std::optional<Action> evaluate(AttemptShard &shard, AttemptOperation &operation);
    std::optional<Action> evaluateClaim(AttemptShard &shard, const AttemptOperation &operation);
    std::optional<Action> evaluateOutcome(AttemptShard &shard, AttemptOperation &operation);
    std::optional<Action> evaluateWithdrawal(AttemptShard &shard,
                                             const AttemptOperation &operation);
    void evict();

    AttemptLedgerSettings settings_;
    std::map<std::string, AttemptShard> shards_;
    std::set<std::string> withdrawn_;
    std::deque<std::string> withdrawnOrder_;
    Actions cancelledClaims_;
    Ticket lastTicket_ = 0;
};

} // namespace jy
