#include "jy_gateway/rollouts/RolloutJudge.h"

#include <absl/strings/str_cat.h>

#include <algorithm>

namespace jy {

namespace {

using std::chrono::milliseconds;

// All counts are summed before they are analyzed, so the table has one owner.
const InstanceId allInstances{"fleet"};

// The move begins at this part of the time until the deadline: late, so that a fault which appears
// with time is found while few requests are exposed to it, but early enough for requests that run
// at the old version to end. A version that has not passed by the second one is reverted.
constexpr double earliestMove = 0.55;
constexpr double latestMove = 0.8;

// Time before the deadline at which a rollout is completed even if requests still run at the old
// version.
constexpr milliseconds completionMargin{700};

milliseconds partOf(milliseconds duration, double part)
{
    return milliseconds(static_cast<std::int64_t>(static_cast<double>(duration.count()) * part));
}

// Counts of one process only grow; a report with smaller ones is an older one.
std::uint64_t growth(std::uint64_t now, std::uint64_t before)
{
    return now > before ? now - before : 0;
}

RolloutCounts growth(const RolloutCounts &now, const RolloutCounts &before)
{
    return {growth(now.requests, before.requests), growth(now.errors, before.errors),
            growth(now.timed, before.timed), growth(now.slow, before.slow)};
}

void add(RolloutCounts &sum, const RolloutCounts &counts)
{
    sum.requests += counts.requests;
    sum.errors += counts.errors;
    sum.timed += counts.timed;
    sum.slow += counts.slow;
}

using CountsByRoute = std::map<std::string, RolloutCounts>;

/** Adds what @p received has in addition to @p known, and takes it over. */
void takeGrowth(CountsByRoute &known, const CountsByRoute &received, CountsByRoute &sum)
{
    for (const auto &[route, counts] : received) {
        auto &before = known[route];
        const auto added = growth(counts, before);
        add(sum[route], added);
        add(before, added);
    }
}

} // namespace

RolloutJudge::RolloutJudge(const ServiceId &service, VersionId target)
    : move_(service.value())
    , target_(std::move(target))
    , analyzer_({}, move_, from_, target_)
{ }

void RolloutJudge::receive(const InstanceId &instance, std::uint64_t incarnation,
                           const RolloutOutcomes &outcomes)
{
    auto &reported = reports_[instance];
    if (incarnation < reported.incarnation)
        return;
    if (incarnation > reported.incarnation)
        reported = {.incarnation = incarnation};
    takeGrowth(reported.outcomes.target, outcomes.target, pending_.target);
    takeGrowth(reported.outcomes.current, outcomes.current, pending_.current);
}

void RolloutJudge::addToSlot(const VersionId &version, const CountsByRoute &counts)
{
    for (const auto &[route, count] : counts)
        slots_.add(allInstances,
                   {.move = move_,
                    .version = version,
                    .route = route,
                    .slot = slot_,
                    .requests = static_cast<std::uint32_t>(count.requests),
                    .errors = static_cast<std::uint32_t>(count.errors),
                    .slow = static_cast<std::uint32_t>(count.slow),
                    .timed = static_cast<std::uint32_t>(count.timed)});
}

void RolloutJudge::analyzeNewCounts()
{
    ++slot_;
    addToSlot(from_, pending_.current);
    addToSlot(target_, pending_.target);
    for (const auto &[route, counts] : pending_.target)
        add(total_.target[route], counts);
    pending_ = {};
    const auto result = analyzer_.evaluate(slots_, slot_);
    if (result_.kind != CanaryResult::Kind::Failed)
        result_ = result;
}

RolloutCounts RolloutJudge::targetTotal() const
{
    RolloutCounts sum;
    for (const auto &[route, counts] : total_.target)
        add(sum, counts);
    return sum;
}

std::optional<RolloutStep> RolloutJudge::evaluate(const RolloutSituation &situation)
{
    analyzeNewCounts();
    if (!situation.phase) {
        if (situation.targetServers > 0 && situation.elapsed < situation.duration)
            return RolloutStep{RolloutPhase::Analyzing, "servers of the new version are ready"};
        if (situation.elapsed >= situation.duration)
            return RolloutStep{RolloutPhase::Reverted, "no server of the new version was ready"};
        return std::nullopt;
    }
    const bool final =
        *situation.phase == RolloutPhase::Completed || *situation.phase == RolloutPhase::Reverted;
    if (final)
        return std::nullopt;
    if (result_.kind == CanaryResult::Kind::Failed)
        return RolloutStep{RolloutPhase::Reverted, result_.reason};
    return *situation.phase == RolloutPhase::Analyzing ? nextWhileAnalyzing(situation)
                                                       : nextWhileMoving(situation);
}

std::optional<RolloutStep> RolloutJudge::nextWhileAnalyzing(const RolloutSituation &situation) const
{
    const bool passed = result_.kind == CanaryResult::Kind::Passed;
    if (passed && situation.elapsed >= partOf(situation.duration, earliestMove)
        && situation.elapsed < situation.duration)
        return RolloutStep{RolloutPhase::Moving,
                           absl::StrCat("passed with ", targetTotal().requests, " requests")};
    if (situation.elapsed >= partOf(situation.duration, latestMove))
        return RolloutStep{RolloutPhase::Reverted,
                           absl::StrCat("too few requests to tell: ", targetTotal().requests)};
    return std::nullopt;
}

std::optional<RolloutStep> RolloutJudge::nextWhileMoving(const RolloutSituation &situation) const
{
    const bool moved = situation.inPhase >= RolloutTraffic::moveTime(situation.duration);
    const bool idle = situation.currentInFlight == 0;
    if (moved && (idle || situation.elapsed >= situation.duration - completionMargin))
        return RolloutStep{RolloutPhase::Completed,
                           absl::StrCat(situation.currentInFlight, " requests at the old version")};
    return std::nullopt;
}

} // namespace jy
