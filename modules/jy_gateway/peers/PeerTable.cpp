#include "jy_gateway/peers/PeerTable.h"

#include "jy_base/hashing/StableHash.h"
#include "jy_gateway/peers/PeerGroups.h"

#include <algorithm>
#include <tuple>

namespace jy {

namespace {

// Periods without a heartbeat after which an instance counts as dead.
constexpr int maxLostHeartbeats = 3;

// Unregistered instances are kept for this long, so that an outage of the store removes none.
constexpr std::chrono::seconds unregisteredRetention{60};

// Bytes per second for cached prompts: a fourteenth of the budget for control traffic in
// heartbeats, and half as much in reports.
constexpr double cachedBytesInHeartbeats = 1000;
constexpr double cachedBytesInReports = 500;

/** @returns the number of cached prompts that each datagram may contain, at least one */
std::size_t cachedPromptsPerDatagram(double bytesPerSecond, std::chrono::milliseconds period,
                                     std::size_t receivers)
{
    constexpr double cachedPromptBytes = 8;
    const double bytes = bytesPerSecond * std::chrono::duration<double>(period).count();
    const double prompts =
        bytes / (cachedPromptBytes * static_cast<double>(std::max<std::size_t>(1, receivers)));
    return std::max<std::size_t>(1, static_cast<std::size_t>(prompts));
}

/** Whether enough members of a group have sent heartbeats to treat the others as dead. */
bool isQuorum(std::size_t seen, std::size_t members)
{
    constexpr double quorumShare = 0.75;
    return static_cast<double>(seen) >= quorumShare * static_cast<double>(members);
}

} // namespace

std::uint32_t peerHash(const InstanceId &id)
{
    return static_cast<std::uint32_t>(stableHash(id.value()));
}

PeerTable::PeerTable(InstanceId self)
    : self_(std::move(self))
{ }

std::chrono::milliseconds PeerTable::period() const
{
    if (groups_ > 1) {
        const auto members = static_cast<std::int64_t>(groupSize());
        return std::max<std::chrono::milliseconds>(minPeriod, members * periodPerMember);
    }
    const auto count = static_cast<std::int64_t>(peers_.size() + 1);
    return std::max<std::chrono::milliseconds>(minPeriod, count * periodPerInstance);
}

std::chrono::milliseconds PeerTable::reportAge() const
{
    return groups_ > 1 ? (1 + heartbeatsPerReport) * period() : period();
}

std::size_t PeerTable::cachedPromptsPerHeartbeat() const
{
    return cachedPromptsPerDatagram(cachedBytesInHeartbeats, period(), destinations().size());
}

std::size_t PeerTable::cachedPromptsPerReport() const
{
    return cachedPromptsPerDatagram(cachedBytesInReports, heartbeatsPerReport * period(),
                                    groups_ - 1);
}

std::chrono::milliseconds PeerTable::responseTime() const
{
    // The heartbeat, its response, and the delay of a loop.
    constexpr std::chrono::milliseconds margin{100};
    return 2 * period() + margin;
}

std::size_t PeerTable::groupSize() const
{
    // The expected rather than the actual size, so that all instances use the same period.
    return (peers_.size() + 1) / groups_;
}

void PeerTable::updateGroups()
{
    // Hysteresis: the number of groups does not change within this margin around a threshold.
    constexpr double margin = 0.1;
    const auto instances = static_cast<double>(peers_.size() + 1);
    const auto fewer =
        PeerGroups::groupCountFor(static_cast<std::size_t>(instances * (1 - margin)));
    const auto more = PeerGroups::groupCountFor(static_cast<std::size_t>(instances * (1 + margin)));
    const auto count = std::clamp(groups_, fewer, more);
    if (count != groups_) {
        groups_ = count;
        reports_.clear();
    }
    ownGroup_ = PeerGroups::groupOf(self_, groups_);
    for (auto &[id, peer] : peers_)
        peer.group = PeerGroups::groupOf(id, groups_);
}

bool PeerTable::inOwnGroup(const InstanceId &id) const
{
    return PeerGroups::groupOf(id, groups_) == ownGroup_;
}

bool PeerTable::receiveReport(const GroupReport &report, TimePoint now)
{
    if (report.groups != groups_ || report.group >= groups_ || report.group == ownGroup_)
        return false;
    reports_[report.group] = {{report.ready.begin(), report.ready.end()}, now};
    return true;
}

const PeerTable::ReceivedReport *PeerTable::freshReport(std::size_t group, TimePoint now) const
{
    const auto found = reports_.find(group);
    const bool fresh = found != reports_.end() && now - found->second.received <= reportLifetime;
    return fresh ? &found->second : nullptr;
}

bool PeerTable::receive(const Heartbeat &heartbeat, TimePoint now)
{
    if (heartbeat.instance.id == self_)
        return false;
    if (heartbeat.brief && !peers_.contains(heartbeat.instance.id))
        return false;
    auto &peer = peers_[heartbeat.instance.id];
    peer.group = PeerGroups::groupOf(heartbeat.instance.id, groups_);
    byHash_[peerHash(heartbeat.instance.id)] = heartbeat.instance.id;
    const auto order = std::tuple(heartbeat.incarnation, heartbeat.sequence);
    if (peer.heartbeatReceived && order <= std::tuple(peer.incarnation, peer.sequence))
        return false;
    if (!heartbeat.brief)
        peer.instance = heartbeat.instance;
    peer.incarnation = heartbeat.incarnation;
    peer.sequence = heartbeat.sequence;
    peer.ready = heartbeat.ready;
    peer.silenceStart = now;
    peer.heartbeatReceived = true;
    return true;
}

void PeerTable::setRegistered(const std::map<InstanceId, RegisteredInstance> &registered,
                              TimePoint now)
{
    for (auto &[id, peer] : peers_)
        peer.registered = registered.contains(id);
    for (const auto &[id, instance] : registered) {
        if (id == self_)
            continue;
        auto [entry, created] = peers_.try_emplace(id);
        auto &peer = entry->second;
        byHash_[peerHash(id)] = id;
        if (created || peer.instance.peer != instance.peer)
            peer = Peer{.instance = instance, .silenceStart = now};
        peer.registered = true;
    }
    std::erase_if(peers_, [&](const auto &entry) {
        const bool gone =
            !entry.second.registered && now - entry.second.silenceStart > unregisteredRetention;
        if (gone)
            byHash_.erase(peerHash(entry.first));
        return gone;
    });
    updateGroups();
}

void PeerTable::resetSilenceTimers(TimePoint now)
{
    for (auto &[id, peer] : peers_)
        peer.silenceStart = now;
    for (auto &[group, report] : reports_)
        report.received = now;
}

std::vector<Endpoint> PeerTable::destinations() const
{
    std::vector<Endpoint> addresses;
    for (const auto &[id, peer] : peers_) {
        if (peer.group == ownGroup_)
            addresses.push_back(peer.instance.peer);
    }
    return addresses;
}

std::vector<Endpoint> PeerTable::allDestinations() const
{
    std::vector<Endpoint> addresses;
    addresses.reserve(peers_.size());
    for (const auto &[id, peer] : peers_)
        addresses.push_back(peer.instance.peer);
    return addresses;
}

std::vector<Endpoint> PeerTable::reportDestinations(TimePoint now) const
{
    if (groups_ == 1)
        return {};
    std::size_t rank = 0;
    std::size_t size = 1;
    std::size_t seen = 1;
    std::vector<std::vector<InstanceId>> others(groups_);
    for (const auto &[id, peer] : peers_) {
        // All known members rather than the live ones: the senders must agree on the receivers
        // even if their latest reports of the other group differ.
        if (peer.group != ownGroup_) {
            others[peer.group].push_back(id);
            continue;
        }
        if (!isAlive(peer, now))
            continue;
        ++size;
        rank += id < self_ ? 1 : 0;
        seen += peer.heartbeatReceived ? 1 : 0;
    }
    if (!isQuorum(seen, size))
        return {};
    std::vector<Endpoint> addresses;
    for (const auto &members : others) {
        for (const auto &id : PeerGroups::reportReceivers(rank, size, members))
            addresses.push_back(peers_.at(id).instance.peer);
    }
    return addresses;
}

std::vector<std::uint32_t> PeerTable::readyInGroup(TimePoint now) const
{
    std::vector<std::uint32_t> ready;
    for (const auto &[id, peer] : peers_) {
        if (peer.group == ownGroup_ && peer.ready && peer.heartbeatReceived && isAlive(peer, now))
            ready.push_back(peerHash(id));
    }
    return ready;
}

std::vector<RegisteredInstance> PeerTable::directoryPeers(TimePoint now) const
{
    std::vector<RegisteredInstance> result;
    const bool quorum = hasGroupQuorum();
    for (const auto &[id, peer] : peers_) {
        const bool known = peer.group != ownGroup_ || peer.heartbeatReceived || !quorum;
        if (known && peer.ready && isAlive(peer, now))
            result.push_back(peer.instance);
    }
    return result;
}

std::vector<RegisteredInstance> PeerTable::alive(TimePoint now) const
{
    std::vector<RegisteredInstance> result;
    for (const auto &[id, peer] : peers_) {
        if (isAlive(peer, now))
            result.push_back(peer.instance);
    }
    return result;
}

std::chrono::milliseconds PeerTable::silenceLimit() const
{
    return std::max<std::chrono::milliseconds>(minSilenceLimit, maxLostHeartbeats * period());
}

const InstanceId *PeerTable::findByHash(std::uint32_t hash) const
{
    const auto found = byHash_.find(hash);
    return found == byHash_.end() || !peers_.contains(found->second) ? nullptr : &found->second;
}

bool PeerTable::hasGroupQuorum() const
{
    std::size_t members = 0;
    std::size_t seen = 0;
    for (const auto &[id, peer] : peers_) {
        if (peer.group != ownGroup_)
            continue;
        ++members;
        seen += peer.heartbeatReceived ? 1 : 0;
    }
    return isQuorum(seen, members);
}

bool PeerTable::receivesHeartbeats(TimePoint now) const
{
    return std::ranges::any_of(peers_, [&](const auto &entry) {
        const auto &peer = entry.second;
        return peer.group == ownGroup_ && peer.heartbeatReceived
            && now - peer.silenceStart <= silenceLimit();
    });
}

bool PeerTable::isAlive(const Peer &peer, TimePoint now) const
{
    const auto silence = now - peer.silenceStart;
    if (peer.group != ownGroup_) {
        const auto *report = freshReport(peer.group, now);
        // Groups span all failure domains, so a missing report indicates lost messages rather
        // than dead members.
        if (!report)
            return peer.registered;
        const bool heartbeatSince = peer.heartbeatReceived && peer.silenceStart > report->received;
        return heartbeatSince || report->ready.contains(peerHash(peer.instance.id));
    }
    if (peer.registered)
        return silence <= silenceLimit() || !receivesHeartbeats(now);
    // Without an entry and without recent heartbeats, the instance has probably left.
    return peer.heartbeatReceived && silence <= silenceLimit() / 2;
}

} // namespace jy
