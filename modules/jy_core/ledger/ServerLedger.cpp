#include "jy_core/ledger/ServerLedger.h"

#include <algorithm>
#include <utility>

namespace jy {

namespace {

// How long released keys are kept. Longer than a report or hand-off can be in transit: the calls
// time out after 2 s, and a sender that was paused repeats them for at most a few seconds.
constexpr Duration releaseRetention = std::chrono::seconds(10);

constexpr int recoveryIntervals = 2;
constexpr int recoveryDivisor = 4;
constexpr double meanDurationWeight = 0.1;

// Retry-After time until the first request has finished and gives an estimate.
constexpr std::chrono::milliseconds defaultRetryAfter{500};

ConcurrencySettings concurrencySettings(const OwnedServerSpec &spec, double lastLimit)
{
    ConcurrencySettings settings;
    settings.maximum = spec.maxConcurrency;
    if (lastLimit > 0)
        settings.initial = lastLimit;
    return settings;
}

} // namespace

ServerLedger::ServerLedger(OwnedServerSpec spec, const LedgerSettings &settings,
                           const LastKnownState &last, bool previousOwnerLive, TimePoint now)
    : spec_(std::move(spec))
    , settings_(settings)
    , limit_(concurrencySettings(spec_, last.limit))
    , ramp_(settings.coldStart)
    , queue_(settings.queueLength)
    , exceptions_(settings.exceptionCapacity)
    , recoveryBase_(last.limit)
    , previousOwnerLive_(previousOwnerLive)
    , recoveryUntil_(now + recoveryIntervals * settings.reportInterval)
{
    // If the server has restarted meanwhile, the first probe returns another start identity.
    ramp_.restore(last.cold, last.startIdentity, now);
}

void ServerLedger::setSpec(OwnedServerSpec spec)
{
    spec_ = std::move(spec);
    limit_.setMaximum(spec_.maxConcurrency);
}

int ServerLedger::effectiveLimit(const PoolBound &pool, TimePoint now) const
{
    int limit = static_cast<int>(limit_.limit());
    if (ramp_.cold())
        limit = std::min(limit, ramp_.limit());
    if (recovering(now) || pool.restricted) {
        const double base = recovering(now) ? recoveryBase_ : limit_.limit();
        limit = std::min(limit, std::max(1, static_cast<int>(base) / recoveryDivisor));
    }
    return limit;
}

ReserveResult ServerLedger::reserve(const ReserveInput &input, std::uint64_t sequence,
                                    const PoolBound &pool, TimePoint now)
{
    if (closed_)
        return Refused{*closed_};
    if (input.chatHash != 0 && !input.displaced) {
        const auto other = exceptions_.find(input.chatHash, now);
        if (other && *other != spec_.id)
            return Redirected{*other};
    }
    const int limit = effectiveLimit(pool, now);
    if (queue_.empty() && inFlight() < limit && inFlight() < pool.bound) {
        const ReservationKey key{settings_.self, settings_.incarnation, sequence};
        add(key, {.holder = input.holder, .workspace = input.workspace, .renewed = now});
        if (input.chatHash != 0)
            exceptions_.erase(input.chatHash);
        return Granted{key};
    }
    if ((pool.saturated || input.mayWait) && input.maxWait > Duration::zero())
        return enqueue(input, sequence, pool, now);
    return Refused{refusalFor(pool, now)};
}

ReserveResult ServerLedger::enqueue(const ReserveInput &input, std::uint64_t ticket,
                                    const PoolBound &pool, TimePoint now)
{
    QueueEntry entry{.ticket = ticket,
                     .workspace = input.workspace,
                     .weight = input.weight,
                     .urgency = static_cast<int>(input.priority),
                     .deadline = now + input.maxWait};
    const auto slotTime = meanDuration_ / std::max(1, effectiveLimit(pool, now));
    const auto pushed = queue_.push(std::move(entry), workspaces_, slotTime, now);
    if (!pushed)
        return Refused{pushed.error()};
    queuedHolders_[ticket] = input.holder;
    for (const auto &evicted : pushed.value())
        evictedTickets_.push_back(evicted.ticket);
    return Queued{ticket};
}

Error ServerLedger::refusalFor(const PoolBound &pool, TimePoint now) const
{
    const auto describe = [&](const char *reason, int limit) {
        return "server " + spec_.id.value() + " has " + std::to_string(inFlight())
            + " requests in flight, " + reason + ' ' + std::to_string(limit);
    };
    const int limit = effectiveLimit(pool, now);
    if (inFlight() >= pool.bound && pool.bound <= limit)
        return {ErrorKind::OverBound, describe("the bound set by its pool is", pool.bound),
                retryAfter()};
    if (ramp_.cold() || recovering(now) || pool.restricted)
        return {ErrorKind::Cold, describe("its limit after a start or change of owner is", limit),
                retryAfter()};
    return {ErrorKind::Overloaded, describe("its limit is", limit), retryAfter()};
}

std::chrono::milliseconds ServerLedger::retryAfter() const
{
    if (meanDuration_ <= Duration::zero())
        return defaultRetryAfter;
    return std::chrono::ceil<std::chrono::milliseconds>(meanDuration_);
}

void ServerLedger::add(const ReservationKey &key, Entry entry)
{
    const auto workspace = entry.workspace;
    if (entries_.emplace(key, std::move(entry)).second)
        workspaces_.start(workspace);
}

void ServerLedger::remove(const ReservationKey &key)
{
    const auto found = entries_.find(key);
    if (found == entries_.end())
        return;
    workspaces_.finish(found->second.workspace);
    entries_.erase(found);
}

void ServerLedger::release(const ReleaseInput &input, TimePoint now)
{
    const bool known = entries_.contains(input.key);
    const int before = inFlight();
    remove(input.key);
    recordRelease(input.key, now);
    if (!known || !input.hasSample)
        return;
    if (input.sample.ok) {
        meanDuration_ = meanDuration_ <= Duration::zero() ? input.sample.total
                                                          : meanDuration_
                + std::chrono::duration_cast<Duration>(meanDurationWeight
                                                       * (input.sample.total - meanDuration_));
    }
    ramp_.onSample(input.sample, now);
    limit_.onSample(input.sample, before, now);
    ramp_.endIfReached(limit_.limit());
}

void ServerLedger::recordRelease(const ReservationKey &key, TimePoint now)
{
    if (released_.insert(key).second)
        releasedOrder_.emplace_back(now, key);
}

void ServerLedger::report(const InstanceId &holder, const std::vector<HeldReservation> &held,
                          TimePoint now, LedgerActions &actions)
{
    goneSince_.erase(holder);
    std::set<ReservationKey> named;
    for (const auto &reservation : held) {
        if (released_.contains(reservation.key))
            continue;
        named.insert(reservation.key);
        const auto found = entries_.find(reservation.key);
        if (found == entries_.end()) {
            add(reservation.key,
                {.holder = holder, .workspace = reservation.workspace, .renewed = now});
        } else if (found->second.holder == holder) {
            found->second.renewed = now;
            found->second.confirmed = true;
        }
    }
    // The holder never received the grant of a reservation that it does not list. The reservation
    // is kept until it expires, because the report may have been sent before the grant arrived.
    std::erase_if(entries_, [&](const auto &item) {
        const auto &[key, entry] = item;
        if (entry.holder != holder || named.contains(key) || now - entry.renewed < settings_.expiry)
            return false;
        workspaces_.finish(entry.workspace);
        actions.emplace_back(ReservationExpired{spec_.id, key, holder});
        return true;
    });
}

void ServerLedger::holderGone(const InstanceId &holder, TimePoint now)
{
    goneSince_.try_emplace(holder, now);
}

void ServerLedger::expireReservations(TimePoint now, LedgerActions &actions)
{
    std::erase_if(entries_, [&](const auto &item) {
        const auto &[key, entry] = item;
        const bool mayExpire = !entry.confirmed || goneSince_.contains(entry.holder);
        if (!mayExpire || now - entry.renewed < settings_.expiry)
            return false;
        workspaces_.finish(entry.workspace);
        actions.emplace_back(ReservationExpired{spec_.id, key, entry.holder});
        return true;
    });
    std::erase_if(goneSince_, [&](const auto &item) {
        return now - item.second > releaseRetention
            && std::none_of(entries_.begin(), entries_.end(),
                            [&](const auto &entry) { return entry.second.holder == item.first; });
    });
    while (!releasedOrder_.empty() && now - releasedOrder_.front().first > releaseRetention) {
        released_.erase(releasedOrder_.front().second);
        releasedOrder_.pop_front();
    }
}

void ServerLedger::expire(TimePoint now, LedgerActions &actions)
{
    expireReservations(now, actions);
    for (const auto &entry : queue_.expire(now)) {
        queuedHolders_.erase(entry.ticket);
        actions.emplace_back(RefuseQueued{
            entry.ticket,
            {ErrorKind::Overloaded, "no request slot became free in time", retryAfter()}});
    }
}

void ServerLedger::grantQueued(const PoolBound &pool, std::uint64_t &nextSequence, TimePoint now,
                               LedgerActions &actions)
{
    for (const auto ticket : std::exchange(evictedTickets_, {})) {
        queuedHolders_.erase(ticket);
        actions.emplace_back(RefuseQueued{
            ticket,
            {ErrorKind::WorkspaceLimited,
             "the queue is full and the workspace is above its fair share", retryAfter()}});
    }
    while (!queue_.empty() && inFlight() < effectiveLimit(pool, now) && inFlight() < pool.bound) {
        const auto entry = queue_.pop(workspaces_);
        if (!entry)
            break;
        const ReservationKey key{settings_.self, settings_.incarnation, nextSequence++};
        const auto waiting = queuedHolders_.extract(entry->ticket);
        add(key, {.holder = waiting.mapped(), .workspace = entry->workspace, .renewed = now});
        actions.emplace_back(GrantQueued{entry->ticket, key});
    }
}

bool ServerLedger::cancel(std::uint64_t ticket)
{
    queuedHolders_.erase(ticket);
    return queue_.cancel(ticket);
}

void ServerLedger::drainQueue(const Error &reason, LedgerActions &actions)
{
    for (const auto &entry : queue_.drain())
        actions.emplace_back(RefuseQueued{entry.ticket, reason});
    for (const auto ticket : std::exchange(evictedTickets_, {}))
        actions.emplace_back(RefuseQueued{ticket, reason});
    queuedHolders_.clear();
}

void ServerLedger::setClosed(std::optional<Error> reason, LedgerActions &actions)
{
    closed_ = std::move(reason);
    if (closed_)
        drainQueue(*closed_, actions);
}

void ServerLedger::setStartIdentity(const std::string &identity, TimePoint now)
{
    if (!ramp_.startIdentity().empty() && identity != ramp_.startIdentity())
        limit_.resetBaselines();
    ramp_.onStartIdentity(identity, now);
}

void ServerLedger::enterRecovery(TimePoint now)
{
    if (!recovering(now))
        recoveryBase_ = limit_.limit();
    recoveryUntil_ = now + recoveryIntervals * settings_.reportInterval;
}

void ServerLedger::previousOwnerGone(TimePoint now)
{
    if (!std::exchange(previousOwnerLive_, false))
        return;
    recoveryUntil_ = std::max(recoveryUntil_, now + recoveryIntervals * settings_.reportInterval);
}

HandOffState ServerLedger::handOff(TimePoint now) const
{
    HandOffState state{.server = spec_.id,
                       .limit = recovering(now) ? 0 : limit_.limit(),
                       .cold = ramp_.cold(),
                       .startIdentity = ramp_.startIdentity(),
                       .baselineFirstTokenMs = limit_.baselineMs(),
                       .exceptions = exceptions_.items()};
    for (const auto &[key, entry] : entries_)
        state.inFlight.push_back({key, spec_.id, entry.workspace, entry.holder});
    return state;
}

LastKnownState ServerLedger::lastKnown() const
{
    return {.limit = limit_.limit(), .cold = ramp_.cold(), .startIdentity = ramp_.startIdentity()};
}

void ServerLedger::acceptHandOff(const HandOffState &state, TimePoint now)
{
    for (const auto &held : state.inFlight) {
        if (!released_.contains(held.key)) {
            add(held.key,
                {.holder = held.holder,
                 .workspace = held.workspace,
                 .renewed = now,
                 .confirmed = false});
        }
    }
    for (const auto &item : state.exceptions)
        exceptions_.record(item.chatHash, item.server, now);
    if (!recovering(now))
        return; // a late or repeated hand-off must not overwrite newer limits
    if (state.limit <= 0) {
        previousOwnerGone(now);
        return;
    }
    previousOwnerLive_ = false;
    recoveryUntil_ = now;
    limit_.setLimit(state.limit);
    limit_.setBaselineMs(state.baselineFirstTokenMs);
    const bool restarted =
        !ramp_.startIdentity().empty() && ramp_.startIdentity() != state.startIdentity;
    if (!restarted)
        ramp_.restore(state.cold, state.startIdentity, now);
}

std::size_t ServerLedger::memoryBytes() const
{
    constexpr std::size_t treeNode = 4 * sizeof(void *);
    return sizeof(*this) + exceptions_.memoryBytes()
        + entries_.size() * (treeNode + sizeof(ReservationKey) + sizeof(Entry))
        + released_.size() * (treeNode + 2 * sizeof(ReservationKey) + sizeof(TimePoint))
        + workspaces_.workspaces() * (treeNode + sizeof(WorkspaceId) + sizeof(int));
}

} // namespace jy
