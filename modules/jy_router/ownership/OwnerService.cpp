#include "jy_router/ownership/OwnerService.h"

#include "jy_router/ownership/PeerConversion.h"

#include <algorithm>

namespace jy {

namespace {

// A grant may be on its way while the deadline passes; the ledger itself ends the wait.
constexpr std::chrono::milliseconds queueGrace{500};

constexpr std::chrono::milliseconds tickInterval{50};

Duration queueWait(const peer::ReserveRequest &request, const GlobalSpec &global)
{
    return std::min<Duration>(std::chrono::milliseconds(request.deadline_ms()),
                              global.queueTimeout);
}

// Copies of the instance list at different routers agree again after about this time.
constexpr std::chrono::milliseconds listLag{1000};

} // namespace

OwnerService::OwnerService(LedgerSettings settings, OwnerServiceDependencies dependencies)
    : settings_(settings)
    , dependencies_(std::move(dependencies))
    , ledger_(std::move(settings))
{ }

peer::ReserveReply OwnerService::handleReserve(const peer::ReserveRequest &request)
{
    peer::ReserveReply reply;
    const ServerId server(request.server());
    const auto fail = [&](const Error &error) {
        const auto *known = dependencies_.directory.find(server);
        const InstanceId owner = error.kind == ErrorKind::NotOwner && known != nullptr
            ? dependencies_.ownership.owner(server, known->region)
            : InstanceId{};
        *reply.mutable_failure() = toProto(error, owner);
        return reply;
    };
    const auto owned = ownedServer(server, request.chat_hash());
    if (!owned)
        return fail(owned.error());
    ReserveInput input{.holder = InstanceId(request.holder()),
                       .server = server,
                       .workspace = WorkspaceId(request.workspace()),
                       .weight = weightOf(WorkspaceId(request.workspace())),
                       .chatHash = request.chat_hash(),
                       .priority = static_cast<Priority>(std::min(2U, request.priority())),
                       .maxWait =
                           queueWait(request, dependencies_.directory.desiredState()->global),
                       .displaced = request.displaced(),
                       .mayWait = request.retry()};
    const auto now = dependencies_.now();
    auto result = ledger_.reserve(input, now);
    if (const auto *redirected = std::get_if<Redirected>(&result)) {
        const auto unusable = dependencies_.directory.refusal(
            redirected->server, request.chat_hash(), now, dependencies_.wallNow());
        if (!unusable) {
            reply.set_redirect_server(redirected->server.value());
            return reply;
        }
        input.displaced = true;
        result = ledger_.reserve(input, now);
    }
    if (const auto *refused = std::get_if<Refused>(&result)) {
        dispatchActions();
        return fail(refused->error);
    }
    if (const auto *granted = std::get_if<Granted>(&result)) {
        *reply.mutable_reservation() = toProto(granted->key);
        reply.set_cold(ledger_.cold(server));
        dispatchActions();
        return reply;
    }
    const auto key = waitInQueue(server, std::get<Queued>(result).ticket, input.maxWait);
    if (!key)
        return fail(key.error());
    *reply.mutable_reservation() = toProto(key.value());
    reply.set_cold(ledger_.cold(server));
    return reply;
}

Result<ReservationKey> OwnerService::waitInQueue(const ServerId &server, std::uint64_t ticket,
                                                 Duration maxWait)
{
    auto promise = std::make_shared<boost::fibers::promise<QueueResult>>();
    auto future = promise->get_future();
    waiting_[ticket] = promise;
    dispatchActions();
    const auto status = future.wait_for(maxWait + queueGrace);
    if (status == boost::fibers::future_status::ready)
        return future.get();
    waiting_.erase(ticket);
    ledger_.cancel(server, ticket);
    return failure(ErrorKind::Overloaded, "no place became free in time");
}

Result<const BackendServer *> OwnerService::ownedServer(const ServerId &server,
                                                        std::uint64_t chatHash)
{
    const auto *known = dependencies_.directory.find(server);
    if (known == nullptr)
        // The caller's router chose the server from its own copy of the list, which may be newer.
        return failure(ErrorKind::NoCapacity,
                       "the owner's instance list does not contain server " + server.value(),
                       listLag);
    if (!ledger_.owns(server)) {
        const auto owner = dependencies_.ownership.owner(server, known->region);
        if (owner != settings_.self) {
            return failure(ErrorKind::NotOwner,
                           "server " + server.value() + " is owned by " + owner.value());
        }
        acquire(*known);
    }
    const auto refusal = dependencies_.directory.refusal(server, chatHash, dependencies_.now(),
                                                         dependencies_.wallNow());
    if (refusal)
        return failure(*refusal, "server " + server.value() + " takes no new work");
    return known;
}

void OwnerService::dispatchActions()
{
    const auto resolve = [this](std::uint64_t ticket, QueueResult result) {
        const auto found = waiting_.find(ticket);
        if (found == waiting_.end())
            return;
        const auto promise = found->second;
        waiting_.erase(found);
        promise->set_value(std::move(result));
    };
    for (auto &action : ledger_.takeActions()) {
        if (const auto *granted = std::get_if<GrantQueued>(&action))
            resolve(granted->ticket, granted->key);
        else if (const auto *refused = std::get_if<RefuseQueued>(&action))
            resolve(
                refused->ticket,
                failure(refused->error.kind, refused->error.message, refused->error.retryAfter));
        else if (const auto *expired = std::get_if<ReservationExpired>(&action))
            event("reservation_expired", expired->server, expired->holder.value());
    }
}

peer::ReleaseReply OwnerService::handleRelease(const peer::ReleaseRequest &request)
{
    peer::ReleaseReply reply;
    const ServerId server(request.server());
    const auto now = dependencies_.now();
    if (!ledger_.owns(server)) {
        const auto *known = dependencies_.directory.find(server);
        const auto owner =
            known == nullptr ? InstanceId{} : dependencies_.ownership.owner(server, known->region);
        *reply.mutable_failure() = toProto(
            {ErrorKind::NotOwner, "this router does not own server " + server.value(), {}}, owner);
        return reply;
    }
    // Without a reservation the message only tells the home server's owner where a chat went.
    if (!request.displaced_to().empty()) {
        ledger_.recordException(server, request.chat_hash(), ServerId(request.displaced_to()), now);
    }
    if (request.has_reservation()) {
        const auto released = ledger_.release({.key = fromProto(request.reservation()),
                                               .server = server,
                                               .sample = fromProto(request.outcome()),
                                               .hasSample = request.has_outcome()},
                                              now);
        if (!released)
            *reply.mutable_failure() = toProto(released.error());
    }
    dispatchActions();
    return reply;
}

peer::InFlightReply OwnerService::handleReport(const peer::InFlightReport &report)
{
    const InstanceId holder(report.holder());
    std::vector<HeldReservation> held;
    held.reserve(static_cast<std::size_t>(report.in_flight_size()));
    for (const auto &inFlight : report.in_flight())
        held.push_back(fromProto(inFlight, holder));
    ledger_.report(holder, held, dependencies_.now());
    dispatchActions();
    return {};
}

peer::HandOffReply OwnerService::handleHandOff(const peer::HandOffRequest &request)
{
    peer::HandOffReply reply;
    for (const auto &entry : request.servers()) {
        const auto state = fromProto(entry);
        const auto *known = dependencies_.directory.find(state.server);
        const auto owner = known == nullptr
            ? InstanceId{}
            : dependencies_.ownership.owner(state.server, known->region);
        if (owner != settings_.self) {
            // The sender repeats the hand-off until the views of the two routers agree.
            *reply.mutable_failure() = toProto(
                {ErrorKind::NotOwner, "this router does not own server " + entry.server(), {}},
                owner);
            continue;
        }
        ledger_.acceptHandOff(specOf(*known), state, dependencies_.now());
        if (const auto previous = previousOwner_.find(state.server);
            previous != previousOwner_.end() && previous->second.value() == request.from())
            previousOwner_.erase(previous);
        lastOwner_[state.server] = settings_.self;
        event("hand_off_accepted", state.server, request.from());
    }
    dispatchActions();
    return reply;
}

void OwnerService::onPoolTotals(const peer::PoolTotals &totals)
{
    ledger_.setPoolTotals(totals.pool(),
                          {.inFlight = static_cast<int>(totals.in_flight()),
                           .servers = static_cast<int>(totals.servers()),
                           .limit = static_cast<int>(totals.limit()),
                           .queued = static_cast<int>(totals.queued())},
                          dependencies_.now());
    dispatchActions();
}

void OwnerService::setMinorityPartition(bool minority)
{
    ledger_.setMinorityPartition(minority, dependencies_.now());
}

std::vector<PeriodicTask> OwnerService::tasks()
{
    const auto reportInterval =
        std::chrono::duration_cast<std::chrono::milliseconds>(settings_.reportInterval);
    return {{"owner-tick", tickInterval,
             [this] {
                 closeServers();
                 ledger_.tick(dependencies_.now());
                 dispatchActions();
             }},
            {"owner-synchronise", reportInterval, [this] { synchronise(); }},
            {"owner-probes", reportInterval, [this] { probeAll(); }},
            {"owner-pool-reports", reportInterval, [this] { reportPools(); }}};
}

void OwnerService::event(std::string_view kind, const ServerId &server, std::string_view detail)
{
    if (dependencies_.event)
        dependencies_.event(kind, server, detail);
}

} // namespace jy
