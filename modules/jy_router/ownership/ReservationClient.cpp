#include "jy_router/ownership/ReservationClient.h"

#include "jy_router/ownership/PeerConversion.h"

#include <algorithm>

namespace jy {

namespace {

// Owners learn from an empty report that a reply was lost, so reports continue after the last
// reservation until the owner's expiry time is over.
constexpr std::chrono::seconds reportAfterContact{10};

// A reservation that is neither released nor reported expires at its owner, so a release need not
// be repeated for long.
constexpr int releaseAttempts = 3;
constexpr std::chrono::milliseconds releaseRetryInterval{200};

constexpr std::chrono::milliseconds reportInterval{1000};

// A decision by the owner takes well under a millisecond; what exceeds this is a failure.
constexpr std::chrono::milliseconds reserveTimeout{500};

constexpr std::chrono::milliseconds noWait{0};
constexpr std::chrono::milliseconds untilDeadline{UINT32_MAX};

// How long a router that does not own a server avoids it after its owner called it down.
constexpr std::chrono::seconds downHold{3};

} // namespace

ReservationClient::ReservationClient(InstanceId self, std::uint64_t incarnation,
                                     ReservationClientDependencies dependencies)
    : self_(std::move(self))
    , incarnation_(incarnation)
    , dependencies_(std::move(dependencies))
{ }

InstanceId ReservationClient::ownerOf(const ServerId &server) const
{
    const auto *known = dependencies_.directory.find(server);
    return known == nullptr ? InstanceId{} : dependencies_.ownership.owner(server, known->region);
}

bool ReservationClient::live(const InstanceId &router) const
{
    const auto &routers = dependencies_.ownership.liveRouters();
    return std::any_of(routers.begin(), routers.end(),
                       [&](const auto &entry) { return entry.id == router; });
}

Result<Placed> ReservationClient::place(const PlaceRequest &request)
{
    Error last{ErrorKind::NoCapacity, "no candidate servers", {}};
    for (std::size_t i = 0; i < request.candidates.size(); ++i) {
        if (dependencies_.now() >= request.deadline)
            return failure(ErrorKind::DeadlineExceeded, "no server admitted the request in time");
        auto placed = tryServer(request, request.candidates[i],
                                {.displaced = i > 0, .wait = i == 0 ? request.homeWait : noWait});
        if (placed)
            return placed;
        last = placed.error();
    }
    const bool capacity = last.kind == ErrorKind::OverBound || last.kind == ErrorKind::Cold
        || last.kind == ErrorKind::Overloaded;
    if (capacity) {
        auto placed = tryServer(request, request.candidates.front(),
                                {.displaced = true, .wait = untilDeadline});
        if (placed)
            return placed;
        last = placed.error();
    }
    return failure(last.kind, last.message, last.retryAfter);
}

Result<Placed> ReservationClient::tryServer(const PlaceRequest &request, const ServerId &server,
                                            Attempt attempt)
{
    const auto &home = request.candidates.front();
    const auto placedAt = [&](const Outcome &granted, const ServerId &chosen, bool moved) {
        const auto &key = granted.key;
        held_[key] = {chosen, request.workspace};
        return Placed{key, chosen, home, request.workspace, request.chatHash, moved, granted.cold};
    };
    auto outcome = reserve(request, server, attempt);
    if (outcome && !outcome.value().redirect.empty()) {
        const ServerId other = outcome.value().redirect;
        const auto redirected = reserve(request, other, {.displaced = true});
        if (redirected)
            return placedAt(redirected.value(), other, false);
        outcome = reserve(request, server, {.displaced = true, .wait = attempt.wait});
    }
    if (!outcome)
        return failure(outcome.error().kind, outcome.error().message, outcome.error().retryAfter);
    return placedAt(outcome.value(), server, server != home);
}

peer::ReserveRequest ReservationClient::message(const PlaceRequest &request,
                                                const ServerId &server) const
{
    peer::ReserveRequest message;
    message.set_holder(self_.value());
    message.set_holder_incarnation(incarnation_);
    message.set_server(server.value());
    message.set_workspace(request.workspace.value());
    message.set_chat_hash(request.chatHash);
    message.set_priority(static_cast<std::uint32_t>(request.priority));
    const auto left = std::chrono::duration_cast<std::chrono::milliseconds>(request.deadline
                                                                            - dependencies_.now());
    message.set_deadline_ms(
        static_cast<std::uint32_t>(std::clamp<std::int64_t>(left.count(), 0, UINT32_MAX)));
    message.set_request_id(request.requestId);
    message.set_route(request.route);
    return message;
}

Result<ReservationClient::Outcome>
ReservationClient::reserve(const PlaceRequest &request, const ServerId &server, Attempt attempt)
{
    auto wanted = message(request, server);
    wanted.set_displaced(attempt.displaced);
    if (attempt.wait > noWait) {
        wanted.set_retry(true);
        wanted.set_deadline_ms(
            std::min(wanted.deadline_ms(), static_cast<std::uint32_t>(attempt.wait.count())));
    }
    const auto owner = ownerOf(server);
    if (owner.empty())
        return failure(ErrorKind::PeerUnreachable, "server " + server.value() + " has no owner");
    auto outcome = reserveAt(owner, wanted);
    if (!outcome && outcome.error().kind == ErrorKind::ConnectFailed && owner != self_) {
        dependencies_.directory.setHealth(server, ServerHealth::Down, dependencies_.now(),
                                          downHold);
    }
    return outcome;
}

Result<ReservationClient::Outcome> ReservationClient::reserveAt(const InstanceId &owner,
                                                                const peer::ReserveRequest &request)
{
    InstanceId target = owner;
    // The second attempt goes to the owner that the first one named.
    for (int attempt = 0;; ++attempt) {
        peer::ReserveReply reply;
        if (target == self_) {
            reply = dependencies_.owner.handleReserve(request);
        } else {
            contacted_[target] = dependencies_.now();
            const auto wait = std::min<std::chrono::milliseconds>(
                std::chrono::milliseconds(request.deadline_ms()),
                dependencies_.directory.desiredState()->global.queueTimeout);
            auto answer = dependencies_.reserve(target, request, reserveTimeout + wait);
            if (!answer)
                return failure(ErrorKind::PeerUnreachable, answer.error().message);
            reply = std::move(answer.value());
        }
        if (!reply.has_failure())
            return Outcome{fromProto(reply.reservation()), ServerId(reply.redirect_server()),
                           reply.cold()};
        const auto error = fromProto(reply.failure());
        const InstanceId named(reply.failure().owner());
        if (attempt > 0 || error.kind != ErrorKind::NotOwner || named.empty() || named == target)
            return failure(error.kind, error.message, error.retryAfter);
        target = named;
    }
}

void ReservationClient::release(const Placed &placed, const RequestSample *sample,
                                const std::string &route, const std::string &version)
{
    held_.erase(placed.key);
    peer::ReleaseRequest request;
    *request.mutable_reservation() = toProto(placed.key);
    request.set_server(placed.server.value());
    if (sample != nullptr)
        *request.mutable_outcome() = toProto(*sample);
    request.set_route(route);
    request.set_version(version);
    request.set_workspace(placed.workspace.value());
    request.set_chat_hash(placed.chatHash);
    // The router that granted the place still counts it, even when the view here names another.
    sendRelease(live(placed.key.owner) ? placed.key.owner : ownerOf(placed.server), request);
    if (!placed.displaced || placed.chatHash == 0 || sample == nullptr || !sample->ok)
        return;
    peer::ReleaseRequest exception;
    exception.set_server(placed.home.value());
    exception.set_chat_hash(placed.chatHash);
    exception.set_displaced_to(placed.server.value());
    sendRelease(ownerOf(placed.home), exception);
}

void ReservationClient::sendRelease(InstanceId owner, const peer::ReleaseRequest &request)
{
    if (owner == self_) {
        const auto reply = dependencies_.owner.handleRelease(request);
        if (!reply.has_failure() || reply.failure().owner() == self_.value())
            return;
        owner = InstanceId(reply.failure().owner());
    }
    fibers_.spawn([this, owner, request] {
        InstanceId target = owner;
        for (int attempt = 0; attempt < releaseAttempts && !target.empty(); ++attempt) {
            const auto reply = target == self_
                ? Result<peer::ReleaseReply>(dependencies_.owner.handleRelease(request))
                : dependencies_.release(target, request);
            if (reply && !reply.value().has_failure())
                return;
            if (reply && !reply.value().failure().owner().empty()
                && reply.value().failure().owner() != target.value()) {
                target = InstanceId(reply.value().failure().owner());
                continue;
            }
            if (!fibers_.sleepFor(releaseRetryInterval))
                return;
        }
    });
}

std::vector<PeriodicTask> ReservationClient::tasks()
{
    return {{"in-flight-report", reportInterval, [this] { report(); }}};
}

void ReservationClient::report()
{
    const auto now = dependencies_.now();
    std::erase_if(contacted_,
                  [&](const auto &item) { return now - item.second > reportAfterContact; });
    std::map<InstanceId, peer::InFlightReport> reports;
    reports[self_];
    for (const auto &[owner, time] : contacted_)
        reports[owner];
    for (const auto &[key, held] : held_) {
        const auto entry = toProto(HeldReservation{key, held.server, held.workspace, self_});
        // While views differ, the granting router and the owner of this view both need to know.
        const auto owner = ownerOf(held.server);
        if (!owner.empty())
            *reports[owner].add_in_flight() = entry;
        if (key.owner != owner)
            *reports[key.owner].add_in_flight() = entry;
    }
    for (auto &[owner, report] : reports) {
        report.set_holder(self_.value());
        report.set_holder_incarnation(incarnation_);
        if (owner == self_) {
            dependencies_.owner.handleReport(report);
        } else if (live(owner)) {
            fibers_.spawn([this, owner = owner, report = std::move(report)] {
                // A lost report is made good by the next one.
                (void)dependencies_.reportInFlight(owner, report);
            });
        }
    }
}

} // namespace jy
