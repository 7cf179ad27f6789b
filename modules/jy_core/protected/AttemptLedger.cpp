#include "jy_core/protected/AttemptLedger.h"

#include <algorithm>
#include <iterator>

namespace jy {

namespace {

using Kind = AttemptOperation::Kind;
using Io = AttemptShard::Io;

// Room kept for the status and content type of each claim, so that an outcome always fits.
constexpr std::size_t outcomeReserveBytes = 160;
constexpr std::size_t contentTypeBytes = 100;

constexpr std::chrono::milliseconds kvRetryAfter{1000};

AttemptLedger::Action claimAnswer(const AttemptOperation &operation, ClaimAnswer result)
{
    return AttemptLedger::ClaimAnswered{operation.ticket, std::move(result)};
}

AttemptLedger::Action writeAnswer(const AttemptOperation &operation, Result<void> result)
{
    return AttemptLedger::WriteAnswered{operation.ticket, std::move(result)};
}

Error unknownOutcome()
{
    return {ErrorKind::OutcomeUnknown,
            "an earlier attempt with this key has no recorded outcome; not repeated"};
}

// What a claim is answered when the KV service cannot be asked.
ClaimAnswer answerWithoutKv(const AttemptShard &shard, const AttemptOperation &operation,
                            const Error &error)
{
    if (const auto found = shard.entries.find(operation.key); found != shard.entries.end()) {
        const auto &record = found->second->record;
        if (record.attempt != operation.attempt)
            return record.outcome ? ClaimAnswer(ClaimRepeated{*record.outcome})
                                  : ClaimAnswer(unknownOutcome());
    }
    // Another router may have claimed the key since this copy was read, so "not run" could be
    // false.
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
    if (withdrawnOrder_.size() > settings_.withdrawnAttempts) {
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
            cancelled_.push_back(claimAnswer(operation, unknownOutcome()));
        return matches;
    });
}

// ---- Evaluation against the known entries ----------------------------------------------------

// Returns the answer, or nothing when the operation changed the write in preparation.
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
    const bool isPrepared = shard.changes.contains(operation.key);
    if (record && record->digest != 0 && record->digest != operation.digest)
        return claimAnswer(operation,
                           Error{ErrorKind::KeyInvalid, "this key was used for another request"});
    if (record && record->attempt == operation.attempt) {
        if (record->outcome)
            return claimAnswer(operation, ClaimRepeated{*record->outcome});
        // A record that is only prepared is granted when the write succeeds.
        if (isPrepared)
            return std::nullopt;
        return claimAnswer(operation, ClaimGranted{});
    }
    if (record)
        return claimAnswer(operation,
                           record->outcome ? ClaimAnswer(ClaimRepeated{*record->outcome})
                                           : ClaimAnswer(unknownOutcome()));
    if (withdrawn_.contains(operation.attempt))
        return claimAnswer(operation, unknownOutcome());
    auto entry = makeAttemptEntry(
        {.key = operation.key, .attempt = operation.attempt, .digest = operation.digest});
    const auto open = (shard.entries.size() + shard.changes.size() + 1) * outcomeReserveBytes;
    if (shard.bytesAfter + entry->text.size() + open > settings_.shardBytes)
        return claimAnswer(operation,
                           Error{ErrorKind::Overloaded,
                                 "too many protected calls with keys of the same 10 s; "
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
        return writeAnswer(
            operation,
            Result<void>(failure(ErrorKind::KvConflict, "the key belongs to another attempt")));
    if (record && record->outcome && !shard.changes.contains(operation.key))
        return writeAnswer(operation, Result<void>(success()));
    AttemptRecord changed{.key = operation.key,
                          .attempt = operation.attempt,
                          .digest = record ? record->digest : operation.digest,
                          .outcome = operation.outcome};
    if (changed.outcome->contentType.size() > contentTypeBytes)
        changed.outcome->contentType.clear();
    auto entry = makeAttemptEntry(changed);
    const auto size =
        shard.bytesAfter + entry->text.size() + shard.entries.size() * outcomeReserveBytes;
    if (changed.outcome->body.size() > settings_.bodyBytes || size > settings_.shardBytes) {
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
            return writeAnswer(
                operation,
                Result<void>(failure(ErrorKind::KvConflict, "the attempt has an outcome")));
        shard.change(operation.key, nullptr);
        return std::nullopt;
    }
    if (!shard.lostAtIndex)
        return writeAnswer(operation, Result<void>(success()));
    shard.fence = true;
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
            shard.inSwap.push_back(std::move(operation));
    }
    if (shard.changes.empty() && !shard.fence)
        return;
    shard.io = Io::Swapping;
    actions.push_back(SwapShard{key, shard.valueAfterChanges(), shard.index});
}

void AttemptLedger::advance(const std::string &key, AttemptShard &shard, TimePoint now,
                            Actions &actions)
{
    if (shard.io != Io::Idle || shard.queue.empty())
        return;
    // Another router may have added the outcome of a cached entry, or the entry that a withdrawal
    // does not find. Compare-and-swap notices this for operations that write, not for the others.
    const bool stale = std::any_of(shard.queue.begin(), shard.queue.end(), [&](const auto &op) {
        const auto *record = shard.find(op.key);
        if (op.kind == Kind::Claim)
            return record && !record->outcome && record->attempt != op.attempt;
        return op.kind == Kind::Withdrawal && !record;
    });
    if (!shard.loaded) {
        // The first read overlaps with the batch window; after a failure due is the retry time.
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
    Actions actions = std::exchange(cancelled_, {});
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
    auto operations = std::exchange(shard.inSwap, {});
    if (result) {
        shard.commitChanges(result.value());
        for (const auto &operation : operations)
            actions.push_back(operation.kind == Kind::Claim
                                  ? claimAnswer(operation, ClaimGranted{})
                                  : writeAnswer(operation, Result<void>(success())));
        return actions;
    }
    if (result.error().kind == ErrorKind::KvOutcomeUnknown)
        shard.lostAtIndex = shard.index;
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

// Claims end at once, since their callers wait; outcomes and withdrawals are tried again.
void AttemptLedger::failOperations(AttemptShard &shard, const Error &error, TimePoint now,
                                   Actions &actions)
{
    shard.loaded = false;
    shard.due = now + settings_.retryPause;
    std::erase_if(shard.queue, [&](const auto &operation) {
        if (operation.kind != Kind::Claim)
            return false;
        actions.push_back(claimAnswer(operation, answerWithoutKv(shard, operation, error)));
        return true;
    });
}

void AttemptLedger::expire(AttemptShard &shard, TimePoint now, Actions &actions)
{
    const Error slow{ErrorKind::KvUnavailable, "the KV service did not respond in time"};
    for (auto *operations : {&shard.queue, &shard.inSwap}) {
        std::erase_if(*operations, [&](const auto &operation) {
            if (now < operation.deadline)
                return false;
            actions.push_back(
                operation.kind == Kind::Claim
                    ? claimAnswer(operation, answerWithoutKv(shard, operation, slow))
                    : writeAnswer(operation, Result<void>(boost::outcome_v2::failure(slow))));
            return true;
        });
    }
}

bool AttemptLedger::busy() const
{
    return !cancelled_.empty()
        || std::any_of(shards_.begin(), shards_.end(), [](const auto &entry) {
               return entry.second.io != Io::Idle || !entry.second.queue.empty();
           });
}

// A shard with a lost write is kept, because a withdrawal must fence it.
void AttemptLedger::evict()
{
    std::size_t bytes = 0;
    for (const auto &[key, shard] : shards_)
        bytes += shard.bytes;
    while (shards_.size() > settings_.cachedShards || bytes > settings_.cachedBytes) {
        auto oldest = shards_.end();
        for (auto it = shards_.begin(); it != shards_.end(); ++it) {
            const auto &shard = it->second;
            if (shard.io == Io::Idle && shard.queue.empty() && !shard.lostAtIndex
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
