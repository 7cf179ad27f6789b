#pragma once

#include "jy_base/ids/Ids.h"
#include "jy_core/protected/AttemptLedger.h"
#include "jy_peer/generated/peer.pb.h"
#include "jy_runtime/events/Event.h"
#include "jy_runtime/supervision/StopToken.h"

#include <chrono>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <unordered_map>
#include <vector>

namespace jy {

/** A call that must not run twice. */
struct ProtectedCallRequest
{
    /** Value of the Idempotency-Key header; empty if there is none. */
    std::string key;

    /** @see protectedCallDigest() */
    std::uint64_t digest = 0;

    ServiceId service;
    TimePoint deadline;
};

/** Hash of what a repetition of a key must repeat; never 0. */
std::uint64_t protectedCallDigest(const ServiceId &service, std::string_view method,
                                  std::string_view path, std::string_view body);

/** What happened to a call that was handed to the service. */
struct ProtectedSendResult
{
    enum class Progress {
        NotSent, /**< it is certain that no byte reached the service */
        Answered, /**< the response is complete */
        Unknown, /**< anything else */
    };

    Progress progress = Progress::Unknown;

    /** Only for Answered. */
    AttemptOutcome response;

    /** Only for NotSent and Unknown. */
    Error error;
};

/** The response of the service, or the one recorded by an earlier attempt. */
struct ProtectedCallResponse
{
    AttemptOutcome response;
    bool repeated = false;
};

struct ProtectedCallSettings
{
    /** Longest time for a claim, within the deadline of the call. */
    std::chrono::milliseconds claimTimeout{2'000};

    /** Interval at which due batches are written. */
    std::chrono::milliseconds tickInterval{10};

    /** How long outcomes and withdrawals are tried, and the pauses between the attempts. */
    std::chrono::milliseconds recordFor{60'000};
    std::chrono::milliseconds recordPause{200};
    std::chrono::milliseconds recordPauseMax{5'000};

    /** Outcomes and withdrawals in progress; further ones are dropped with an event. */
    std::size_t pendingRecords = 1'000;

    std::chrono::minutes cleanupInterval{10};

    AttemptLedgerSettings ledger;
};

/**
 * Runs protected calls: claims the key at the router that owns its record shard, sends the call
 * only after the claim is granted, and records the response for repetitions of the key.
 *
 * Each error has the effect that its kind states: kinds with the effect "not run" are returned
 * only when this attempt has sent no byte.
 */
class ProtectedCallDriver
{
public:
    using Send = std::function<ProtectedSendResult()>;

    struct Dependencies
    {
        std::function<Result<std::optional<KvValue>>(const std::string &key)> readKey;
        std::function<Result<std::uint64_t>(const std::string &key, const std::string &value,
                                            std::uint64_t expectedIndex)>
            swapKey;
        std::function<Result<std::vector<std::string>>(std::string_view prefix)> listKeys;
        std::function<Result<void>(const std::string &key)> removeKey;

        /** The owner of a record shard; empty when it is this router. */
        std::function<std::optional<InstanceId>(const std::string &shardKey)> owner;

        std::function<Result<peer::ClaimReply>(const InstanceId &peer,
                                               const peer::ClaimRequest &request,
                                               std::chrono::milliseconds timeout)>
            claim;
        std::function<Result<peer::RecordOutcomeReply>(const InstanceId &peer,
                                                       const peer::RecordOutcomeRequest &request,
                                                       std::chrono::milliseconds timeout)>
            recordOutcome;

        /** A new unique id for each attempt. */
        std::function<std::string()> newAttemptId;

        /** From the desired state in force. */
        std::function<std::chrono::milliseconds()> keyRetention;

        EventSink events;
        std::function<TimePoint()> now = std::chrono::steady_clock::now;
        std::function<WallTime()> wallNow = std::chrono::system_clock::now;
    };

    ProtectedCallDriver(const ProtectedCallSettings &settings, Dependencies dependencies);
    ~ProtectedCallDriver();

    /** Fiber bodies, one supervised child each: the batches, and the removal of old shards. */
    void run(StopToken &stop);
    void cleanUp(StopToken &stop);

    /** Runs one call; suspends the calling fiber. @param send called at most once */
    Result<ProtectedCallResponse> call(const ProtectedCallRequest &request, const Send &send);

    /** Answers the RPCs of peers; each suspends the calling fiber. */
    peer::ClaimReply serveClaim(const peer::ClaimRequest &request);
    peer::RecordOutcomeReply serveRecordOutcome(const peer::RecordOutcomeRequest &request);

    /** Outcomes and withdrawals that are not recorded yet; a shutdown waits for 0. */
    std::size_t pendingRecords() const { return pendingRecords_; }

private:
    struct Waiter;

    void perform(AttemptLedger::Actions actions);
    void complete(AttemptLedger::Ticket ticket, ClaimResult answer);
    ClaimResult waitFor(AttemptLedger::Ticket ticket, TimePoint deadline);
    ClaimResult claimAnywhere(const ProtectedKey &key, const std::string &attempt,
                              const ProtectedCallRequest &request, TimePoint deadline);
    ClaimResult claimHere(const ProtectedKey &key, const std::string &attempt, std::uint64_t digest,
                          TimePoint deadline);
    Result<ProtectedCallResponse> finishSend(const ProtectedKey &key, const std::string &attempt,
                                             std::uint64_t digest, ProtectedSendResult result);
    void recordInBackground(const ProtectedKey &key, const std::string &attempt,
                            std::uint64_t digest, std::optional<AttemptOutcome> outcome);
    Result<void> recordAnywhere(const ProtectedKey &key, const std::string &attempt,
                                std::uint64_t digest, const std::optional<AttemptOutcome> &outcome);
    Result<void> recordHere(const ProtectedKey &key, const std::string &attempt,
                            std::uint64_t digest, const std::optional<AttemptOutcome> &outcome,
                            TimePoint deadline);
    void record(std::string kind, std::vector<EventField> fields);

    ProtectedCallSettings settings_;
    Dependencies dependencies_;
    AttemptLedger ledger_;
    std::unordered_map<AttemptLedger::Ticket, std::shared_ptr<Waiter>> waiters_;
    std::size_t pendingRecords_ = 0;

    // Fibers that outlive the driver see that it is gone.
    std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);
};

} // namespace jy
