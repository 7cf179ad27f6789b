#include "jy_gateway/placement/ServerHealth.h"

#include <algorithm>
#include <cmath>

namespace jy {

namespace {

// Half-life of the outcome counts. They decay so that a failing server is tried again.
constexpr std::chrono::duration<double> halfLife{2.5};

// Weight of the requests of this instance relative to those of others.
constexpr double ownWeight = 2;

// Number of successes that every server is credited with, so that few requests decide little.
constexpr double assumedSuccesses = 5;

// Lower counts are neither reported nor regarded as a failure.
constexpr double minCount = 0.5;

// Age at which expire() drops the report of an instance that is gone.
constexpr std::chrono::seconds maxReportAge{8};

// Sums below this are rounding errors that remain after subtracting all reports.
constexpr double roundingError = 1e-6;

// The exclusion time stops doubling here: 400 ms * 2^3 is above maxExclusion.
constexpr int maxDoublings = 3;

double decayFactor(Duration age)
{
    return std::exp2(-std::chrono::duration<double>(age) / halfLife);
}

} // namespace

void ServerHealth::record(const ServerId &server, ServerOutcome outcome, TimePoint now)
{
    auto &state = servers_[server];
    const double kept = decayFactor(now - state.updated);
    state.outcomes.succeeded *= kept;
    state.outcomes.failed *= kept;
    state.updated = now;
    ++(outcome == ServerOutcome::Succeeded ? state.outcomes.succeeded : state.outcomes.failed);
    if (outcome == ServerOutcome::Succeeded || outcome == ServerOutcome::Failed) {
        state.failuresInRow = 0;
        return;
    }
    const auto exclusion = initialExclusion * (1 << std::min(state.failuresInRow, maxDoublings));
    state.excludedUntil = now + std::min<std::chrono::milliseconds>(exclusion, maxExclusion);
    ++state.failuresInRow;
}

OutcomeCountsByServer ServerHealth::outcomes(TimePoint now) const
{
    OutcomeCountsByServer result;
    for (const auto &[server, state] : servers_) {
        const double kept = decayFactor(now - state.updated);
        const ServerOutcomeCounts current{state.outcomes.succeeded * kept,
                                          state.outcomes.failed * kept};
        if (current.succeeded + current.failed > minCount)
            result[server] = current;
    }
    return result;
}

void ServerHealth::DecayingSum::decayTo(TimePoint now)
{
    const double kept = decayFactor(now - updated);
    outcomes.succeeded *= kept;
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
    subtractFromSum(report, now);
    report = {std::move(outcomes), now};
    addToSum(report);
}

bool ServerHealth::anyFailure(const ServerId &server, TimePoint now) const
{
    const auto own = servers_.find(server);
    if (own != servers_.end()
        && own->second.outcomes.failed * decayFactor(now - own->second.updated) > minCount)
        return true;
    const auto peers = peerSum_.find(server);
    return peers != peerSum_.end()
        && peers->second.outcomes.failed * decayFactor(now - peers->second.updated) > minCount;
}

OutcomeCountsByServer ServerHealth::ownGroup(TimePoint now) const
{
    auto sum = outcomes(now);
    for (const auto &[instance, report] : peers_) {
        const double kept = decayFactor(now - report.received);
        for (const auto &[server, seen] : report.outcomes) {
            auto &total = sum[server];
            total.succeeded += seen.succeeded * kept;
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
        sum.decayTo(peer.received);
        sum.outcomes.succeeded += seen.succeeded;
        sum.outcomes.failed += seen.failed;
    }
}

void ServerHealth::subtractFromSum(const PeerOutcomes &peer, TimePoint now)
{
    const double kept = decayFactor(now - peer.received);
    for (const auto &[server, seen] : peer.outcomes) {
        const auto found = peerSum_.find(server);
        if (found == peerSum_.end())
            continue;
        auto &sum = found->second;
        sum.decayTo(now);
        // Rounding errors must not make a sum negative.
        sum.outcomes.succeeded = std::max(0.0, sum.outcomes.succeeded - seen.succeeded * kept);
        sum.outcomes.failed = std::max(0.0, sum.outcomes.failed - seen.failed * kept);
        if (sum.outcomes.succeeded + sum.outcomes.failed < roundingError)
            peerSum_.erase(found);
    }
}

void ServerHealth::expire(TimePoint now)
{
    const auto isExpired = [&](const auto &entry) {
        const bool expired = now - entry.second.received >= maxReportAge;
        if (expired)
            subtractFromSum(entry.second, now);
        return expired;
    };
    std::erase_if(peers_, isExpired);
    std::erase_if(groups_, isExpired);
}

bool ServerHealth::isExcluded(const ServerId &server, TimePoint now) const
{
    const auto found = servers_.find(server);
    return found != servers_.end() && now < found->second.excludedUntil;
}

double ServerHealth::failureRate(const ServerId &server, TimePoint now) const
{
    ServerOutcomeCounts sum{assumedSuccesses, 0};
    const auto add = [&](const ServerOutcomeCounts &outcomes, double weight) {
        sum.succeeded += outcomes.succeeded * weight;
        sum.failed += outcomes.failed * weight;
    };
    const auto own = servers_.find(server);
    if (own != servers_.end())
        add(own->second.outcomes, ownWeight * decayFactor(now - own->second.updated));
    const auto peers = peerSum_.find(server);
    if (peers != peerSum_.end())
        add(peers->second.outcomes, decayFactor(now - peers->second.updated));
    return sum.failed / (sum.succeeded + sum.failed);
}

} // namespace jy
