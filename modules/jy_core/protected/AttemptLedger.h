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

struct AttemptLedgerSettings
{
    /** Claims and outcomes that arrive within this time share one write per shard. */
    std::chrono::milliseconds batchWindow{50};

    /** Pause before outcomes and withdrawals are tried again. */
    std::chrono::milliseconds retryPause{200};

    /** Upper bound of a shard value. */
    std::size_t shardBytes = kvValueLimitBytes;

    /** Larger bodies are not kept; the status is. */
    std::size_t bodyBytes = 8 * 1024;

    /** Shards kept in memory; idle ones are dropped beyond either bound. */
    std::size_t cachedShards = 64;
    std::size_t cachedBytes = 16'000'000;

    /** Withdrawn attempts remembered, against a claim that arrives after its withdrawal. */
    std::size_t withdrawnAttempts = 10'000;

    /**
     * Records are removed after this time. It exceeds the largest configurable retention (4 h), so
     * that raising the retention never admits a key whose record is gone, and leaves a margin for
     * clocks that differ by up to 10 minutes.
     */
    static constexpr std::chrono::minutes deleteAfter{250};
};

/** The only right to send the call was given to the attempt. */
struct ClaimGranted
{ };

/** An earlier attempt ended with this response. */
struct ClaimRepeated
{
    AttemptOutcome outcome;
};

using ClaimAnswer = std::variant<ClaimGranted, ClaimRepeated, Error>;

/**
 * Records claims and outcomes of protected calls in shards of the KV service by compare-and-swap.
 * Several ledgers may work on one shard; a claim is granted only after a read or a successful
 * write has shown its attempt id in the shard.
 *
 * A claim that is not granted ends with an error, and its attempt must not send the call. Its
 * record may nevertheless be stored (a lost response), so the claimant withdraws it. Only the
 * claimant may do that, because only it knows that the attempt will never send.
 */
class AttemptLedger
{
public:
    using Ticket = std::uint64_t;

    struct ReadShard
    {
        std::string key;
    };
    struct SwapShard
    {
        std::string key;
        std::string value;
        std::uint64_t expectedIndex = 0;
    };
    struct ClaimAnswered
    {
        Ticket ticket = 0;
        ClaimAnswer answer;
    };
    struct WriteAnswered
    {
        Ticket ticket = 0;
        Result<void> result;
    };
    using Action = std::variant<ReadShard, SwapShard, ClaimAnswered, WriteAnswered>;
    using Actions = std::vector<Action>;

    explicit AttemptLedger(const AttemptLedgerSettings &settings = {});

    /**
     * Asks for the right to send. Repeating the claim of one attempt gives the same answer.
     *
     * @param deadline when the claim ends with KvOutcomeUnknown
     */
    Ticket claim(const ProtectedKey &key, const std::string &attempt, std::uint64_t digest,
                 TimePoint deadline, TimePoint now);

    /** Records the response of an attempt that sent the call. */
    Ticket recordOutcome(const ProtectedKey &key, const std::string &attempt, std::uint64_t digest,
                         AttemptOutcome outcome, TimePoint deadline, TimePoint now);

    /** Removes the claim of an attempt that has not sent a byte and never will. */
    Ticket withdraw(const ProtectedKey &key, const std::string &attempt, TimePoint deadline,
                    TimePoint now);

    /** Starts due reads and writes and ends what has passed its deadline. */
    Actions tick(TimePoint now);

    Actions onRead(const std::string &shardKey, const Result<std::optional<KvValue>> &result,
                   TimePoint now);
    Actions onSwap(const std::string &shardKey, const Result<std::uint64_t> &result, TimePoint now);

    /** Whether anything waits for tick() or for a response. */
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
    Actions cancelled_;
    Ticket lastTicket_ = 0;
};

} // namespace jy
