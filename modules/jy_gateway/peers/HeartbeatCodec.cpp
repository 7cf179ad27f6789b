#include "jy_gateway/peers/HeartbeatCodec.h"

#include "jy_base/hashing/StableHash.h"
#include "jy_base/time/UnixTime.h"
#include "jy_gateway/peers/DutyMessages.h"
#include "jy_gateway/peers/generated/beat.pb.h"

#include <algorithm>
#include <cmath>
#include <limits>
#include <map>
#include <vector>

namespace jy {

namespace {

// Encoded size of a load entry.
constexpr std::size_t loadEntryBytes = 19;

// Encoded size of a load entry in a brief heartbeat or report, and of a cached prompt.
constexpr std::size_t packedEntryBytes = 8;

// Encoded size of a leaving server, and the maximum number of them in one heartbeat; their entries
// in the store follow within seconds.
constexpr std::size_t leavingEntryBytes = 15;
constexpr int maxLeaving = 24;

// Maximum number of stalled servers in one heartbeat; a failure domain of a large fleet has a few
// more than that.
constexpr int maxStalled = 32;
constexpr std::size_t stalledEntryBytes = 4;

// Largest encoded size of an entry about a prompt part or the limit of a server.
constexpr std::size_t limitEntryBytes = 20;

// Encoded size of the demand for a service, and the maximum number of services in one heartbeat.
constexpr std::size_t demandEntryBytes = 14;
constexpr std::size_t maxDemands = 16;

// Space reserved for the fields other than lists of servers and prompts.
constexpr std::size_t fixedBytes = 240;

constexpr double tenths = 10;
constexpr double thousandths = 1000;

// Width of each half of an encoded cached prompt: the prefix key and the server hash.
constexpr int hashBits = 32;

std::size_t remainingBytes(std::size_t limit, std::size_t used)
{
    return used < limit ? limit - used : 0;
}

std::uint32_t toTenths(double count)
{
    return static_cast<std::uint32_t>(std::lround(std::max(0.0, count) * tenths));
}

/** Counts of one server in a heartbeat or report. */
struct Entry
{
    ServerId server;
    ServerRequestCounts requests;
    ServerOutcomeCounts outcomes;
};

/** Entries in descending order of failures plus requests in flight, the most relevant to others. */
std::vector<Entry> sortedEntries(const Heartbeat &heartbeat)
{
    std::map<ServerId, Entry> byServer;
    for (const auto &[server, requests] : heartbeat.requests)
        byServer[server].requests = requests;
    for (const auto &[server, outcomes] :
         heartbeat.brief ? OutcomeCountsByServer() : heartbeat.outcomes)
        byServer[server].outcomes = outcomes;
    std::vector<Entry> entries;
    entries.reserve(byServer.size());
    for (auto &[server, entry] : byServer) {
        entry.server = server;
        entries.push_back(std::move(entry));
    }
    std::ranges::sort(entries, std::ranges::greater(), [](const Entry &entry) {
        return entry.outcomes.failed + entry.requests.inFlight;
    });
    return entries;
}

void addLeaving(const StartTimeByServer &leaving, wire::Beat &message)
{
    for (const auto &[server, startTimeMs] : leaving) {
        if (message.leaving_size() == maxLeaving)
            return;
        auto *entry = message.add_leaving();
        entry->set_server_hash(serverHash(server));
        entry->set_born(startTimeMs);
    }
}

void addCached(const std::vector<CachedPrompt> &cached, wire::Beat &message)
{
    for (const auto &entry : cached) {
        message.add_cached((std::uint64_t{entry.prompt} << hashBits) | serverHash(entry.server));
    }
}

void addStalled(const std::vector<ServerId> &stalled, wire::Beat &message)
{
    for (const auto &server : stalled) {
        if (message.stalled_size() == maxStalled)
            return;
        message.add_stalled(serverHash(server));
    }
}

/** @returns a time as a number that the message can hold */
std::uint32_t toMessageMs(std::chrono::milliseconds time)
{
    constexpr std::int64_t longest = std::numeric_limits<std::uint32_t>::max();
    return static_cast<std::uint32_t>(std::clamp<std::int64_t>(time.count(), 0, longest));
}

void addParts(const PartReport &parts, wire::Beat &message)
{
    for (const auto &crash : parts.crashes) {
        auto *entry = message.add_part_crashes();
        entry->set_part(crash.part);
        entry->set_server_hash(crash.server);
        entry->set_response_begun(crash.evidence == CrashEvidence::ResponseBegun);
        entry->set_age_ms(toMessageMs(crash.age));
    }
    for (const auto &quarantined : parts.quarantined) {
        auto *entry = message.add_quarantined_parts();
        entry->set_part(quarantined.part);
        entry->set_probes(static_cast<std::uint32_t>(quarantined.probes));
        entry->set_until_probe_ms(quarantined.untilProbe.count());
    }
    for (const auto &sound : parts.sound) {
        auto *entry = message.add_sound_parts();
        entry->set_part(sound.part);
        entry->set_age_ms(toMessageMs(sound.age));
    }
}

PartReport readParts(const wire::Beat &message)
{
    using std::chrono::milliseconds;
    // Bounds the times in a malformed message.
    constexpr std::int64_t longestMs = 3'600'000;
    PartReport parts;
    for (const auto &entry : message.part_crashes())
        parts.crashes.push_back(
            {entry.part(), entry.server_hash(),
             entry.response_begun() ? CrashEvidence::ResponseBegun : CrashEvidence::BeforeResponse,
             milliseconds(entry.age_ms())});
    for (const auto &entry : message.quarantined_parts())
        parts.quarantined.push_back(
            {entry.part(), static_cast<int>(entry.probes()),
             milliseconds(std::clamp(entry.until_probe_ms(), -longestMs, longestMs))});
    for (const auto &entry : message.sound_parts())
        parts.sound.push_back({entry.part(), milliseconds(entry.age_ms())});
    return parts;
}

void addServerLimits(const std::vector<ServerLimitReport> &limits, wire::Beat &message)
{
    constexpr double largest = std::numeric_limits<std::uint32_t>::max();
    for (const auto &limit : limits) {
        auto *entry = message.add_server_limits();
        entry->set_server_hash(serverHash(limit.server));
        entry->set_ended(!limit.perSecond);
        entry->set_limit_thousandths(static_cast<std::uint32_t>(
            std::clamp(limit.perSecond.value_or(0) * thousandths, 0.0, largest)));
    }
}

/** Adds the services in most demand. */
void addDemand(const DemandByService &demand, wire::Beat &message)
{
    message.set_states_demand(true);
    std::vector<std::pair<double, std::uint32_t>> sorted;
    sorted.reserve(demand.size());
    for (const auto &[service, perSecond] : demand)
        sorted.emplace_back(perSecond, service);
    std::ranges::sort(sorted, std::ranges::greater());
    sorted.resize(std::min(sorted.size(), maxDemands));
    for (const auto &[perSecond, service] : sorted) {
        if (toTenths(perSecond) == 0)
            return;
        auto *entry = message.add_demands();
        entry->set_service_hash(service);
        entry->set_per_second_tenths(toTenths(perSecond));
    }
}

std::optional<DemandByService> readDemand(const wire::Beat &message)
{
    if (!message.states_demand())
        return std::nullopt;
    DemandByService demand;
    for (const auto &entry : message.demands())
        demand[entry.service_hash()] = entry.per_second_tenths() / tenths;
    return demand;
}

std::vector<ServerLimitReport> readServerLimits(const wire::Beat &message,
                                                const ServerByHash &findServer)
{
    std::vector<ServerLimitReport> limits;
    for (const auto &entry : message.server_limits()) {
        const auto *server = findServer(entry.server_hash());
        if (!server)
            continue;
        limits.push_back({*server, std::nullopt});
        if (!entry.ended())
            limits.back().perSecond = entry.limit_thousandths() / thousandths;
    }
    return limits;
}

std::vector<ServerId> readStalled(const wire::Beat &message, const ServerByHash &findServer)
{
    std::vector<ServerId> stalled;
    for (const auto hash : message.stalled()) {
        if (const auto *server = findServer(hash))
            stalled.push_back(*server);
    }
    return stalled;
}

std::vector<CachedPrompt> readCached(const wire::Beat &message, const ServerByHash &findServer)
{
    std::vector<CachedPrompt> cached;
    for (const auto packed : message.cached()) {
        if (const auto *server = findServer(static_cast<std::uint32_t>(packed)))
            cached.push_back({static_cast<std::uint32_t>(packed >> hashBits), *server});
    }
    return cached;
}

/** @param availableBytes space left in the datagram */
void addLoads(const std::vector<Entry> &entries, std::size_t availableBytes, wire::Beat &message)
{
    const auto count = std::min(entries.size(), availableBytes / loadEntryBytes);
    for (std::size_t i = 0; i < count; ++i) {
        const auto &entry = entries[i];
        auto *load = message.add_loads();
        load->set_server_hash(serverHash(entry.server));
        load->set_in_flight(static_cast<std::uint32_t>(std::max(0, entry.requests.inFlight)));
        load->set_waiting(static_cast<std::uint32_t>(std::max(0, entry.requests.waiting)));
        load->set_answered_tenths(toTenths(entry.outcomes.succeeded));
        load->set_failed_tenths(toTenths(entry.outcomes.failed));
    }
}

/** Servers with outcome counts come first: lists of outcomes refer to the first servers only. */
std::vector<Entry> sortedEntries(const GroupReport &report)
{
    auto entries =
        sortedEntries(Heartbeat{.requests = report.requests, .outcomes = report.outcomes});
    std::stable_partition(entries.begin(), entries.end(), [&](const Entry &entry) {
        return report.outcomes.contains(entry.server);
    });
    return entries;
}

void addPackedLoads(const std::vector<Entry> &entries, std::size_t availableBytes,
                    wire::Beat &message)
{
    const auto count = std::min(entries.size(), availableBytes / packedEntryBytes);
    bool anyWaiting = false;
    for (std::size_t i = 0; i < count; ++i) {
        const auto &requests = entries[i].requests;
        message.add_busy_server_hashes(serverHash(entries[i].server));
        message.add_busy_in_flight(static_cast<std::uint32_t>(std::max(0, requests.inFlight)));
        message.add_busy_waiting(static_cast<std::uint32_t>(std::max(0, requests.waiting)));
        anyWaiting = anyWaiting || requests.waiting > 0;
    }
    if (!anyWaiting)
        message.clear_busy_waiting();
}

void readPackedLoads(const wire::Beat &message, const ServerByHash &findServer,
                     RequestCountsByServer &requests)
{
    const auto count = std::min(message.busy_server_hashes_size(), message.busy_in_flight_size());
    for (int i = 0; i < count; ++i) {
        const auto *server = findServer(message.busy_server_hashes(i));
        if (!server)
            continue;
        const auto waiting = i < message.busy_waiting_size() ? message.busy_waiting(i) : 0;
        requests[*server] = {static_cast<int>(message.busy_in_flight(i)),
                             static_cast<int>(waiting)};
    }
}

void readLoads(const wire::Beat &message, const ServerByHash &findServer, Heartbeat &heartbeat)
{
    for (const auto &load : message.loads()) {
        const auto *server = findServer(load.server_hash());
        if (!server)
            continue;
        heartbeat.requests[*server] = {static_cast<int>(load.in_flight()),
                                       static_cast<int>(load.waiting())};
        heartbeat.outcomes[*server] = {load.answered_tenths() / tenths,
                                       load.failed_tenths() / tenths};
    }
}

Result<RegisteredInstance> readInstance(const wire::Beat &message)
{
    RegisteredInstance instance{.id = InstanceId(message.instance())};
    BOOST_OUTCOME_TRY(instance.caller, endpointFromString(message.caller_endpoint()));
    BOOST_OUTCOME_TRY(instance.peer, endpointFromString(message.peer_endpoint()));
    BOOST_OUTCOME_TRY(instance.control, endpointFromString(message.control_endpoint()));
    instance.linkMbps = static_cast<int>(message.link_mbps());
    instance.milliCores = static_cast<int>(message.milli_cores());
    instance.domain = DomainId(message.domain());
    return instance;
}

void addGroup(const GroupReport &report, wire::Beat &message)
{
    auto *group = message.mutable_group();
    group->set_groups(static_cast<std::uint32_t>(report.groups));
    group->set_number(static_cast<std::uint32_t>(report.group));
    for (const auto hash : report.ready)
        group->add_ready(hash);
    const auto entries = sortedEntries(report);
    // Also reserves space in the group for the outcome counts of servers.
    const auto availableBytes = remainingBytes(maxReportBytes,
                                               fixedBytes + group->ByteSizeLong()
                                                   + report.outcomes.size() * packedEntryBytes / 2);
    addPackedLoads(entries, availableBytes, message);
    const auto count = std::min(report.outcomes.size(),
                                static_cast<std::size_t>(message.busy_server_hashes_size()));
    for (std::size_t i = 0; i < count; ++i) {
        group->add_answered_tenths(toTenths(entries[i].outcomes.succeeded));
        group->add_failed_tenths(toTenths(entries[i].outcomes.failed));
    }
}

GroupReport readGroup(const wire::Beat &message, const ServerByHash &findServer)
{
    const auto &group = message.group();
    GroupReport report{.groups = group.groups(),
                       .group = group.number(),
                       .ready = {group.ready().begin(), group.ready().end()}};
    readPackedLoads(message, findServer, report.requests);
    const auto count = std::min({group.answered_tenths_size(), group.failed_tenths_size(),
                                 message.busy_server_hashes_size()});
    for (int i = 0; i < count; ++i) {
        if (const auto *server = findServer(message.busy_server_hashes(i)))
            report.outcomes[*server] = {group.answered_tenths(i) / tenths,
                                        group.failed_tenths(i) / tenths};
    }
    return report;
}

} // namespace

std::string encodeHeartbeat(const Heartbeat &heartbeat)
{
    wire::Beat message;
    if (heartbeat.group)
        addGroup(*heartbeat.group, message);
    message.set_incarnation(heartbeat.incarnation);
    message.set_sequence(heartbeat.sequence);
    message.set_ready(heartbeat.ready);
    message.set_brief(heartbeat.brief);
    if (heartbeat.usage) {
        message.set_brief(true);
        message.set_instance_hash(peerHash(heartbeat.instance.id));
        addUsage(*heartbeat.usage, message);
        return message.SerializeAsString();
    }
    if (heartbeat.rollout) {
        message.set_brief(true);
        message.set_instance_hash(peerHash(heartbeat.instance.id));
        addRollout(*heartbeat.rollout, message);
        return message.SerializeAsString();
    }
    addLeaving(heartbeat.leaving, message);
    addCached(heartbeat.cached, message);
    addStalled(heartbeat.stalled, message);
    addParts(heartbeat.parts, message);
    addServerLimits(heartbeat.serverLimits, message);
    if (heartbeat.demand)
        addDemand(*heartbeat.demand, message);
    const auto availableBytes = remainingBytes(
        maxHeartbeatBytes,
        fixedBytes + static_cast<std::size_t>(message.leaving_size()) * leavingEntryBytes
            + heartbeat.cached.size() * packedEntryBytes
            + static_cast<std::size_t>(message.stalled_size()) * stalledEntryBytes
            + static_cast<std::size_t>(message.part_crashes_size() + message.sound_parts_size()
                                       + message.quarantined_parts_size()
                                       + message.server_limits_size())
                * limitEntryBytes
            + static_cast<std::size_t>(message.demands_size()) * demandEntryBytes);
    if (heartbeat.brief || heartbeat.group) {
        message.set_brief(true);
        message.set_instance_hash(peerHash(heartbeat.instance.id));
        if (!heartbeat.group)
            addPackedLoads(sortedEntries(heartbeat), availableBytes, message);
        return message.SerializeAsString();
    }
    message.set_instance(heartbeat.instance.id.value());
    message.set_caller_endpoint(toString(heartbeat.instance.caller));
    message.set_peer_endpoint(toString(heartbeat.instance.peer));
    message.set_control_endpoint(toString(heartbeat.instance.control));
    message.set_link_mbps(static_cast<std::uint32_t>(std::max(0, heartbeat.instance.linkMbps)));
    message.set_milli_cores(static_cast<std::uint32_t>(std::max(0, heartbeat.instance.milliCores)));
    message.set_domain(heartbeat.instance.domain.value());
    if (heartbeat.wallTime)
        message.set_wall_ms(toUnixMs(*heartbeat.wallTime));
    addLoads(sortedEntries(heartbeat), availableBytes, message);
    return message.SerializeAsString();
}

std::uint32_t serverHash(const ServerId &server)
{
    return static_cast<std::uint32_t>(stableHash(server.value()));
}

Result<Heartbeat> decodeHeartbeat(std::string_view bytes, const ServerByHash &findServer,
                                  const InstanceByHash &findInstance)
{
    wire::Beat message;
    const bool read = message.ParseFromArray(bytes.data(), static_cast<int>(bytes.size()));
    if (!read || message.instance().empty() != message.brief())
        return failure(ErrorKind::BadRequest, "the datagram is not a valid heartbeat");
    Heartbeat heartbeat;
    heartbeat.brief = message.brief();
    heartbeat.incarnation = message.incarnation();
    heartbeat.sequence = message.sequence();
    heartbeat.ready = message.ready();
    if (heartbeat.brief) {
        const auto *id = findInstance(message.instance_hash());
        if (!id)
            return failure(ErrorKind::UnknownTarget,
                           "brief heartbeat or report from an unknown instance");
        heartbeat.instance.id = *id;
        if (message.has_usage())
            heartbeat.usage = readUsage(message, *id);
        else if (message.has_rollout())
            heartbeat.rollout = readRollout(message);
        else if (message.has_group())
            heartbeat.group = readGroup(message, findServer);
        else
            readPackedLoads(message, findServer, heartbeat.requests);
    } else {
        BOOST_OUTCOME_TRY(heartbeat.instance, readInstance(message));
        readLoads(message, findServer, heartbeat);
        if (message.wall_ms() != 0)
            heartbeat.wallTime = fromUnixMs(message.wall_ms());
    }
    for (const auto &leaving : message.leaving()) {
        if (const auto *server = findServer(leaving.server_hash()))
            heartbeat.leaving[*server] = leaving.born();
    }
    heartbeat.cached = readCached(message, findServer);
    heartbeat.stalled = readStalled(message, findServer);
    heartbeat.parts = readParts(message);
    heartbeat.serverLimits = readServerLimits(message, findServer);
    heartbeat.demand = readDemand(message);
    return heartbeat;
}

} // namespace jy
