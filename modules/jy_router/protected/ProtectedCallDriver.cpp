#include "jy_router/protected/ProtectedCallDriver.h"

#include "jy_base/errors/ErrorTable.h"
#include "jy_base/hashing/StableHash.h"
#include "jy_runtime/fibers/EventLoop.h"

#include <boost/fiber/condition_variable.hpp>
#include <boost/fiber/mutex.hpp>

#include <algorithm>

namespace jy {

namespace {

using std::chrono::milliseconds;

// The ledger answers at the deadline; this margin lets its next tick deliver the answer.
constexpr milliseconds answerMargin{200};

// Pause between two removals, so that clean-up takes at most 50 of the KV service's writes/s.
constexpr milliseconds removalPause{20};

// The shard whose owner removes old shards.
constexpr std::string_view cleanupKey = "jy/attempts/";

milliseconds timeLeft(TimePoint deadline, TimePoint now)
{
    return std::max(milliseconds{0}, std::chrono::duration_cast<milliseconds>(deadline - now));
}

// Repetitions of a call whose body was too large get its status and a note in place of the body.
AttemptOutcome presentable(AttemptOutcome outcome)
{
    if (!outcome.bodyOmitted)
        return outcome;
    outcome.contentType = "application/json";
    outcome.body = R"({"recorded":true,"body":"omitted, it was too large to be kept"})";
    return outcome;
}

peer::Failure toFailure(const Error &error)
{
    peer::Failure failure;
    failure.set_kind(std::string(answerFor(error.kind).name));
    failure.set_message(error.message);
    failure.set_retry_after_ms(static_cast<std::uint32_t>(error.retryAfter.count()));
    return failure;
}

// A kind that this release does not know says nothing about earlier attempts.
Error toError(const peer::Failure &failure)
{
    return {errorKindFromName(failure.kind()).value_or(ErrorKind::KvOutcomeUnknown),
            failure.message(), milliseconds{failure.retry_after_ms()}};
}

ClaimResult toAnswer(const peer::ClaimReply &reply)
{
    if (reply.has_failure())
        return toError(reply.failure());
    if (reply.has_outcome())
        return ClaimReplayed{{.status = static_cast<int>(reply.outcome().status()),
                              .contentType = reply.outcome().content_type(),
                              .body = reply.outcome().body()}};
    if (reply.granted())
        return ClaimGranted{};
    return Error{ErrorKind::KvOutcomeUnknown, "the owner of the record shard gave no answer"};
}

void fill(peer::RecordedOutcome &out, const AttemptOutcome &outcome)
{
    out.set_status(static_cast<std::uint32_t>(outcome.status));
    out.set_content_type(outcome.contentType);
    out.set_body(outcome.body);
}

// The claim may be stored although it was not granted.
bool mayBeRecorded(ErrorKind kind)
{
    return kind == ErrorKind::KvUnavailable || kind == ErrorKind::KvOutcomeUnknown
        || kind == ErrorKind::PeerUnreachable;
}

Error withEffect(Error error, Effect effect, ErrorKind fallback)
{
    if (answerFor(error.kind).effect != effect)
        error.kind = fallback;
    return error;
}

} // namespace

std::uint64_t protectedCallDigest(const ServiceId &service, std::string_view method,
                                  std::string_view path, std::string_view body)
{
    std::uint64_t digest = stableHash(service.value());
    for (const auto part : {method, path, body})
        digest = stableHash(part, digest);
    return digest == 0 ? 1 : digest;
}

/** A fiber that waits for the answer to a ticket. */
struct ProtectedCallDriver::Waiter
{
    boost::fibers::mutex mutex;
    boost::fibers::condition_variable answered;
    std::optional<ClaimResult> answer;
};

ProtectedCallDriver::ProtectedCallDriver(const ProtectedCallSettings &settings,
                                         Dependencies dependencies)
    : settings_(settings)
    , dependencies_(std::move(dependencies))
    , ledger_(settings.ledger)
{ }

ProtectedCallDriver::~ProtectedCallDriver()
{
    *alive_ = false;
}

void ProtectedCallDriver::record(std::string kind, std::vector<EventField> fields)
{
    if (dependencies_.events)
        dependencies_.events(Event{.kind = std::move(kind), .fields = std::move(fields)});
}

// ---- Ledger --------------------------------------------------------------------------------

void ProtectedCallDriver::run(StopToken &stop)
{
    do {
        if (ledger_.busy())
            perform(ledger_.tick(dependencies_.now()));
    } while (stop.sleepFor(settings_.tickInterval));
}

void ProtectedCallDriver::perform(AttemptLedger::Actions actions)
{
    for (auto &action : actions) {
        if (auto *claim = std::get_if<AttemptLedger::ClaimCompleted>(&action)) {
            complete(claim->ticket, std::move(claim->result));
        } else if (auto *write = std::get_if<AttemptLedger::WriteCompleted>(&action)) {
            complete(write->ticket,
                     write->result ? ClaimResult(ClaimGranted{})
                                   : ClaimResult(write->result.error()));
        } else if (auto *read = std::get_if<AttemptLedger::ReadShard>(&action)) {
            EventLoop::spawn([this, alive = alive_, readKey = dependencies_.readKey,
                              key = std::move(read->key)] {
                const auto value = readKey(key);
                if (*alive)
                    perform(ledger_.onRead(key, value, dependencies_.now()));
            });
        } else if (auto *swap = std::get_if<AttemptLedger::SwapShard>(&action)) {
            EventLoop::spawn(
                [this, alive = alive_, swapKey = dependencies_.swapKey, swap = std::move(*swap)] {
                    const auto index = swapKey(swap.key, swap.value, swap.expectedIndex);
                    if (*alive)
                        perform(ledger_.onSwap(swap.key, index, dependencies_.now()));
                });
        }
    }
}

void ProtectedCallDriver::complete(AttemptLedger::Ticket ticket, ClaimResult answer)
{
    const auto found = waiters_.find(ticket);
    if (found == waiters_.end())
        return;
    found->second->answer = std::move(answer);
    found->second->answered.notify_one();
}

ClaimResult ProtectedCallDriver::waitFor(AttemptLedger::Ticket ticket, TimePoint deadline)
{
    const auto waiter = std::make_shared<Waiter>();
    waiters_.emplace(ticket, waiter);
    // The first read of a shard starts now and not at the next tick.
    perform(ledger_.tick(dependencies_.now()));
    const auto left = timeLeft(deadline, dependencies_.now()) + answerMargin;
    std::unique_lock lock(waiter->mutex);
    waiter->answered.wait_for(lock, left, [&] { return waiter->answer.has_value(); });
    waiters_.erase(ticket);
    if (waiter->answer)
        return std::move(*waiter->answer);
    return Error{ErrorKind::KvOutcomeUnknown, "no answer of the attempt ledger in time"};
}

// ---- Claims --------------------------------------------------------------------------------

ClaimResult ProtectedCallDriver::claimHere(const ProtectedKey &key, const std::string &attempt,
                                           std::uint64_t digest, TimePoint deadline)
{
    return waitFor(ledger_.claim(key, attempt, digest, deadline, dependencies_.now()), deadline);
}

// An owner that cannot be reached is replaced by this router: compare-and-swap decides, and a
// claim that the owner has recorded is found by its attempt id.
ClaimResult ProtectedCallDriver::claimAnywhere(const ProtectedKey &key, const std::string &attempt,
                                               const ProtectedCallRequest &request,
                                               TimePoint deadline)
{
    const auto owner = dependencies_.owner(attemptShardKey(key));
    if (owner) {
        // Half of the time is left for the claim at this router.
        const auto timeout = timeLeft(deadline, dependencies_.now()) / 2;
        peer::ClaimRequest message;
        message.set_key(key.text);
        message.set_attempt(attempt);
        message.set_service(request.service.value());
        message.set_digest(request.digest);
        message.set_deadline_ms(static_cast<std::uint32_t>(timeout.count()));
        const auto reply = dependencies_.claim(*owner, message, timeout);
        if (reply)
            return toAnswer(reply.value());
    }
    return claimHere(key, attempt, request.digest, deadline);
}

Result<ProtectedCallResponse> ProtectedCallDriver::call(const ProtectedCallRequest &request,
                                                        const Send &send)
{
    const auto key = parseProtectedKey(request.key);
    if (!key)
        return boost::outcome_v2::failure(key.error());
    const auto age =
        checkKeyAge(key.value(), dependencies_.wallNow(), dependencies_.keyRetention());
    if (!age)
        return boost::outcome_v2::failure(age.error());
    const auto now = dependencies_.now();
    if (request.deadline <= now)
        return failure(ErrorKind::DeadlineTooShort, "the deadline passed before the claim");
    const auto attempt = dependencies_.newAttemptId();
    auto answer = claimAnywhere(key.value(), attempt, request,
                                std::min(request.deadline, now + settings_.claimTimeout));
    if (auto *repeated = std::get_if<ClaimReplayed>(&answer))
        return ProtectedCallResponse{presentable(std::move(repeated->outcome)), true};
    if (auto *error = std::get_if<Error>(&answer)) {
        if (mayBeRecorded(error->kind))
            recordInBackground(key.value(), attempt, request.digest, std::nullopt);
        return boost::outcome_v2::failure(std::move(*error));
    }
    if (request.deadline <= dependencies_.now()) {
        recordInBackground(key.value(), attempt, request.digest, std::nullopt);
        return failure(ErrorKind::DeadlineTooShort, "the deadline passed during the claim");
    }
    return finishSend(key.value(), attempt, request.digest, send());
}

Result<ProtectedCallResponse> ProtectedCallDriver::finishSend(const ProtectedKey &key,
                                                              const std::string &attempt,
                                                              std::uint64_t digest,
                                                              ProtectedSendResult result)
{
    switch (result.progress) {
    case ProtectedSendResult::Progress::Answered:
        recordInBackground(key, attempt, digest, result.response);
        return ProtectedCallResponse{std::move(result.response), false};
    case ProtectedSendResult::Progress::NotSent:
        recordInBackground(key, attempt, digest, std::nullopt);
        return boost::outcome_v2::failure(
            withEffect(std::move(result.error), Effect::NotRun, ErrorKind::ConnectFailed));
    case ProtectedSendResult::Progress::Unknown:
        break;
    }
    // The claim stays without outcome, so that repetitions are answered "unknown, not repeated".
    return boost::outcome_v2::failure(
        withEffect(std::move(result.error), Effect::Unknown, ErrorKind::BackendBroken));
}

// ---- Outcomes and withdrawals ----------------------------------------------------------------

Result<void> ProtectedCallDriver::recordHere(const ProtectedKey &key, const std::string &attempt,
                                             std::uint64_t digest,
                                             const std::optional<AttemptOutcome> &outcome,
                                             TimePoint deadline)
{
    const auto now = dependencies_.now();
    const auto ticket = outcome
        ? ledger_.recordOutcome(key, attempt, digest, *outcome, deadline, now)
        : ledger_.withdraw(key, attempt, deadline, now);
    const auto answer = waitFor(ticket, deadline);
    if (const auto *error = std::get_if<Error>(&answer))
        return boost::outcome_v2::failure(*error);
    return success();
}

Result<void> ProtectedCallDriver::recordAnywhere(const ProtectedKey &key,
                                                 const std::string &attempt, std::uint64_t digest,
                                                 const std::optional<AttemptOutcome> &outcome)
{
    const auto timeout = settings_.claimTimeout;
    if (const auto owner = dependencies_.owner(attemptShardKey(key))) {
        peer::RecordOutcomeRequest message;
        message.set_key(key.text);
        message.set_attempt(attempt);
        message.set_not_run(!outcome);
        if (outcome)
            fill(*message.mutable_outcome(), *outcome);
        const auto reply = dependencies_.recordOutcome(*owner, message, timeout);
        if (reply && !reply.value().has_failure())
            return success();
        if (reply)
            return boost::outcome_v2::failure(toError(reply.value().failure()));
    }
    return recordHere(key, attempt, digest, outcome, dependencies_.now() + timeout);
}

void ProtectedCallDriver::recordInBackground(const ProtectedKey &key, const std::string &attempt,
                                             std::uint64_t digest,
                                             std::optional<AttemptOutcome> outcome)
{
    const char *lost = outcome ? "protected-outcome-lost" : "protected-withdrawal-lost";
    if (pendingRecords_ >= settings_.pendingRecords) {
        record(lost, {{"key", key.text}, {"attempt", attempt}, {"reason", "too many pending"}});
        return;
    }
    ++pendingRecords_;
    EventLoop::spawn([this, alive = alive_, key, attempt, digest, lost,
                      outcome = std::move(outcome)] {
        const auto until = dependencies_.now() + settings_.recordFor;
        auto pause = settings_.recordPause;
        while (*alive) {
            const auto result = recordAnywhere(key, attempt, digest, outcome);
            if (!*alive)
                return;
            const bool final = result || result.error().kind == ErrorKind::KvConflict;
            if (!final && dependencies_.now() + pause < until) {
                EventLoop::sleepFor(pause);
                pause = std::min(2 * pause, settings_.recordPauseMax);
                continue;
            }
            if (!result)
                record(
                    lost,
                    {{"key", key.text}, {"attempt", attempt}, {"reason", result.error().message}});
            --pendingRecords_;
            return;
        }
    });
}

// ---- Peers and clean-up ----------------------------------------------------------------------

peer::ClaimReply ProtectedCallDriver::serveClaim(const peer::ClaimRequest &request)
{
    peer::ClaimReply reply;
    const auto key = parseProtectedKey(request.key());
    if (!key || request.attempt().empty()) {
        *reply.mutable_failure() =
            toFailure(key ? Error{ErrorKind::BadRequest, "no attempt id"} : key.error());
        return reply;
    }
    const auto timeout = std::min(settings_.claimTimeout, milliseconds{request.deadline_ms()});
    const auto answer =
        claimHere(key.value(), request.attempt(), request.digest(), dependencies_.now() + timeout);
    if (const auto *error = std::get_if<Error>(&answer))
        *reply.mutable_failure() = toFailure(*error);
    else if (const auto *repeated = std::get_if<ClaimReplayed>(&answer))
        fill(*reply.mutable_outcome(), presentable(repeated->outcome));
    else
        reply.set_granted(true);
    return reply;
}

peer::RecordOutcomeReply
ProtectedCallDriver::serveRecordOutcome(const peer::RecordOutcomeRequest &request)
{
    peer::RecordOutcomeReply reply;
    const auto key = parseProtectedKey(request.key());
    if (!key || (!request.not_run() && !request.has_outcome())) {
        *reply.mutable_failure() =
            toFailure(key ? Error{ErrorKind::BadRequest, "no outcome"} : key.error());
        return reply;
    }
    std::optional<AttemptOutcome> outcome;
    if (!request.not_run())
        outcome = AttemptOutcome{.status = static_cast<int>(request.outcome().status()),
                                 .contentType = request.outcome().content_type(),
                                 .body = request.outcome().body()};
    // The request does not carry the digest; 0 stands for an unknown one.
    const auto result = recordHere(key.value(), request.attempt(), 0, outcome,
                                   dependencies_.now() + settings_.claimTimeout);
    if (!result)
        *reply.mutable_failure() = toFailure(result.error());
    return reply;
}

void ProtectedCallDriver::cleanUp(StopToken &stop)
{
    while (stop.sleepFor(settings_.cleanupInterval)) {
        if (dependencies_.owner(std::string(cleanupKey)))
            continue;
        const auto keys = dependencies_.listKeys(attemptPrefix);
        if (!keys)
            continue;
        std::size_t removed = 0;
        for (const auto &key : keys.value()) {
            if (!isShardOlderThan(key, dependencies_.wallNow(), AttemptLedgerSettings::deleteAfter))
                continue;
            if (!dependencies_.removeKey(key) || !stop.sleepFor(removalPause))
                break;
            ++removed;
        }
        if (removed > 0)
            record("protected-shards-removed", {{"count", std::to_string(removed)}});
    }
}

} // namespace jy
