#include "jy_platform/kv/KvClient.h"

#include "jy_platform/consul/ConsulApi.h"

#include <boost/json/array.hpp>
#include <boost/json/serialize.hpp>

namespace jy {

namespace json = boost::json;
using Clock = std::chrono::steady_clock;

namespace {

constexpr int statusNotFound = 404;

/** Added to the wait of a blocking query: Consul adds up to a sixteenth of the wait as jitter. */
std::chrono::milliseconds blockingTimeout(std::chrono::milliseconds wait,
                                          std::chrono::milliseconds requestTimeout)
{
    return wait + wait / 16 + requestTimeout;
}

std::string keyPath(std::string_view key)
{
    std::string path("/v1/kv/");
    while (true) {
        const auto slash = key.find('/');
        path += percentEncode(key.substr(0, slash));
        if (slash == std::string_view::npos)
            return path;
        path += '/';
        key.remove_prefix(slash + 1);
    }
}

Result<KvEntry> toEntry(const json::value &value)
{
    if (!value.is_object())
        return failure(ErrorKind::KvUnavailable, "the KV service did not return an entry");
    const auto &object = value.as_object();
    auto decoded = decodeBase64(jsonText(object, "Value"));
    if (!decoded)
        return failure(ErrorKind::KvUnavailable, decoded.error().message);
    return KvEntry{jsonText(object, "Key"), std::move(decoded).value(),
                   jsonNumber(object, "ModifyIndex"), jsonNumber(object, "LockIndex"),
                   jsonText(object, "Session")};
}

Result<std::vector<KvEntry>> toEntries(const HttpResponse &response)
{
    std::vector<KvEntry> entries;
    if (response.status == statusNotFound)
        return entries;
    const auto parsed = parseJson(response.body);
    if (!parsed || !parsed.value().is_array())
        return failure(ErrorKind::KvUnavailable, "the KV service did not return a list");
    for (const auto &item : parsed.value().as_array()) {
        BOOST_OUTCOME_TRY(auto entry, toEntry(item));
        entries.push_back(std::move(entry));
    }
    return entries;
}

std::string milliseconds(std::chrono::milliseconds duration)
{
    return std::to_string(duration.count()) + "ms";
}

} // namespace

std::unique_ptr<KvClient> KvClient::create(std::shared_ptr<HttpClient> http,
                                           const KvSettings &settings, KvLimits limits)
{
    return std::unique_ptr<KvClient>(new KvClient(std::move(http), settings, limits));
}

KvClient::KvClient(std::shared_ptr<HttpClient> http, const KvSettings &settings, KvLimits limits)
    : api_(std::make_unique<ConsulApi>(std::move(http), settings.endpoints))
    , settings_(settings)
    , limit_(limits.callsPerSecond, limits.burst)
{ }

KvClient::~KvClient() = default;

Result<HttpResponse> KvClient::perform(const ConsulCall &call, std::uint64_t &counter)
{
    const auto wait = limit_.take(Clock::now(), settings_.requestTimeout);
    if (wait < Duration::zero()) {
        ++counters_.rateLimited;
        ++counters_.unavailable;
        return failure(ErrorKind::KvUnavailable, "the router's own limit of KV calls is reached",
                       settings_.requestTimeout);
    }
    if (wait > Duration::zero())
        EventLoop::sleepFor(wait);
    ++counter;
    auto response = api_->perform(call);
    if (!response) {
        counters_.unavailable += response.error().kind == ErrorKind::KvUnavailable ? 1 : 0;
        counters_.outcomeUnknown += response.error().kind == ErrorKind::KvOutcomeUnknown ? 1 : 0;
    }
    return response;
}

Result<std::vector<KvEntry>> KvClient::readEntries(const std::string &target)
{
    const ConsulCall call{.request = {.method = "GET", .target = target},
                          .timeout = settings_.requestTimeout};
    BOOST_OUTCOME_TRY(const auto response, perform(call, counters_.reads));
    return toEntries(response);
}

Result<std::optional<KvEntry>> KvClient::get(const std::string &key)
{
    BOOST_OUTCOME_TRY(auto entries, readEntries(keyPath(key) + "?consistent"));
    if (entries.empty())
        return std::optional<KvEntry>();
    return std::optional<KvEntry>(std::move(entries.front()));
}

Result<std::vector<KvEntry>> KvClient::list(const std::string &prefix)
{
    return readEntries(keyPath(prefix) + "?recurse&consistent");
}

Result<KvChange> KvClient::watch(const std::string &key, std::uint64_t afterIndex,
                                 std::chrono::milliseconds maxWait,
                                 std::shared_ptr<Cancellation> cancellation)
{
    ConsulCall call{.request = {.method = "GET", .target = keyPath(key)},
                    .timeout = blockingTimeout(maxWait, settings_.requestTimeout),
                    .cancellation = std::move(cancellation)};
    if (afterIndex > 0)
        call.request.target += '?' + blockingQuery(afterIndex, maxWait);
    BOOST_OUTCOME_TRY(const auto response, perform(call, counters_.watches));
    BOOST_OUTCOME_TRY(auto entries, toEntries(response));
    KvChange change{.index = consulIndex(response)};
    // After a restore from a snapshot the index may go back; a watch above it would never return.
    if (change.index < afterIndex)
        change.index = 0;
    if (!entries.empty())
        change.entry = std::move(entries.front());
    return change;
}

Result<void> KvClient::write(const std::string &method, const std::string &target,
                             const std::string &body, std::uint64_t &counter)
{
    if (body.size() > maxValueBytes)
        return failure(ErrorKind::PayloadTooLarge, "a value of the KV service exceeds 1 MB");
    ConsulCall call{.request = {.method = method, .target = target},
                    .timeout = settings_.requestTimeout,
                    .write = true};
    call.request.body = body;
    const auto response = perform(call, counter);
    if (!response)
        return boost::outcome_v2::failure(response.error());
    const auto &answer = response.value().body;
    if (answer.starts_with("true"))
        return success();
    if (answer.starts_with("false")) {
        ++counters_.conflicts;
        return failure(ErrorKind::KvConflict, method + ' ' + target + " was not applied");
    }
    ++counters_.outcomeUnknown;
    return failure(ErrorKind::KvOutcomeUnknown, method + ' ' + target + ": unexpected response");
}

Result<void> KvClient::compareAndSwap(const std::string &key, const std::string &value,
                                      std::uint64_t expectedIndex)
{
    return write("PUT", keyPath(key) + "?cas=" + std::to_string(expectedIndex), value,
                 counters_.writes);
}

Result<void> KvClient::remove(const std::string &key, std::optional<std::uint64_t> expectedIndex)
{
    auto target = keyPath(key);
    if (expectedIndex)
        target += "?cas=" + std::to_string(*expectedIndex);
    return write("DELETE", target, {}, counters_.writes);
}

Result<std::string> KvClient::createSession(const std::string &holder,
                                            std::chrono::milliseconds ttl)
{
    ConsulCall call{.request = {.method = "PUT", .target = "/v1/session/create"},
                    .timeout = settings_.requestTimeout,
                    .write = true};
    // Without a lock delay: holders stop before the end of the lease and successors wait.
    call.request.body = json::serialize(json::object{{"Name", holder},
                                                     {"TTL", milliseconds(ttl)},
                                                     {"Behavior", "release"},
                                                     {"LockDelay", "0s"}});
    BOOST_OUTCOME_TRY(const auto response, perform(call, counters_.leaseCalls));
    const auto parsed = parseJson(response.body);
    auto id = parsed && parsed.value().is_object() ? jsonText(parsed.value().as_object(), "ID")
                                                   : std::string();
    if (id.empty())
        return failure(ErrorKind::KvOutcomeUnknown, "the KV service returned no session");
    return id;
}

Result<void> KvClient::destroySession(const std::string &session)
{
    return write("PUT", "/v1/session/destroy/" + session, {}, counters_.leaseCalls);
}

Result<Lease> KvClient::acquireLease(const std::string &key, const std::string &holder,
                                     std::chrono::milliseconds ttl)
{
    const auto sent = Clock::now();
    BOOST_OUTCOME_TRY(auto session, createSession(holder, ttl));
    const auto acquired =
        write("PUT", keyPath(key) + "?acquire=" + session, holder, counters_.leaseCalls);
    if (!acquired) {
        // Ends the lease that may have been acquired; the error of the acquisition counts.
        (void)destroySession(session);
        return boost::outcome_v2::failure(acquired.error());
    }
    const auto entry = get(key);
    if (!entry) {
        (void)destroySession(session);
        return boost::outcome_v2::failure(entry.error());
    }
    if (!entry.value() || entry.value()->session != session)
        return failure(ErrorKind::LeaseLost, "the lease of " + key + " ended at once");
    return Lease{key, std::move(session), ttl, entry.value()->lockIndex, sent + ttl};
}

Result<void> KvClient::renew(Lease &lease)
{
    const auto sent = Clock::now();
    const ConsulCall call{
        .request = {.method = "PUT", .target = "/v1/session/renew/" + lease.session},
        .timeout = settings_.requestTimeout,
        .write = true};
    BOOST_OUTCOME_TRY(const auto response, perform(call, counters_.leaseCalls));
    if (response.status == statusNotFound) {
        lease.validUntil = {};
        return failure(ErrorKind::LeaseLost, "the lease of " + lease.key + " has ended");
    }
    lease.validUntil = sent + lease.ttl;
    return success();
}

Result<void> KvClient::release(Lease &lease)
{
    lease.validUntil = {};
    const auto released =
        write("PUT", keyPath(lease.key) + "?release=" + lease.session, {}, counters_.leaseCalls);
    const auto destroyed = destroySession(lease.session);
    return destroyed ? destroyed : released;
}

} // namespace jy
