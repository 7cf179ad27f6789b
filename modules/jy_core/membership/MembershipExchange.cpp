// The part of class Membership that sends probes and handles datagrams.
#include "jy_core/membership/DatagramSize.h"
#include "jy_core/membership/Membership.h"

#include <algorithm>

namespace jy {

namespace {

using namespace std::chrono_literals;

/** Shortest time between two StopMarksDiffer actions. */
constexpr auto stopMarkReportInterval = 100ms;

/** Limits the probes in progress on behalf of other routers. */
constexpr std::size_t maxRelays = 256;

/** Digests may differ for this long after an ordinary change, until gossip has spread it. */
constexpr auto mismatchTolerance = 3s;

/** Mismatches further apart than this are treated as separate ones. */
constexpr auto mismatchGap = 5s;

/** Limits a synchronisation to 12 KB/s at 1.2 KB per page. */
constexpr auto pageInterval = 100ms;

constexpr auto pageTimeout = 500ms;
constexpr int maxPageAttempts = 3;
constexpr auto syncInterval = 5s;

bool supersedes(const MemberInfo &known, const MemberInfo &claim)
{
    return known.incarnation > claim.incarnation
        || (known.incarnation == claim.incarnation && !isReachable(known.state));
}

} // namespace

void Membership::continueProbe(TimePoint now)
{
    if (probe_ && !probe_->indirect && now - probe_->started >= settings_.probeTimeout) {
        probe_->indirect = true;
        const auto *target = table_.find(probe_->target);
        if (target != nullptr) {
            const PingRequest request{probe_->sequence, target->info.gossip, probe_->target};
            for (const auto &peer : pickPeers(settings_.indirectPeers, probe_->target)) {
                probe_->relays.insert(peer.id);
                send(peer.gossip, request, peer.id);
            }
        }
    }
    if (now < nextProbe_)
        return;
    nextProbe_ = now + settings_.probePeriod;
    if (probe_)
        failProbe(now);
    table_.removeExpired(now, settings_.deadRetention, settings_.leftRetention);
    startProbe(now);
}

void Membership::startProbe(TimePoint now)
{
    probe_.reset();
    const auto target = nextProbeTarget();
    if (!target)
        return;
    probe_ = Probe{.target = target->id, .sequence = ++sequence_, .started = now};
    send(target->gossip, Ping{sequence_}, target->id);
}

std::optional<MemberInfo> Membership::nextProbeTarget()
{
    const auto isTarget = [this](const MemberTable::Record &record) {
        return record.info.id != selfId_ && isReachable(record.info.state);
    };
    for (int round = 0; round < 2; ++round) {
        while (!probeOrder_.empty()) {
            const auto *record = table_.find(probeOrder_.back());
            probeOrder_.pop_back();
            if (record != nullptr && isTarget(*record))
                return record->info;
        }
        for (const auto &[id, record] : table_.records()) {
            if (isTarget(record))
                probeOrder_.push_back(id);
        }
        for (std::size_t i = probeOrder_.size(); i > 1; --i)
            std::swap(probeOrder_[i - 1], probeOrder_[random_() % i]);
    }
    return std::nullopt;
}

void Membership::failProbe(TimePoint now)
{
    const auto target = probe_->target;
    probe_.reset();
    const auto *record = table_.find(target);
    if (record == nullptr)
        return;
    if (record->info.state == MemberState::Leaving) {
        changeState(target, MemberState::Left, now);
    } else if (record->info.state == MemberState::Alive) {
        changeState(target, MemberState::Suspect, now);
        send(table_.find(target)->info.gossip, Ping{++sequence_}, target);
    }
}

void Membership::expireSuspicions(TimePoint now)
{
    std::vector<InstanceId> expired;
    for (const auto &[id, deadline] : suspicionDeadlines_) {
        if (now >= deadline)
            expired.push_back(id);
    }
    for (const auto &id : expired) {
        suspicionDeadlines_.erase(id);
        const auto *record = table_.find(id);
        if (record != nullptr && record->info.state == MemberState::Suspect)
            changeState(id, MemberState::Dead, now);
    }
}

void Membership::reconnect(TimePoint now)
{
    if (now < nextReconnect_)
        return;
    nextReconnect_ = now + settings_.reconnectPeriod;
    std::vector<const MemberInfo *> dead;
    for (const auto &[id, record] : table_.records()) {
        if (record.info.state == MemberState::Dead)
            dead.push_back(&record.info);
    }
    if (dead.empty())
        return;
    const auto *target = dead[random_() % dead.size()];
    send(target->gossip, Ping{++sequence_}, target->id);
}

void Membership::pingSeeds(TimePoint now)
{
    if (now < nextSeeds_)
        return;
    std::set<Endpoint> known;
    for (const auto &[id, record] : table_.records()) {
        if (isReachable(record.info.state))
            known.insert(record.info.gossip);
    }
    if (known.size() > 1)
        nextSeeds_ = now + settings_.probePeriod;
    const auto isKnown = [&known](const Endpoint &endpoint) { return known.contains(endpoint); };
    for (const auto &endpoint : seeds_.due(now, settings_.seedsPerTick, isKnown))
        send(endpoint, Ping{++sequence_});
}

MembershipActions Membership::receive(const Datagram &datagram, const Endpoint &from, TimePoint now)
{
    detectPause(now);
    const auto &piggyback = datagram.piggyback;
    const auto &sender = piggyback.sender;
    if (hasLeft() || sender.id == selfId_ || sender.id.empty() || lacksEndpoints(sender))
        return takeActions(now);
    mergeRecord(sender, now);
    for (const auto &update : piggyback.updates)
        mergeRecord(update, now);
    const auto *record = table_.find(sender.id);
    if (record != nullptr && record->info.incarnation > sender.incarnation)
        outdatedSender_ = sender.id;
    if (piggyback.headRevision > headRevision_) {
        headRevision_ = piggyback.headRevision;
        actions_.emplace_back(HeadRevisionSeen{headRevision_, sender});
    }
    if (piggyback.stopMarks != stopMarks_ && now >= nextStopMarkReport_) {
        nextStopMarkReport_ = now + stopMarkReportInterval;
        actions_.emplace_back(StopMarksDiffer{sender});
    }
    if (std::holds_alternative<SyncPage>(datagram.body))
        sendCorrections(datagram, from);
    std::visit([&](const auto &body) { handle(body, sender, from, now); }, datagram.body);
    compareDigest(datagram, from, now);
    return takeActions(now);
}

void Membership::handle(const Announce &, const MemberInfo &sender, const Endpoint &from, TimePoint)
{
    const auto *record = table_.find(sender.id);
    if (record != nullptr && supersedes(record->info, sender) && sender.state != MemberState::Left)
        send(from, Ping{++sequence_}, sender.id);
}

void Membership::handle(const Ping &body, const MemberInfo &sender, const Endpoint &from, TimePoint)
{
    send(from, Ack{body.sequence}, sender.id);
}

void Membership::handle(const Ack &body, const MemberInfo &sender, const Endpoint &, TimePoint)
{
    // The sender's id must match, because a replacement may reply at the target's address.
    if (probe_ && probe_->sequence == body.sequence
        && (probe_->target == sender.id || probe_->relays.contains(sender.id))) {
        probe_.reset();
    }
    const auto relay = relays_.find(body.sequence);
    if (relay != relays_.end() && relay->second.target == sender.id) {
        const auto answered = relay->second;
        relays_.erase(relay);
        send(answered.requester, Ack{answered.sequence});
    }
}

void Membership::handle(const PingRequest &body, const MemberInfo &, const Endpoint &from,
                        TimePoint now)
{
    if (relays_.size() >= maxRelays)
        return;
    relays_[++sequence_] = Relay{from, body.sequence, body.targetId, now + settings_.probePeriod};
    send(body.target, Ping{sequence_}, body.targetId);
}

void Membership::handle(const SyncRequest &body, const MemberInfo &, const Endpoint &from,
                        TimePoint)
{
    auto datagram = compose(SyncPage{body.after, selfId_});
    auto &updates = datagram.piggyback.updates;
    // The last id of the page is not known yet, so reserve space for the longest one.
    constexpr std::size_t maxIdBytes = 64;
    auto used = encodedSizeBound(datagram) + maxIdBytes + sealBytes;
    bool complete = true;
    const auto &records = table_.records();
    for (auto item = records.upper_bound(body.after); item != records.end(); ++item) {
        const auto &member = item->second.info;
        if (!isReachable(member.state) || member.id == selfId_)
            continue;
        used += encodedSizeBound(member);
        if (used > maxDatagramBytes) {
            complete = false;
            break;
        }
        updates.push_back(member);
    }
    std::get<SyncPage>(datagram.body).next =
        complete || updates.empty() ? InstanceId{} : updates.back().id;
    actions_.emplace_back(SendDatagram{from, std::move(datagram)});
}

void Membership::handle(const SyncPage &body, const MemberInfo &sender, const Endpoint &,
                        TimePoint now)
{
    if (!sync_ || sync_->peer != sender.id || sync_->after != body.after)
        return;
    if (body.next.empty()) {
        sync_.reset();
        nextSync_ = now + syncInterval;
        return;
    }
    sync_->after = body.next;
    sync_->attempts = 0;
    sync_->requested = {};
    continueSync(now);
}

void Membership::sendCorrections(const Datagram &page, const Endpoint &to)
{
    auto datagram = compose(Announce{});
    auto &updates = datagram.piggyback.updates;
    auto used = encodedSizeBound(datagram) + sealBytes;
    std::vector<MemberInfo> dead;
    for (const auto &claim : page.piggyback.updates) {
        const auto *record = table_.find(claim.id);
        if (record == nullptr || claim.id == selfId_ || !supersedes(record->info, claim))
            continue;
        auto update = record->info;
        if (!isReachable(update.state)) {
            dead.push_back(update);
            // Send only a suspicion, because after a partition this router may be the one in error.
            update = withoutEndpoints(update);
            if (update.state == MemberState::Dead)
                update.state = MemberState::Suspect;
        }
        used += encodedSizeBound(update);
        if (used > maxDatagramBytes)
            break;
        updates.push_back(std::move(update));
    }
    if (!updates.empty())
        actions_.emplace_back(SendDatagram{to, std::move(datagram)});
    for (const auto &member : dead)
        send(member.gossip, Ping{++sequence_}, member.id);
}

void Membership::compareDigest(const Datagram &datagram, const Endpoint &from, TimePoint now)
{
    if (datagram.piggyback.tableDigest == table_.digest())
        return;
    // A matching digest of another router does not end the mismatch, because both may lack the same
    // record.
    if (now - lastMismatch_ > mismatchGap)
        mismatchSince_ = now;
    lastMismatch_ = now;
    // A joining router knows at most one peer and needs the other records at once.
    const bool joining = table_.records().size() <= 2;
    if (sync_ || now < nextSync_ || (!joining && now - mismatchSince_ < mismatchTolerance))
        return;
    const auto *record = table_.find(datagram.piggyback.sender.id);
    if (record == nullptr || !isReachable(record->info.state))
        return;
    sync_ = Sync{.peer = record->info.id, .endpoint = from};
    continueSync(now);
}

void Membership::continueSync(TimePoint now)
{
    if (!sync_)
        return;
    const bool waiting = sync_->attempts > 0 && now - sync_->requested < pageTimeout;
    if (waiting || now < nextPage_)
        return;
    if (sync_->attempts >= maxPageAttempts) {
        sync_.reset();
        return;
    }
    requestPage(now);
}

void Membership::requestPage(TimePoint now)
{
    ++sync_->attempts;
    sync_->requested = now;
    nextPage_ = now + pageInterval;
    send(sync_->endpoint, SyncRequest{sync_->after}, sync_->peer);
}

} // namespace jy
