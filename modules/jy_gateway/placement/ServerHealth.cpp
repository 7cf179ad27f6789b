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

// Outcome counts below this are neither kept nor passed on.
constexpr double negligible = 0.5;

// Heartbeats of an instance that is gone no longer count after this time.
constexpr std::chrono::seconds longestPeerAge{8};

// Sums below this are what rounding left of outcome counts that were taken out again.
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
    state.outcomes.answered *= kept;
    state.outcomes.failed *= kept;
    state.updated = now;
    ++(outcome == ServerOutcome::Answered ? state.outcomes.answered : state.outcomes.failed);
    if (outcome == ServerOutcome::Answered || outcome == ServerOutcome::Failed) {
        state.failuresInRow = 0;
        return;
    }
    const auto pause = firstPause * (1 << std::min(state.failuresInRow, maxDoublings));
    state.pausedUntil = now + std::min<std::chrono::milliseconds>(pause, longestPause);
    ++state.failuresInRow;
}

OutcomeCountsByServer ServerHealth::outcomes(TimePoint now) const
{
    OutcomeCountsByServer result;
    for (const auto &[server, state] : servers_) {
        const double kept = remaining(now - state.updated);
        const ServerOutcomeCounts current{state.outcomes.answered * kept,
                                          state.outcomes.failed * kept};
        if (current.answered + current.failed > negligible)
            result[server] = current;
    }
    return result;
}

void ServerHealth::FadingSum::fadeTo(TimePoint now)
{
    const double kept = remaining(now - updated);
    outcomes.answered *= kept;
    outcomes.failed *= kept;
    updated = now;
}

void ServerHealth::setPeerOutcomes(const InstanceId &instance, OutcomeCountsByServer outcomes,
                                   TimePoint now)
{
    replace(peers_[instance], std::move(outcomes), now);
}

void ServerHealth::setGroupOutcomes(std::size_t group, OutcomeCountsByServer outcomes,
                                    TimePoint now)
{
    replace(groups_[group], std::move(outcomes), now);
}

void ServerHealth::replace(PeerOutcomes &report, OutcomeCountsByServer outcomes, TimePoint now)
{
    takeFromSum(report, now);
    report = {std::move(outcomes), now};
    addToSum(report);
}

bool ServerHealth::anyFailure(const ServerId &server, TimePoint now) const
{
    const auto own = servers_.find(server);
    if (own != servers_.end()
        && own->second.outcomes.failed * remaining(now - own->second.updated) > negligible)
        return true;
    const auto peers = peerSum_.find(server);
    return peers != peerSum_.end()
        && peers->second.outcomes.failed * remaining(now - peers->second.updated) > negligible;
}

OutcomeCountsByServer ServerHealth::ownGroup(TimePoint now) const
{
    auto sum = outcomes(now);
    for (const auto &[instance, report] : peers_) {
        const double kept = remaining(now - report.received);
        for (const auto &[server, seen] : report.outcomes) {
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

void ServerHealth::addToSum(const PeerOutcomes &peer)
{
    for (const auto &[server, seen] : peer.outcomes) {
        auto &sum = peerSum_[server];
        sum.fadeTo(peer.received);
        sum.outcomes.answered += seen.answered;
        sum.outcomes.failed += seen.failed;
    }
}

void ServerHealth::takeFromSum(const PeerOutcomes &peer, TimePoint now)
{
    const double kept = remaining(now - peer.received);
    for (const auto &[server, seen] : peer.outcomes) {
        const auto found = peerSum_.find(server);
        if (found == peerSum_.end())
            continue;
        auto &sum = found->second;
        sum.fadeTo(now);
        // The rest that rounding leaves must not make a sum negative.
        sum.outcomes.answered = std::max(0.0, sum.outcomes.answered - seen.answered * kept);
        sum.outcomes.failed = std::max(0.0, sum.outcomes.failed - seen.failed * kept);
        if (sum.outcomes.answered + sum.outcomes.failed < roundingError)
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
    ServerOutcomeCounts sum{assumedAnswers, 0};
    const auto add = [&](const ServerOutcomeCounts &outcomes, double weight) {
        sum.answered += outcomes.answered * weight;
        sum.failed += outcomes.failed * weight;
    };
    const auto own = servers_.find(server);
    if (own != servers_.end())
        add(own->second.outcomes, ownWeight * remaining(now - own->second.updated));
    const auto peers = peerSum_.find(server);
    if (peers != peerSum_.end())
        add(peers->second.outcomes, remaining(now - peers->second.updated));
    return sum.failed / (sum.answered + sum.failed);
}

} // namespace jy
