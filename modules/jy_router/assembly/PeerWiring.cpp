#include "jy_router/assembly/PeerWiring.h"

#include "jy_core/membership/RouterChoice.h"

#include <algorithm>

namespace jy {

namespace {

constexpr std::chrono::milliseconds callTimeout{1000};
constexpr std::string_view orderLeaseKey = "jy/orders/lease";

peer::OutcomeCount toProto(const OutcomeCount &count)
{
    peer::OutcomeCount message;
    message.set_move(count.move.value());
    message.set_version(count.version.value());
    message.set_route(count.route);
    message.set_slot(count.slot);
    message.set_requests(count.requests);
    message.set_errors(count.errors);
    message.set_slow(count.slow);
    message.set_timed(count.timed);
    message.set_first_token_ms(count.firstTokenMs);
    return message;
}

OutcomeCount fromProto(const peer::OutcomeCount &message)
{
    return {MoveId(message.move()),  VersionId(message.version()),
            message.route(),         message.slot(),
            message.requests(),      message.errors(),
            message.slow(),          message.timed(),
            message.first_token_ms()};
}

peer::StopMarks toProto(const MoveTable &moveTable)
{
    peer::StopMarks message;
    for (const auto &mark : moveTable.marks()) {
        auto &entry = *message.add_marks();
        entry.set_move(mark.move.value());
        entry.set_version(mark.version.value());
        entry.set_reason(mark.reason);
        entry.set_found_by(mark.foundBy.value());
        entry.set_revision(mark.revision);
    }
    for (const auto &record : moveTable.records()) {
        auto &entry = *message.add_records();
        entry.set_move(record.move.value());
        entry.set_sequence(record.sequence);
        entry.set_state(std::string(toString(record.state)));
        entry.set_share(record.share);
        entry.set_reason(record.reason);
        entry.set_changed_at_ms(std::chrono::duration_cast<std::chrono::milliseconds>(
                                    record.changedAt.time_since_epoch())
                                    .count());
    }
    return message;
}

void mergeMoveTable(RouterContext &context, const peer::StopMarks &message)
{
    std::vector<StopMark> marks;
    for (const auto &entry : message.marks())
        marks.push_back({MoveId(entry.move()), VersionId(entry.version()), entry.reason(),
                         InstanceId(entry.found_by()), entry.revision()});
    std::vector<MoveRecord> records;
    for (const auto &entry : message.records()) {
        const auto state = moveStateFromName(entry.state());
        if (!state || !(entry.share() >= 0.0 && entry.share() <= 1.0))
            continue;
        records.push_back({MoveId(entry.move()), entry.sequence(), *state, entry.share(),
                           entry.reason(),
                           WallTime(std::chrono::milliseconds(entry.changed_at_ms()))});
    }
    context.moves->merge(marks, records);
}

peer::OutcomeReply receiveOutcomes(RouterContext &context, const peer::OutcomeReport &report)
{
    std::vector<OutcomeCount> counts;
    for (const auto &count : report.counts())
        counts.push_back(fromProto(count));
    peer::OutcomeReply reply;
    for (const auto &[move, limit] :
         context.moves->receiveCounts(InstanceId(report.from()), counts)) {
        auto &entry = *reply.add_thresholds();
        entry.set_move(move.value());
        entry.set_first_token_ms(static_cast<std::uint32_t>(limit.count()));
    }
    return reply;
}

Result<std::map<MoveId, std::chrono::milliseconds>>
sendCounts(RouterContext &context, const InstanceId &coordinator,
           const std::vector<OutcomeCount> &counts)
{
    const auto endpoint = context.rpcEndpoint(coordinator);
    if (!endpoint)
        return failure(endpoint.error().kind, endpoint.error().message);
    peer::OutcomeReport report;
    report.set_from(context.self().value());
    report.set_from_incarnation(context.incarnation);
    for (const auto &count : counts)
        *report.add_counts() = toProto(count);
    const auto reply = context.peers->reportOutcomes(endpoint.value(), report, callTimeout);
    if (!reply)
        return failure(reply.error().kind, reply.error().message);
    std::map<MoveId, std::chrono::milliseconds> thresholds;
    for (const auto &entry : reply.value().thresholds())
        thresholds[MoveId(entry.move())] = std::chrono::milliseconds(entry.first_token_ms());
    return thresholds;
}

Result<StoredRecord> readRecord(RouterContext &context, const std::string &key)
{
    const auto entry = context.kv->get(key);
    if (!entry)
        return failure(entry.error().kind, entry.error().message);
    if (!entry.value())
        return StoredRecord{};
    return StoredRecord{entry.value()->value, entry.value()->modifyIndex};
}

/** Engines of the new version and the load of the whole pool. */
MoveCapacity capacityOf(const RouterContext &context, const ModelSpec &model, const MoveSpec &move)
{
    MoveCapacity capacity;
    for (const auto *server : context.directory.servers()) {
        if (server->kind != ServerKind::Engine || server->model != model.id || server->leaving
            || server->version != move.to)
            continue;
        ++capacity.newEngines;
        capacity.newLimit += model.maxConcurrency;
    }
    const auto totals =
        context.poolTotals.find(poolName(model.id, context.settings.instance.region));
    if (totals != context.poolTotals.end())
        capacity.inFlight = static_cast<int>(totals->second.inFlight);
    return capacity;
}

Result<std::uint64_t> keepOrderLease(RouterContext &context, std::chrono::milliseconds timeToLive)
{
    if (!context.orderLease) {
        auto lease = context.kv->acquireLease(std::string(orderLeaseKey), context.self().value(),
                                              timeToLive);
        if (!lease)
            return failure(lease.error().kind, lease.error().message);
        context.orderLease = std::move(lease.value());
        return context.orderLease->fencingToken;
    }
    const auto renewed = context.kv->renew(*context.orderLease);
    if (renewed)
        return context.orderLease->fencingToken;
    if (renewed.error().kind == ErrorKind::LeaseLost)
        context.orderLease.reset();
    return failure(renewed.error().kind, renewed.error().message);
}

Result<void> sendOrder(RouterContext &context, const PlannedOrder &order, std::uint64_t token)
{
    const auto *server = context.directory.find(order.server);
    if (server == nullptr)
        return failure(ErrorKind::UnknownTarget, "the engine left the instance list");
    return context.engines->order(server->endpoint,
                                  {.fencingToken = token,
                                   .action = EngineOrder::Action::Load,
                                   .model = order.model,
                                   .version = order.version});
}

std::vector<BackendServer> allServers(const RouterContext &context)
{
    std::vector<BackendServer> servers;
    for (const auto *server : context.directory.servers())
        servers.push_back(*server);
    return servers;
}

} // namespace

PeerHandlers peerHandlers(RouterContext &context)
{
    PeerHandlers handlers;
    handlers.reserve = [&context](const auto &request) {
        return context.owner->handleReserve(request);
    };
    handlers.release = [&context](const auto &request) {
        return context.owner->handleRelease(request);
    };
    handlers.reportInFlight = [&context](const auto &report) {
        return context.owner->handleReport(report);
    };
    handlers.handOff = [&context](const auto &request) {
        return context.owner->handleHandOff(request);
    };
    handlers.fetchConfig = [&context](const auto &request) {
        return context.config->serve(request);
    };
    handlers.reportOutcomes = [&context](const auto &report) {
        return receiveOutcomes(context, report);
    };
    handlers.spreadStopMarks = [&context](const peer::StopMarks &request) {
        mergeMoveTable(context, request);
        return toProto(context.moves->moveTable());
    };
    handlers.claim = [&context](const auto &request) {
        return context.protectedCalls->serveClaim(request);
    };
    handlers.recordOutcome = [&context](const auto &request) {
        return context.protectedCalls->serveRecordOutcome(request);
    };
    return handlers;
}

std::unique_ptr<MoveDriver> createMoveDriver(RouterContext &context)
{
    MoveDriverDependencies hooks;
    hooks.self = context.self();
    hooks.desiredState = [&context] { return context.desiredState(); };
    hooks.wallNow = std::chrono::system_clock::now;
    hooks.coordinator = [&context](const MoveId &move) {
        return context.chosenRouter("jy/moves/" + move.value());
    };
    hooks.read = [&context](const std::string &key) { return readRecord(context, key); };
    hooks.compareAndSwap = [&context](const std::string &key, const std::string &value,
                                      std::uint64_t index) {
        return context.kv->compareAndSwap(key, value, index);
    };
    hooks.sendCounts = [&context](const InstanceId &coordinator, const auto &counts) {
        return sendCounts(context, coordinator, counts);
    };
    hooks.capacity = [&context](const ModelSpec &model, const MoveSpec &move) {
        return capacityOf(context, model, move);
    };
    hooks.moveTableChanged = [&context] {
        const auto digest = context.moves->moveTable().digest();
        context.membership->setStopMarks({digest.count, digest.hash});
    };
    hooks.event = [&context](const std::string &kind, const MoveId &move,
                             const std::string &detail) {
        context.record(kind, {{"move", move.value()}, {"reason", detail}});
    };
    return std::make_unique<MoveDriver>(std::move(hooks), VersionMoveSettings{});
}

std::unique_ptr<OrderDriver> createOrderDriver(RouterContext &context)
{
    OrderLeaseSettings lease;
    lease.timeToLive = context.settings.engines.commandLease;
    lease.guardInterval = context.settings.engines.guardInterval;
    lease.longestOrder = context.settings.engines.commandFlight;
    OrderDriverDependencies hooks;
    hooks.now = std::chrono::steady_clock::now;
    hooks.desiredState = [&context] { return context.desiredState(); };
    hooks.moveTable = [&context]() -> const MoveTable & { return context.moves->moveTable(); };
    hooks.servers = [&context] { return allServers(context); };
    hooks.preferred = [&context] { return context.chosenRouter(orderLeaseKey) == context.self(); };
    hooks.acquireOrRenew = [&context](std::chrono::milliseconds timeToLive) {
        return keepOrderLease(context, timeToLive);
    };
    hooks.release = [&context] {
        if (!context.orderLease)
            return;
        // Without success the service ends the lease after its time.
        (void)context.kv->release(*context.orderLease);
        context.orderLease.reset();
    };
    hooks.send = [&context](const PlannedOrder &order, std::uint64_t token) {
        return sendOrder(context, order, token);
    };
    hooks.event = [&context](const std::string &kind, const ServerId &server,
                             const std::string &detail) {
        context.record(kind, {{"server", server.value()}, {"detail", detail}});
    };
    return std::make_unique<OrderDriver>(std::move(hooks), lease);
}

void exchangeMoves(RouterContext &context, const MemberInfo &peer)
{
    const auto reply =
        context.peers->spreadStopMarks(peer.rpc, toProto(context.moves->moveTable()), callTimeout);
    if (reply)
        mergeMoveTable(context, reply.value());
}

} // namespace jy
