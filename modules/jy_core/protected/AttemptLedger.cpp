#include "jy_core/protected/AttemptLedger.h"

#include <algorithm>
#include <iterator>

namespace jy {

namespace {

using Kind = AttemptOperation::Kind;
using Io = AttemptShard::Io;

// Bytes reserved for the status and content type of each claim, so that an outcome without its
// body always fits into the shard.
constexpr std::size_t outcomeReserveBytes = 160;
constexpr std::size_t maxContentTypeBytes = 100;

constexpr std::chrono::milliseconds kvRetryAfter{1000};

AttemptLedger::Action claimCompleted(const AttemptOperation &operation, ClaimResult result)
{
    return AttemptLedger::ClaimCompleted{operation.ticket, std::move(result)};
}

AttemptLedger::Action writeCompleted(const AttemptOperation &operation, Result<void> result)
{
    return AttemptLedger::WriteCompleted{operation.ticket, std::move(result)};
}

Error unknownOutcome()
{
    return {ErrorKind::OutcomeUnknown,
            "an earlier attempt with this key has no recorded outcome; the call was not repeated"};
}

// The result of a claim while the KV service is unavailable, from the cached copy of the shard.
ClaimResult resultWithoutKv(const AttemptShard &shard, const AttemptOperation &operation,
                            const Error &error)
{
    if (const auto found = shard.entries.find(operation.key); found != shard.entries.end()) {
        const auto &record = found->second->record;
        if (record.attempt != operation.attempt)
            return record.outcome ? ClaimResult(ClaimReplayed{*record.outcome})
                                  : ClaimResult(unknownOutcome());
    }
    // Another router may have claimed the key since this copy was read, so the call cannot be
    // reported as not run.
    return Error{ErrorKind::KvOutcomeUnknown,
                 "this request was not sent; earlier attempts with this key are unknown while the "
                 "KV service does not respond: "
                     + error.message,
                 kvRetryAfter};
}

} // namespace

AttemptLedger::AttemptLedger(const AttemptLedgerSettings &settings)
    : settings_(settings)
{ }

// ---- Operations ----------------------------------------------------------------------------

AttemptLedger::Ticket AttemptLedger::enqueue(const ProtectedKey &key, AttemptOperation operation,
                                             TimePoint now)
{
    auto &shard = shards_[attemptShardKey(key)];
    operation.ticket = ++lastTicket_;
    operation.key = key.text;
    if (shard.queue.empty())
        shard.due = now + settings_.batchWindow;
    shard.lastUsed = now;
    if (operation.kind == Kind::Withdrawal)
        cancelQueuedClaim(shard, operation.attempt);
    shard.queue.push_back(std::move(operation));
    return lastTicket_;
}

AttemptLedger::Ticket AttemptLedger::claim(const ProtectedKey &key, const std::string &attempt,
                                           std::uint64_t digest, TimePoint deadline, TimePoint now)
{
    return enqueue(
        key, {.kind = Kind::Claim, .attempt = attempt, .digest = digest, .deadline = deadline},
        now);
}

AttemptLedger::Ticket AttemptLedger::recordOutcome(const ProtectedKey &key,
                                                   const std::string &attempt, std::uint64_t digest,
                                                   AttemptOutcome outcome, TimePoint deadline,
                                                   TimePoint now)
{
    return enqueue(key,
                   {.kind = Kind::Outcome,
                    .attempt = attempt,
                    .digest = digest,
                    .outcome = std::move(outcome),
                    .deadline = deadline},
                   now);
}

AttemptLedger::Ticket AttemptLedger::withdraw(const ProtectedKey &key, const std::string &attempt,
                                              TimePoint deadline, TimePoint now)
{
    if (withdrawn_.insert(attempt).second)
        withdrawnOrder_.push_back(attempt);
    if (withdrawnOrder_.size() > settings_.rememberedWithdrawals) {
        withdrawn_.erase(withdrawnOrder_.front());
        withdrawnOrder_.pop_front();
    }
    return enqueue(key, {.kind = Kind::Withdrawal, .attempt = attempt, .deadline = deadline}, now);
}

void AttemptLedger::cancelQueuedClaim(AttemptShard &shard, const std::string &attempt)
{
    std::erase_if(shard.queue, [&](const auto &operation) {
        const bool matches = operation.kind == Kind::Claim && operation.attempt == attempt;
        if (matches)
            cancelledClaims_.push_back(claimCompleted(operation, unknownOutcome()));
        return matches;
    });
}

// ---- Evaluation against the known entries ----------------------------------------------------

// Returns the result, or nothing when the operation is part of the pending write.
std::optional<AttemptLedger::Action> AttemptLedger::evaluate(AttemptShard &shard,
                                                             AttemptOperation &operation)
{
    switch (operation.kind) {
    case Kind::Claim:
        return evaluateClaim(shard, operation);
    case Kind::Outcome:
        return evaluateOutcome(shard, operation);
    case Kind::Withdrawal:
        break;
    }
    return evaluateWithdrawal(shard, operation);
}

std::optional<AttemptLedger::Action> AttemptLedger::evaluateClaim(AttemptShard &shard,
                                                                  const AttemptOperation &operation)
{
    const auto *record = shard.find(operation.key);
    const bool isPending = shard.changes.contains(operation.key);
    if (record && record->digest != 0 && record->digest != operation.digest)
        return claimCompleted(
            operation, Error{ErrorKind::KeyInvalid, "this key was used for another request"});
    if (record && record->attempt == operation.attempt) {
        if (record->outcome)
            return claimCompleted(operation, ClaimReplayed{*record->outcome});
        // A record of the pending write is granted when that write succeeds.
        if (isPending)
            return std::nullopt;
        return claimCompleted(operation, ClaimGranted{});
    }
    if (record)
        return claimCompleted(operation,
                              record->outcome ? ClaimResult(ClaimReplayed{*record->outcome})
                                              : ClaimResult(unknownOutcome()));
    if (withdrawn_.contains(operation.attempt))
        return claimCompleted(operation, unknownOutcome());
    auto entry = makeAttemptEntry(
        {.key = operation.key, .attempt = operation.attempt, .digest = operation.digest});
    const auto reservedBytes =
        (shard.entries.size() + shard.changes.size() + 1) * outcomeReserveBytes;
    if (shard.bytesAfterChanges + entry->text.size() + reservedBytes > settings_.maxShardBytes)
        return claimCompleted(operation,
                              Error{ErrorKind::Overloaded,
                                    "too many protected calls with keys created in the same 10 s; "
                                    "use a new key",
                                    kvRetryAfter});
    shard.change(operation.key, std::move(entry));
    return std::nullopt;
}

std::optional<AttemptLedger::Action> AttemptLedger::evaluateOutcome(AttemptShard &shard,
                                                                    AttemptOperation &operation)
{
    const auto *record = shard.find(operation.key);
    if (record && record->attempt != operation.attempt)
        return writeCompleted(
            operation,
            Result<void>(failure(ErrorKind::KvConflict, "the key belongs to another attempt")));
    if (record && record->outcome && !shard.changes.contains(operation.key))
        return writeCompleted(operation, Result<void>(success()));
    AttemptRecord changed{.key = operation.key,
                          .attempt = operation.attempt,
                          .digest = record ? record->digest : operation.digest,
                          .outcome = operation.outcome};
    if (changed.outcome->contentType.size() > maxContentTypeBytes)
        changed.outcome->contentType.clear();
    auto entry = makeAttemptEntry(changed);
    const auto size =
        shard.bytesAfterChanges + entry->text.size() + shard.entries.size() * outcomeReserveBytes;
    if (changed.outcome->body.size() > settings_.maxBodyBytes || size > settings_.maxShardBytes) {
        changed.outcome->body.clear();
        changed.outcome->bodyOmitted = true;
        entry = makeAttemptEntry(std::move(changed));
    }
    shard.change(operation.key, std::move(entry));
    return std::nullopt;
}

std::optional<AttemptLedger::Action>
AttemptLedger::evaluateWithdrawal(AttemptShard &shard, const AttemptOperation &operation)
{
    const auto *record = shard.find(operation.key);
    if (record && record->attempt == operation.attempt) {
        if (record->outcome)
            return writeCompleted(
                operation,
                Result<void>(failure(ErrorKind::KvConflict, "the attempt has an outcome")));
        shard.change(operation.key, nullptr);
        return std::nullopt;
    }
    if (!shard.unconfirmedWriteIndex)
        return writeCompleted(operation, Result<void>(success()));
    shard.needsFencingWrite = true;
    return std::nullopt;
}

// ---- Reads and writes ------------------------------------------------------------------------

void AttemptLedger::startRead(const std::string &key, AttemptShard &shard, Actions &actions)
{
    shard.io = Io::Reading;
    actions.push_back(ReadShard{key});
}

void AttemptLedger::startSwap(const std::string &key, AttemptShard &shard, Actions &actions)
{
    for (auto &operation : std::exchange(shard.queue, {})) {
        if (auto result = evaluate(shard, operation))
            actions.push_back(std::move(*result));
        else
            shard.inFlight.push_back(std::move(operation));
    }
    if (shard.changes.empty() && !shard.needsFencingWrite)
        return;
    shard.io = Io::Swapping;
    actions.push_back(SwapShard{key, shard.valueAfterChanges(), shard.index});
}

void AttemptLedger::advance(const std::string &key, AttemptShard &shard, TimePoint now,
                            Actions &actions)
{
    if (shard.io != Io::Idle || shard.queue.empty())
        return;
    // Another router may have written an outcome or a claim that the cached copy lacks.
    // Compare-and-swap detects this for operations that write; the ones below write nothing, so
    // they need a new read.
    const bool stale = std::any_of(shard.queue.begin(), shard.queue.end(), [&](const auto &op) {
        const auto *record = shard.find(op.key);
        if (op.kind == Kind::Claim)
            return record && !record->outcome && record->attempt != op.attempt;
        return op.kind == Kind::Withdrawal && !record;
    });
    if (!shard.loaded) {
        // The first read overlaps with the batch window; after a failure, due is the time of the
        // retry.
        if (!shard.everLoaded || now >= shard.due)
            startRead(key, shard, actions);
    } else if (now >= shard.due) {
        if (stale)
            startRead(key, shard, actions);
        else
            startSwap(key, shard, actions);
    }
}

AttemptLedger::Actions AttemptLedger::tick(TimePoint now)
{
    Actions actions = std::exchange(cancelledClaims_, {});
    for (auto &[key, shard] : shards_) {
        expire(shard, now, actions);
        advance(key, shard, now, actions);
    }
    evict();
    return actions;
}

AttemptLedger::Actions AttemptLedger::onRead(const std::string &shardKey,
                                             const Result<std::optional<KvValue>> &result,
                                             TimePoint now)
{
    Actions actions;
    auto &shard = shards_[shardKey];
    shard.io = Io::Idle;
    const auto value = result && result.value() ? *result.value() : KvValue{"[]", 0};
    auto entries = result ? parseAttemptShard(value.value)
                          : Result<AttemptEntries>(boost::outcome_v2::failure(result.error()));
    if (!entries) {
        failOperations(shard, entries.error(), now, actions);
        return actions;
    }
    shard.load(std::move(entries).value(), value.index);
    if (now >= shard.due)
        startSwap(shardKey, shard, actions);
    return actions;
}

AttemptLedger::Actions AttemptLedger::onSwap(const std::string &shardKey,
                                             const Result<std::uint64_t> &result, TimePoint now)
{
    Actions actions;
    auto &shard = shards_[shardKey];
    shard.io = Io::Idle;
    auto operations = std::exchange(shard.inFlight, {});
    if (result) {
        shard.commitChanges(result.value());
        for (const auto &operation : operations)
            actions.push_back(operation.kind == Kind::Claim
                                  ? claimCompleted(operation, ClaimGranted{})
                                  : writeCompleted(operation, Result<void>(success())));
        return actions;
    }
    if (result.error().kind == ErrorKind::KvOutcomeUnknown)
        shard.unconfirmedWriteIndex = shard.index;
    shard.discardChanges();
    shard.loaded = false;
    shard.queue.insert(shard.queue.begin(), std::make_move_iterator(operations.begin()),
                       std::make_move_iterator(operations.end()));
    const auto kind = result.error().kind;
    if (kind != ErrorKind::KvConflict && kind != ErrorKind::KvOutcomeUnknown) {
        failOperations(shard, result.error(), now, actions);
        return actions;
    }
    shard.due = now;
    startRead(shardKey, shard, actions);
    return actions;
}

// Fails queued claims at once, because their callers wait; outcomes and withdrawals are retried.
void AttemptLedger::failOperations(AttemptShard &shard, const Error &error, TimePoint now,
                                   Actions &actions)
{
    shard.loaded = false;
    shard.due = now + settings_.retryPause;
    std::erase_if(shard.queue, [&](const auto &operation) {
        if (operation.kind != Kind::Claim)
            return false;
        actions.push_back(claimCompleted(operation, resultWithoutKv(shard, operation, error)));
        return true;
    });
}

void AttemptLedger::expire(AttemptShard &shard, TimePoint now, Actions &actions)
{
    const Error timeout{ErrorKind::KvUnavailable, "the KV service did not respond in time"};
    for (auto *operations : {&shard.queue, &shard.inFlight}) {
        std::erase_if(*operations, [&](const auto &operation) {
            if (now < operation.deadline)
                return false;
            actions.push_back(
                operation.kind == Kind::Claim
                    ? claimCompleted(operation, resultWithoutKv(shard, operation, timeout))
                    : writeCompleted(operation, Result<void>(boost::outcome_v2::failure(timeout))));
            return true;
        });
    }
}

bool AttemptLedger::busy() const
{
    return !cancelledClaims_.empty()
        || std::any_of(shards_.begin(), shards_.end(), [](const auto &entry) {
               return entry.second.io != Io::Idle || !entry.second.queue.empty();
           });
}

// Never evicts a shard with an unconfirmed write, because a withdrawal must be able to fence it.
void AttemptLedger::evict()
{
    std::size_t bytes = 0;
    for (const auto &[key, shard] : shards_)
        bytes += shard.bytes;
    while (shards_.size() > settings_.maxCachedShards || bytes > settings_.maxCachedBytes) {
        auto oldest = shards_.end();
        for (auto it = shards_.begin(); it != shards_.end(); ++it) {
            const auto &shard = it->second;
            if (shard.io == Io::Idle && shard.queue.empty() && !shard.unconfirmedWriteIndex
                && (oldest == shards_.end() || shard.lastUsed < oldest->second.lastUsed))
                oldest = it;
        }
        if (oldest == shards_.end())
            return;
        bytes -= oldest->second.bytes;
        shards_.erase(oldest);
    }
}

} // namespace jy
