#include "jy_core/membership/Membership.h"

#include "jy_core/membership/DatagramSize.h"

#include <algorithm>
#include <bit>

namespace jy {

namespace {

using namespace std::chrono_literals;

/** Limits announcements during a burst of changes to 3 peers * 5/s * 1.2 KB = 18 KB/s. */
constexpr auto announceInterval = 200ms;

/** A full record must leave room for at least three more in a datagram. */
constexpr std::size_t maxRecordBytes = 256;

/** Longest id; reserved for the last id of a page in Membership::handle(const SyncRequest &). */
constexpr std::size_t maxIdBytes = 64;

/** A change of state is sent this many times log2 of the number of routers. */
constexpr std::size_t retransmitMultiplier = 3;

} // namespace

Result<Membership> Membership::create(MembershipSettings settings, MemberInfo self,
                                      std::uint64_t seed)
{
    if (self.id.empty() || self.gossip.address.empty() || self.gossip.port == 0)
        return failure(ErrorKind::SettingsInvalid, "a router needs an id and a gossip endpoint");
    if (self.id.value().size() > maxIdBytes || encodedSizeBound(self) > maxRecordBytes) {
        return failure(ErrorKind::SettingsInvalid,
                       "the id, domain, region and addresses of router " + self.id.value()
                           + " are too long for a datagram");
    }
    for (const auto *text : {&self.id.value(), &self.domain.value(), &self.region.value()}) {
        if (std::any_of(text->begin(), text->end(), [](char c) { return c < ' ' || c > '~'; })) {
            return failure(ErrorKind::SettingsInvalid,
                           "the id, domain and region of a router must be printable ASCII");
        }
    }
    self.state = MemberState::Alive;
    return Membership(std::move(settings), self, seed);
}

Membership::Membership(MembershipSettings settings, const MemberInfo &self, std::uint64_t seed)
    : settings_(std::move(settings))
    , selfId_(self.id)
    , random_(seed)
    , seeds_(settings_.seeds)
    , sequence_(random_())
{
    table_.put(self, TimePoint{});
    queue_.add(selfId_, UpdateQueue::Kind::State, true);
}

MembershipActions Membership::tick(TimePoint now)
{
    detectPause(now);
    if (hasLeft())
        return takeActions(now);
    continueProbe(now);
    expireSuspicions(now);
    pingSeeds(now);
    reconnect(now);
    continueSync(now);
    std::erase_if(relays_, [now](const auto &item) { return now >= item.second.expires; });
    return takeActions(now);
}

void Membership::detectPause(TimePoint now)
{
    const auto last = lastObserved_.value_or(now);
    lastObserved_ = now;
    const auto gap = now - last;
    if (gap <= settings_.pauseThreshold)
        return;
    // Replies may have been lost during the pause, so missing ones do not mean that a peer failed.
    probe_.reset();
    relays_.clear();
    sync_.reset();
    for (auto &[id, deadline] : suspicionDeadlines_)
        deadline = now + settings_.suspicionTimeout;
    announcePending_ = true;
    actions_.emplace_back(SelfPaused{gap});
}

MembershipActions Membership::takeActions(TimePoint now)
{
    sendDueAnnouncement(now);
    outdatedSender_ = {};
    return std::exchange(actions_, {});
}

void Membership::sendDueAnnouncement(TimePoint now)
{
    if (!announcePending_ || now < nextAnnounce_)
        return;
    announcePending_ = false;
    nextAnnounce_ = now + announceInterval;
    for (const auto &peer : pickPeers(settings_.announcePeers))
        send(peer.gossip, Announce{}, peer.id);
}

Datagram Membership::compose(decltype(Datagram::body) body) const
{
    Datagram datagram;
    datagram.piggyback.sender = self();
    datagram.piggyback.headRevision = headRevision_;
    datagram.piggyback.stopMarks = stopMarks_;
    datagram.piggyback.tableDigest = table_.digest();
    datagram.body = std::move(body);
    return datagram;
}

void Membership::send(const Endpoint &to, decltype(Datagram::body) body, const InstanceId &toId)
{
    auto datagram = compose(std::move(body));
    auto &updates = datagram.piggyback.updates;
    // A router can refute a claim about itself only if it receives it, so put that claim first.
    const auto *record = table_.find(toId);
    if (record != nullptr
        && (toId == outdatedSender_ || record->info.state == MemberState::Suspect
            || !isReachable(record->info.state))) {
        updates.push_back(withoutEndpoints(record->info));
    }
    const auto used = encodedSizeBound(datagram) + sealBytes;
    if (used < maxDatagramBytes) {
        const auto lookUp = [this](const InstanceId &id) {
            const auto *found = table_.find(id);
            return found == nullptr ? nullptr : &found->info;
        };
        auto queued = queue_.take(maxDatagramBytes - used, transmitLimits(), lookUp);
        std::move(queued.begin(), queued.end(), std::back_inserter(updates));
    }
    actions_.emplace_back(SendDatagram{to, std::move(datagram)});
}

UpdateQueue::TransmitLimits Membership::transmitLimits() const
{
    const auto rounds = std::bit_width(table_.records().size());
    return {.state = retransmitMultiplier * rounds, .revision = static_cast<std::size_t>(rounds)};
}

std::vector<MemberInfo> Membership::pickPeers(std::size_t count, const InstanceId &except)
{
    std::vector<const MemberInfo *> peers;
    for (const auto &[id, record] : table_.records()) {
        if (id != selfId_ && id != except && isReachable(record.info.state))
            peers.push_back(&record.info);
    }
    std::vector<MemberInfo> picked;
    for (std::size_t i = 0; i < std::min(count, peers.size()); ++i) {
        std::swap(peers[i], peers[i + random_() % (peers.size() - i)]);
        picked.push_back(*peers[i]);
    }
    return picked;
}

void Membership::mergeRecord(const MemberInfo &update, TimePoint now)
{
    if (update.id == selfId_) {
        refute(update, now);
        return;
    }
    const auto *before = table_.find(update.id);
    const bool wasLive = before != nullptr && before->isLive();
    const auto incarnation = before == nullptr ? 0 : before->info.incarnation;
    const auto merge = table_.merge(update, now);
    if (merge == MemberTable::MergeResult::Ignored)
        return;
    if (merge == MemberTable::MergeResult::Revision) {
        queue_.add(update.id, UpdateQueue::Kind::Revision, false);
        return;
    }
    const bool isNew =
        merge == MemberTable::MergeResult::Added || update.incarnation != incarnation;
    queue_.add(update.id, UpdateQueue::Kind::State, isNew);
    announcePending_ = true;
    if (update.state == MemberState::Suspect)
        suspicionDeadlines_[update.id] = now + settings_.suspicionTimeout;
    else
        suspicionDeadlines_.erase(update.id);
    reportChange(update.id, wasLive);
    if (!isNew)
        return;
    const auto position = probeOrder_.empty() ? 0 : random_() % (probeOrder_.size() + 1);
    if (merge == MemberTable::MergeResult::Added)
        probeOrder_.insert(probeOrder_.begin() + static_cast<std::ptrdiff_t>(position), update.id);
    removeReplaced(table_.find(update.id)->info, now);
}

void Membership::refute(const MemberInfo &claim, TimePoint now)
{
    auto own = self();
    const bool stale = claim.incarnation < own.incarnation || own.state == MemberState::Left;
    const bool agrees = claim.incarnation == own.incarnation
        && (claim.state == own.state || claim.state == MemberState::Alive
            || (claim.state == MemberState::Suspect && own.state == MemberState::Leaving));
    if (stale || agrees)
        return;
    own.incarnation = claim.incarnation + 1;
    updateSelf(own, now);
    actions_.emplace_back(SelfRefuted{own.incarnation});
}

void Membership::updateSelf(const MemberInfo &self, TimePoint now)
{
    table_.put(self, now);
    queue_.add(selfId_, UpdateQueue::Kind::State, true);
    announcePending_ = true;
}

void Membership::changeState(const InstanceId &id, MemberState state, TimePoint now)
{
    auto claim = withoutEndpoints(table_.find(id)->info);
    claim.state = state;
    mergeRecord(claim, now);
}

void Membership::reportChange(const InstanceId &id, bool wasLive)
{
    const auto *record = table_.find(id);
    ++generation_;
    actions_.emplace_back(MemberChanged{record->info, wasLive, record->isLive()});
}

void Membership::removeReplaced(const MemberInfo &replacement, TimePoint now)
{
    std::vector<InstanceId> replaced;
    for (const auto &[id, record] : table_.records()) {
        if (id != replacement.id && id != selfId_ && isReachable(record.info.state)
            && record.info.gossip == replacement.gossip
            && record.info.incarnation < replacement.incarnation) {
            replaced.push_back(id);
        }
    }
    for (const auto &id : replaced)
        changeState(id, MemberState::Dead, now);
}

MembershipActions Membership::applyInstanceList(const std::vector<ListedRouter> &routers,
                                                TimePoint now)
{
    std::vector<Endpoint> endpoints;
    std::map<InstanceId, bool> leaving;
    for (const auto &router : routers) {
        if (!router.leaving)
            endpoints.push_back(router.gossip);
        leaving[router.id] = router.leaving;
    }
    seeds_.setListed(endpoints);
    std::vector<std::pair<InstanceId, bool>> marks;
    for (const auto &[id, record] : table_.records()) {
        const auto found = leaving.find(id);
        const bool listed = found != leaving.end() && found->second;
        if (listed != record.listedLeaving)
            marks.emplace_back(id, listed);
    }
    for (const auto &[id, listed] : marks) {
        const bool wasLive = table_.find(id)->isLive();
        table_.setListedLeaving(id, listed);
        if (wasLive != table_.find(id)->isLive())
            reportChange(id, wasLive);
    }
    return takeActions(now);
}

MembershipActions Membership::leave(TimePoint now)
{
    auto own = self();
    if (own.state != MemberState::Alive)
        return {};
    own.state = MemberState::Leaving;
    updateSelf(own, now);
    ++generation_;
    nextAnnounce_ = now;
    return takeActions(now);
}

MembershipActions Membership::finishLeave(TimePoint now)
{
    auto own = self();
    if (own.state == MemberState::Left)
        return {};
    own.state = MemberState::Left;
    updateSelf(own, now);
    ++generation_;
    // These are the last datagrams of this process. Announcing to a second random set of peers
    // makes up for lost ones.
    for (const auto &peer : pickPeers(settings_.announcePeers))
        send(peer.gossip, Announce{}, peer.id);
    nextAnnounce_ = now;
    return takeActions(now);
}

void Membership::setHeadRevision(std::uint64_t revision)
{
    headRevision_ = std::max(headRevision_, revision);
}

MembershipActions Membership::setAppliedRevision(std::uint64_t revision, TimePoint now)
{
    auto own = self();
    if (revision <= own.appliedRevision)
        return {};
    own.appliedRevision = revision;
    setHeadRevision(revision);
    table_.put(own, now);
    queue_.add(selfId_, UpdateQueue::Kind::Revision, false);
    announcePending_ = true;
    nextAnnounce_ = now;
    return takeActions(now);
}

MembershipActions Membership::setStopMarks(const StopMarkDigest &digest, TimePoint now)
{
    if (digest == stopMarks_)
        return {};
    stopMarks_ = digest;
    announcePending_ = true;
    nextAnnounce_ = now;
    return takeActions(now);
}

std::vector<MemberInfo> Membership::members() const
{
    std::vector<MemberInfo> members;
    members.reserve(table_.records().size());
    for (const auto &[id, record] : table_.records())
        members.push_back(record.info);
    return members;
}

std::vector<MemberInfo> Membership::liveRouters(const RegionId &region) const
{
    auto routers = liveRouters();
    std::erase_if(routers, [&](const MemberInfo &router) { return router.region != region; });
    return routers;
}

std::vector<MemberInfo> Membership::liveRouters() const
{
    std::vector<MemberInfo> routers;
    for (const auto &[id, record] : table_.records()) {
        if (record.isLive())
            routers.push_back(record.info);
    }
    return routers;
}

Convergence Membership::convergence(std::uint64_t revision) const
{
    Convergence convergence;
    for (const auto &[id, record] : table_.records()) {
        if (!record.isLive())
            continue;
        ++convergence.live;
        if (record.info.appliedRevision >= revision)
            ++convergence.applied;
        else
            convergence.lagging.push_back(id);
    }
    return convergence;
}

} // namespace jy
