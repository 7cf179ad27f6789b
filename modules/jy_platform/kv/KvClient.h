#pragma once

#include "jy_base/errors/Error.h"
#include "jy_base/ids/Ids.h"
#include "jy_base/time/TimeTypes.h"
#include "jy_http/messages/Cancellation.h"
#include "jy_platform/kv/CallRateLimit.h"
#include "jy_runtime/settings/RouterSettings.h"

#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace jy {

class ConsulApi;
class HttpClient;
struct ConsulCall;
struct HttpResponse;

/** One key and its value. */
struct KvEntry
{
    std::string key;
    std::string value;

    /** Index of the last change; the expected index of a compare-and-swap. */
    std::uint64_t modifyIndex = 0;

    /** Number of times the key was acquired; the fencing token of its lease. */
    std::uint64_t lockIndex = 0;

    /** Session that holds the key; empty for none. */
    std::string session;
};

/** Result of a watch. */
struct KvChange
{
    /** Pass to the next watch. Zero restarts the watch, because the service lost its history. */
    std::uint64_t index = 0;

    std::optional<KvEntry> entry;
};

/** Exclusive right to act for a key until a time. */
struct Lease
{
    std::string key;
    std::string session;
    std::chrono::milliseconds ttl{0};

    /** Grows with each new holder of the key. */
    std::uint64_t fencingToken = 0;

    /**
     * The service does not give the key to another holder before this time. Counted from before
     * the request was sent, so that the time on the way shortens it.
     */
    TimePoint validUntil;
};

/** Rate of calls of one router; a pending watch counts as one call. */
struct KvLimits
{
    /** Below a 360th part of the 2,400 calls/s that the service supports. */
    double callsPerSecond = 6;

    /** Covers the reads of a start and the claims of a burst. */
    double burst = 100;
};

/** Calls since creation. */
struct KvCounters
{
    std::uint64_t reads = 0;
    std::uint64_t watches = 0;
    std::uint64_t writes = 0;

    /** Calls for leases: create, acquire, renew, release. */
    std::uint64_t leaseCalls = 0;

    std::uint64_t conflicts = 0;
    std::uint64_t unavailable = 0;
    std::uint64_t outcomeUnknown = 0;

    /** Not sent, because of the client's own limit; also counted as unavailable. */
    std::uint64_t rateLimited = 0;
};

/**
 * Adapter for the KV service: the Consul HTTP API, version 1. All calls suspend the fiber.
 *
 * - `GET /v1/kv/KEY?consistent` returns `[{"Key", "Value" (base64), "ModifyIndex", "LockIndex",
 *   "Session"}]` or 404. Slashes in keys stay as they are, other special characters are escaped.
 * - `GET /v1/kv/KEY?index=N&wait=Nms` returns after a change above index N or the wait; the header
 *   `X-Consul-Index` holds the current index, also with 404.
 * - `GET /v1/kv/PREFIX?recurse&consistent` lists entries.
 * - `PUT /v1/kv/KEY?cas=N` with the value as body and `DELETE /v1/kv/KEY?cas=N` return `true`, or
 *   `false` when the ModifyIndex is not N. N = 0 creates the key.
 * - `PUT /v1/session/create` with `{"Name", "TTL": "10000ms", "Behavior": "release", "LockDelay":
 *   "0s"}` returns `{"ID"}`. `PUT /v1/kv/KEY?acquire=ID` with the holder as body returns `true` or
 *   `false`; each acquisition raises LockIndex. `PUT /v1/session/renew/ID` returns 200, or 404
 *   when the session has ended. `PUT /v1/kv/KEY?release=ID` and `PUT /v1/session/destroy/ID`
 *   return `true`. A lease key must never be deleted, because that resets LockIndex.
 * - Status 429 means not applied, as does 500 with the body "No cluster leader". After any other
 *   5xx status, a time-out or a broken connection a write may have been applied.
 *
 * Errors: KvConflict (not applied), KvUnavailable (not applied; every failed read),
 * KvOutcomeUnknown (may be applied), LeaseLost, PayloadTooLarge.
 */
class KvClient
{
public:
    static constexpr std::size_t maxValueBytes = 1000 * 1000;

    static std::unique_ptr<KvClient> create(std::shared_ptr<HttpClient> http,
                                            const KvSettings &settings, KvLimits limits = {});

    KvClient(const KvClient &) = delete;
    KvClient &operator=(const KvClient &) = delete;
    ~KvClient();

    /** Reads a key consistently. @returns nothing for a missing key. */
    Result<std::optional<KvEntry>> get(const std::string &key);

    /**
     * Waits for a change of a key.
     *
     * @param afterIndex index of the previous result; 0 returns at once
     */
    Result<KvChange> watch(const std::string &key, std::uint64_t afterIndex,
                           std::chrono::milliseconds maxWait,
                           std::shared_ptr<Cancellation> cancellation = nullptr);

    /** Reads all keys with a prefix. */
    Result<std::vector<KvEntry>> list(const std::string &prefix);

    /** Writes a key if its modify index is the expected one; 0 expects that it is missing. */
    Result<void> compareAndSwap(const std::string &key, const std::string &value,
                                std::uint64_t expectedIndex);

    /** Deletes a key, with an expected index only if it matches. */
    Result<void> remove(const std::string &key,
                        std::optional<std::uint64_t> expectedIndex = std::nullopt);

    /**
     * Acquires the lease of a key.
     *
     * KvConflict when another holder has it. After KvOutcomeUnknown the lease may be held by a
     * session that nobody renews; it ends after @p ttl.
     *
     * @param holder written as the value of the key, for people
     */
    Result<Lease> acquireLease(const std::string &key, const std::string &holder,
                               std::chrono::milliseconds ttl);

    /**
     * Prolongs a lease. LeaseLost when the service has ended the session; after any other error the
     * lease stays valid until its previous time.
     */
    Result<void> renew(Lease &lease);

    /** Gives the lease up. Without success the service ends it after its time. */
    Result<void> release(Lease &lease);

    const KvCounters &counters() const { return counters_; }

private:
    KvClient(std::shared_ptr<HttpClient> http, const KvSettings &settings, KvLimits limits);

    Result<HttpResponse> perform(const ConsulCall &call, std::uint64_t &counter);
    Result<std::vector<KvEntry>> readEntries(const std::string &target);
    Result<void> write(const std::string &method, const std::string &target,
                       const std::string &body, std::uint64_t &counter);
    Result<std::string> createSession(const std::string &holder, std::chrono::milliseconds ttl);
    Result<void> destroySession(const std::string &session);

    std::unique_ptr<ConsulApi> api_;
    KvSettings settings_;
    CallRateLimit limit_;
    KvCounters counters_;
};

} // namespace jy
