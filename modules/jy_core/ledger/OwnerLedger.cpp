#include "jy_core/ledger/OwnerLedger.h"

#include <algorithm>
#include <cmath>
#include <utility>

namespace jy {

namespace {

// Share of a pool's limit from which it counts as saturated. Below 1 because the pool totals are up
// to two report intervals old.
constexpr double saturatedShare = 0.9;

Error notOwner(const ServerId &server)
{
    return {ErrorKind::NotOwner, "this router does not own server " + server.value(), {}};
}

} // namespace

OwnerLedger::OwnerLedger(LedgerSettings settings)
    : settings_(std::move(settings))
{ }

void OwnerLedger::acquire(const OwnedServerSpec &spec, bool previousOwnerLive, TimePoint now)
{
    detectPause(now);
    if (auto *ledger = ledgerOf(spec.id)) {
        ledger->setSpec(spec);
        pools_.try_emplace(spec.pool);
        return;
    }
    LastKnownState last;
    if (const auto known = lastKnown_.find(spec.id); known != lastKnown_.end())
        last = known->second;
    servers_.try_emplace(spec.id, spec, settings_, last, previousOwnerLive, now);
    refreshPools(now);
}

void OwnerLedger::acceptHandOff(const OwnedServerSpec &spec, const HandOffState &state,
                                TimePoint now)
{
    detectPause(now);
    acquire(spec, false, now);
    auto &ledger = servers_.at(spec.id);
    ledger.acceptHandOff(state, now);
    refreshPools(now);
    applyAndGrant(ledger, now, [] {});
}

std::optional<HandOffState> OwnerLedger::handOff(const ServerId &server, TimePoint now)
{
    detectPause(now);
    auto *ledger = ledgerOf(server);
    if (ledger == nullptr)
        return std::nullopt;
    ledger->drainQueue(notOwner(server), actions_);
    auto state = ledger->handOff(now);
    lastKnown_[server] = ledger->lastKnown();
    servers_.erase(server);
    refreshPools(now);
    return state;
}

void OwnerLedger::remove(const ServerId &server, TimePoint now)
{
    handOff(server, now);
    lastKnown_.erase(server);
    forgetExceptionsTo(server);
}

ReserveResult OwnerLedger::reserve(const ReserveInput &input, TimePoint now)
{
    detectPause(now);
    auto *ledger = ledgerOf(input.server);
    if (ledger == nullptr)
        return Refused{notOwner(input.server)};
    ReserveResult result;
    applyAndGrant(*ledger, now, [&] {
        result = ledger->reserve(input, nextSequence_++, boundFor(*ledger), now);
    });
    return result;
}

Result<void> OwnerLedger::release(const ReleaseInput &input, TimePoint now)
{
    detectPause(now);
    auto *ledger = ledgerOf(input.server);
    if (ledger == nullptr)
        return failure(ErrorKind::NotOwner, notOwner(input.server).message);
    applyAndGrant(*ledger, now, [&] { ledger->release(input, now); });
    return success();
}

std::vector<ServerId> OwnerLedger::report(const InstanceId &holder,
                                          const std::vector<HeldReservation> &held, TimePoint now)
{
    detectPause(now);
    std::map<ServerId, std::vector<HeldReservation>> byServer;
    for (const auto &reservation : held)
        byServer[reservation.server].push_back(reservation);
    for (auto &[id, ledger] : servers_) {
        applyAndGrant(ledger, now, [&, &ledger = ledger, &held = byServer[id]] {
            ledger.report(holder, held, now, actions_);
        });
    }
    std::vector<ServerId> unknown;
    for (const auto &[id, reservations] : byServer) {
        if (!owns(id))
            unknown.push_back(id);
    }
    return unknown;
}

void OwnerLedger::holderGone(const InstanceId &holder, TimePoint now)
{
    detectPause(now);
    for (auto &[id, ledger] : servers_)
        ledger.holderGone(holder, now);
}

void OwnerLedger::previousOwnerGone(const ServerId &server, TimePoint now)
{
    detectPause(now);
    if (auto *ledger = ledgerOf(server))
        ledger->previousOwnerGone(now);
}

void OwnerLedger::cancel(const ServerId &server, std::uint64_t ticket)
{
    if (auto *ledger = ledgerOf(server))
        ledger->cancel(ticket);
}

void OwnerLedger::recordException(const ServerId &home, std::uint64_t chatHash,
                                  const ServerId &server, TimePoint now)
{
    if (auto *ledger = ledgerOf(home); ledger != nullptr && chatHash != 0 && server != home)
        ledger->exceptions().record(chatHash, server, now);
}

void OwnerLedger::forgetExceptionsTo(const ServerId &server)
{
    for (auto &[id, ledger] : servers_)
        ledger.exceptions().forgetServer(server);
}

void OwnerLedger::setClosed(const ServerId &server, std::optional<Error> reason, TimePoint now)
{
    detectPause(now);
    if (auto *ledger = ledgerOf(server))
        ledger->setClosed(std::move(reason), actions_);
}

void OwnerLedger::setStartIdentity(const ServerId &server, const std::string &identity,
                                   TimePoint now)
{
    detectPause(now);
    if (auto *ledger = ledgerOf(server))
        ledger->setStartIdentity(identity, now);
}

void OwnerLedger::setMinorityPartition(bool minority, TimePoint now)
{
    detectPause(now);
    // A router in the majority may have acted as the owner meanwhile. Recovery gives holders time
    // to report again.
    if (std::exchange(minority_, minority) && !minority) {
        for (auto &[id, ledger] : servers_)
            ledger.enterRecovery(now);
    }
}

void OwnerLedger::refreshPools(TimePoint now)
{
    for (auto &[name, pool] : pools_)
        pool.own = {};
    const PoolBound unbounded{.restricted = minority_};
    for (const auto &[id, ledger] : servers_) {
        auto &load = pools_[ledger.spec().pool].own;
        load.inFlight += ledger.inFlight();
        load.queued += ledger.queued();
        if (ledger.closed())
            continue;
        load.servers += 1;
        load.limit += ledger.effectiveLimit(unbounded, now);
    }
}

std::map<std::string, PoolLoad> OwnerLedger::poolReports(TimePoint now)
{
    detectPause(now);
    refreshPools(now);
    std::map<std::string, PoolLoad> reports;
    for (const auto &[id, ledger] : servers_) {
        auto &pool = pools_[ledger.spec().pool];
        pool.lastReport = pool.own.inFlight;
        reports[ledger.spec().pool] = pool.own;
    }
    std::erase_if(pools_, [&](const auto &item) { return !reports.contains(item.first); });
    return reports;
}

void OwnerLedger::setPoolTotals(const std::string &name, const PoolLoad &totals, TimePoint now)
{
    detectPause(now);
    auto &pool = pools_[name];
    pool.totals = totals;
    pool.reportedInFlight = pool.lastReport;
    for (auto &[id, ledger] : servers_) {
        if (ledger.spec().pool == name)
            applyAndGrant(ledger, now, [] {});
    }
}

PoolBound OwnerLedger::boundFor(const ServerLedger &ledger) const
{
    const auto &spec = ledger.spec();
    const auto &pool = pools_.at(spec.pool);
    PoolLoad load = pool.own;
    // Without totals the free capacity at other owners is unknown; the pool is not treated as
    // saturated.
    const bool known = pool.totals.has_value();
    if (known) {
        load.inFlight += std::max(0, pool.totals->inFlight - pool.reportedInFlight);
        load.servers = std::max(load.servers, pool.totals->servers);
        load.limit = std::max(load.limit, pool.totals->limit);
    }
    const double mean = static_cast<double>(load.inFlight + 1) / std::max(1, load.servers);
    const int bound = static_cast<int>(std::ceil(spec.loadMultiple * mean));
    return {.bound = std::max(spec.loadFloor, bound),
            .saturated = known && load.inFlight >= saturatedShare * load.limit,
            .restricted = minority_};
}

void OwnerLedger::applyAndGrant(ServerLedger &ledger, TimePoint now,
                                const std::function<void()> &body)
{
    const int before = ledger.inFlight();
    body();
    auto &pool = pools_.at(ledger.spec().pool);
    const int changed = ledger.inFlight();
    pool.own.inFlight += changed - before;
    ledger.grantQueued(boundFor(ledger), nextSequence_, now, actions_);
    pool.own.inFlight += ledger.inFlight() - changed;
}

void OwnerLedger::tick(TimePoint now)
{
    detectPause(now);
    for (auto &[id, ledger] : servers_)
        ledger.expire(now, actions_);
    refreshPools(now);
    for (auto &[id, ledger] : servers_)
        applyAndGrant(ledger, now, [] {});
}

void OwnerLedger::detectPause(TimePoint now)
{
    const bool paused = lastStep_ != TimePoint{} && now - lastStep_ > settings_.pauseThreshold;
    lastStep_ = std::max(lastStep_, now);
    if (!paused)
        return;
    for (auto &[id, ledger] : servers_)
        ledger.enterRecovery(now);
}

LedgerActions OwnerLedger::takeActions()
{
    return std::exchange(actions_, {});
}

std::vector<ServerId> OwnerLedger::owned() const
{
    std::vector<ServerId> result;
    result.reserve(servers_.size());
    for (const auto &[id, ledger] : servers_)
        result.push_back(id);
    return result;
}

bool OwnerLedger::cold(const ServerId &server) const
{
    const auto found = servers_.find(server);
    return found != servers_.end() && found->second.cold();
}

std::vector<OwnedServerView> OwnerLedger::views(TimePoint now) const
{
    std::vector<OwnedServerView> result;
    result.reserve(servers_.size());
    for (const auto &[id, ledger] : servers_) {
        const auto bound = boundFor(ledger);
        result.push_back({.server = id,
                          .inFlight = ledger.inFlight(),
                          .queued = ledger.queued(),
                          .limit = ledger.effectiveLimit(bound, now),
                          .bound = bound.bound,
                          .cold = ledger.cold(),
                          .recovering = ledger.recovering(now),
                          .closed = ledger.closed()});
    }
    return result;
}

ServerLedger *OwnerLedger::ledgerOf(const ServerId &server)
{
    const auto found = servers_.find(server);
    return found == servers_.end() ? nullptr : &found->second;
}

std::size_t OwnerLedger::memoryBytes() const
{
    std::size_t bytes = sizeof(*this);
    for (const auto &[id, ledger] : servers_)
        bytes += ledger.memoryBytes();
    return bytes;
}

} // namespace jy
