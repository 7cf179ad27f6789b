#include "jy_gateway/placement/ServerHealth.h"

#include <algorithm>
#include <cmath>

namespace jy {

namespace {

// Time after which a request counts half, so that a server gets another chance.
constexpr std::chrono::duration<double> halfLife{2.5};

// Own requests count this much more than those of others.
constexpr double ownWeight = 2;

// Answered requests assumed of a server that nobody has used.
constexpr double assumedAnswers = 5;

// Evidence below this is neither kept nor passed on.
constexpr double negligible = 0.5;

// Heartbeats of an instance that is gone no longer count after this time.
constexpr std::chrono::seconds longestPeerAge{8};

// Sums below this are what rounding left of evidence that was taken out again.
constexpr double roundingError = 1e-6;

// Pauses stop doubling here; 400 ms * 2^3 is above the longest pause.
constexpr int maxDoublings = 3;

double remaining(Duration age)
{
    return std::exp2(-std::chrono::duration<double>(age) / halfLife);
}

} // namespace

void ServerHealth::record(const ServerId &server, ServerOutcome outcome, TimePoint now)
{
    auto &state = servers_[server];
    const double kept = remaining(now - state.updated);
    state.evidence.answered *= kept;
    state.evidence.failed *= kept;
    state.updated = now;
    ++(outcome == ServerOutcome::Answered ? state.evidence.answered : state.evidence.failed);
    if (outcome == ServerOutcome::Answered || outcome == ServerOutcome::Failed) {
        state.failuresInRow = 0;
        return;
    }
    const auto pause = firstPause * (1 << std::min(state.failuresInRow, maxDoublings));
    state.pausedUntil = now + std::min<std::chrono::milliseconds>(pause, longestPause);
    ++state.failuresInRow;
}

EvidenceByServer ServerHealth::evidence(TimePoint now) const
{
    EvidenceByServer result;
    for (const auto &[server, state] : servers_) {
        const double kept = remaining(now - state.updated);
        const ServerEvidence current{state.evidence.answered * kept, state.evidence.failed * kept};
        if (current.answered + current.failed > negligible)
            result[server] = current;
    }
    return result;
}

void ServerHealth::FadingSum::fadeTo(TimePoint now)
{
    const double kept = remaining(now - updated);
    evidence.answered *= kept;
    evidence.failed *= kept;
    updated = now;
}

void ServerHealth::setPeerEvidence(const InstanceId &instance, EvidenceByServer evidence,
                                   TimePoint now)
{
    replace(peers_[instance], std::move(evidence), now);
}

void ServerHealth::setGroupEvidence(std::size_t group, EvidenceByServer evidence, TimePoint now)
{
    replace(groups_[group], std::move(evidence), now);
}

void ServerHealth::replace(PeerEvidence &report, EvidenceByServer evidence, TimePoint now)
{
    takeFromSum(report, now);
    report = {std::move(evidence), now};
    addToSum(report);
}

bool ServerHealth::anyFailure(const ServerId &server, TimePoint now) const
{
    const auto own = servers_.find(server);
    if (own != servers_.end()
        && own->second.evidence.failed * remaining(now - own->second.updated) > negligible)
        return true;
    const auto peers = peerSum_.find(server);
    return peers != peerSum_.end()
        && peers->second.evidence.failed * remaining(now - peers->second.updated) > negligible;
}

EvidenceByServer ServerHealth::ownGroup(TimePoint now) const
{
    auto sum = evidence(now);
    for (const auto &[instance, report] : peers_) {
        const double kept = remaining(now - report.received);
        for (const auto &[server, seen] : report.evidence) {
            auto &total = sum[server];
            total.answered += seen.answered * kept;
            total.failed += seen.failed * kept;
        }
    }
    std::erase_if(sum, [&](const auto &entry) { return !anyFailure(entry.first, now); });
    return sum;
}

void ServerHealth::clearReports()
{
    peers_.clear();
    groups_.clear();
    peerSum_.clear();
}

void ServerHealth::addToSum(const PeerEvidence &peer)
{
    for (const auto &[server, seen] : peer.evidence) {
        auto &sum = peerSum_[server];
        sum.fadeTo(peer.received);
        sum.evidence.answered += seen.answered;
        sum.evidence.failed += seen.failed;
    }
}

void ServerHealth::takeFromSum(const PeerEvidence &peer, TimePoint now)
{
    const double kept = remaining(now - peer.received);
    for (const auto &[server, seen] : peer.evidence) {
        const auto found = peerSum_.find(server);
        if (found == peerSum_.end())
            continue;
        auto &sum = found->second;
        sum.fadeTo(now);
        // What rounding leaves must not count as evidence against zero.
        sum.evidence.answered = std::max(0.0, sum.evidence.answered - seen.answered * kept);
        sum.evidence.failed = std::max(0.0, sum.evidence.failed - seen.failed * kept);
        if (sum.evidence.answered + sum.evidence.failed < roundingError)
            peerSum_.erase(found);
    }
}

void ServerHealth::expire(TimePoint now)
{
    const auto isOld = [&](const auto &entry) {
        const bool old = now - entry.second.received >= longestPeerAge;
        if (old)
            takeFromSum(entry.second, now);
        return old;
    };
    std::erase_if(peers_, isOld);
    std::erase_if(groups_, isOld);
}

bool ServerHealth::paused(const ServerId &server, TimePoint now) const
{
    const auto found = servers_.find(server);
    return found != servers_.end() && now < found->second.pausedUntil;
}

double ServerHealth::failureRate(const ServerId &server, TimePoint now) const
{
    ServerEvidence sum{assumedAnswers, 0};
    const auto add = [&](const ServerEvidence &evidence, double weight) {
        sum.answered += evidence.answered * weight;
        sum.failed += evidence.failed * weight;
    };
    const auto own = servers_.find(server);
    if (own != servers_.end())
        add(own->second.evidence, ownWeight * remaining(now - own->second.updated));
    const auto peers = peerSum_.find(server);
    if (peers != peerSum_.end())
        add(peers->second.evidence, remaining(now - peers->second.updated));
    return sum.failed / (sum.answered + sum.failed);
}

} // namespace jy
