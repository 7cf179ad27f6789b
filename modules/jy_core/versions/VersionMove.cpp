#include "jy_core/versions/VersionMove.h"

#include "jy_base/hashing/StableHash.h"

#include <absl/strings/str_cat.h>

#include <algorithm>

namespace jy {

namespace {

using std::chrono::duration_cast;
using std::chrono::milliseconds;

// The share doubles while it is small. Later increases are bounded, because the chats that move
// arrive without a cached prefix: an increase from 0.48 to 0.96 raised the 95th percentile of the
// time to first token above its target.
constexpr double shareGrowthFactor = 2.0;
constexpr double maxShareIncrease = 0.15;

// Fraction of the new version's concurrency limit that a move may use.
constexpr double usableLimitFraction = 0.9;

double increasedShare(double share)
{
    return std::min({1.0, share * shareGrowthFactor, share + maxShareIncrease});
}

int stepsToFull(double share)
{
    constexpr double smallestShare = 1e-4;
    int steps = 0;
    for (share = std::max(share, smallestShare); share < 1.0; share = increasedShare(share))
        ++steps;
    return steps;
}

double capacityShare(const MoveCapacity &capacity)
{
    if (capacity.inFlight == 0)
        return 1.0;
    return std::min(1.0, usableLimitFraction * capacity.newLimit / capacity.inFlight);
}

} // namespace

VersionMove::VersionMove(VersionMoveSettings settings, MoveSpec spec)
    : settings_(settings)
    , spec_(std::move(spec))
    , analyzer_(settings.canary, spec_.id, spec_.from, spec_.to)
{
    record_.move = spec_.id;
}

void VersionMove::adopt(const MoveRecord &record)
{
    if (record.move == spec_.id && record.sequence > record_.sequence)
        record_ = record;
}

bool VersionMove::isFinal() const
{
    return record_.state == MoveState::Done || record_.state == MoveState::TakenBack;
}

std::vector<MoveAction> VersionMove::tick(const OutcomeTable &outcomes, std::uint64_t lastSlot,
                                          const MoveCapacity &capacity, bool stopped, WallTime now)
{
    std::vector<MoveAction> actions;
    if (record_.state == MoveState::TakenBack)
        return actions;
    const auto result = analyzer_.evaluate(outcomes, lastSlot);
    if (record_.state == MoveState::Done && !stopped)
        return actions;
    std::optional<std::string> fault;
    if (result.kind == CanaryResult::Kind::Failed)
        fault = result.reason;
    else if (now >= spec_.finishBy)
        fault = absl::StrCat("deadline passed in state ", std::string(toString(record_.state)),
                             " at share ", record_.share);
    if (fault && !stopped && !markRaised_) {
        markRaised_ = true;
        actions.emplace_back(RaiseStopMark{spec_.id, spec_.to, *fault});
    }
    if (writePending_)
        return actions;
    std::optional<MoveRecord> next;
    if (stopped || markRaised_)
        next = step(MoveState::TakenBack, 0.0, fault.value_or("stop mark"), now);
    else
        next = nextRecord(result, capacity, now);
    if (next) {
        writePending_ = true;
        actions.emplace_back(WriteMoveRecord{*next});
    }
    return actions;
}

std::optional<MoveRecord> VersionMove::nextRecord(const CanaryResult &result,
                                                  const MoveCapacity &capacity, WallTime now) const
{
    switch (record_.state) {
    case MoveState::Planned:
        return step(MoveState::Loading, 0.0, "waiting for an engine with the new version", now);
    case MoveState::Loading:
        if (capacity.newEngines == 0)
            return std::nullopt;
        return step(MoveState::Judging, std::min(spec_.canaryShare, capacityShare(capacity)),
                    "an engine with the new version is ready", now);
    case MoveState::Judging:
        if (result.kind != CanaryResult::Kind::Passed)
            return std::nullopt;
        return step(MoveState::Moving, record_.share, "passed canary analysis", now);
    case MoveState::Moving:
        return nextShare(capacity, now);
    case MoveState::Done:
    case MoveState::TakenBack:
        break;
    }
    return std::nullopt;
}

std::optional<MoveRecord> VersionMove::nextShare(const MoveCapacity &capacity, WallTime now) const
{
    const auto left = spec_.finishBy - settings_.deadlineMargin - now;
    const auto pace =
        std::clamp(duration_cast<milliseconds>(left) / (stepsToFull(record_.share) + 1),
                   settings_.minimumStep, settings_.maximumStep);
    if (now - record_.changedAt < pace)
        return std::nullopt;
    if (record_.share >= 1.0)
        return step(MoveState::Done, 1.0, "all chats use the new version", now);
    const double share = std::min(increasedShare(record_.share), capacityShare(capacity));
    if (share <= record_.share)
        return std::nullopt;
    return step(MoveState::Moving, share, "no fault found at the previous share", now);
}

MoveRecord VersionMove::step(MoveState state, double share, std::string reason, WallTime now) const
{
    return {.move = spec_.id,
            .sequence = record_.sequence + 1,
            .state = state,
            .share = share,
            .reason = std::move(reason),
            .changedAt = now};
}

void VersionMove::onRecordWritten(RecordWriteResult result, const MoveRecord &written)
{
    writePending_ = false;
    if (result == RecordWriteResult::Written)
        adopt(written);
}

bool chatUsesNewVersion(const MoveId &move, std::uint64_t chatHash, double share)
{
    return unitInterval(stableHash(move.value(), chatHash)) < share;
}

Result<LoadPlan> checkLoadPlan(const MoveSpec &move, std::uint64_t weightBytes, int engines,
                               std::uint64_t bytesPerSecond, WallTime now)
{
    LoadPlan plan;
    if (bytesPerSecond == 0 || engines == 0)
        return plan;
    const double seconds =
        static_cast<double>(weightBytes) * engines / static_cast<double>(bytesPerSecond);
    plan.loadTime = milliseconds(static_cast<std::int64_t>(seconds * 1000));
    const auto left = duration_cast<milliseconds>(move.finishBy - now);
    if (plan.loadTime >= left)
        return failure(ErrorKind::ConfigInvalid,
                       absl::StrCat("move ", move.id.value(), ": loading ", engines,
                                    " engines takes ", plan.loadTime.count() / 1000,
                                    " s at the weight store's rate, but the deadline is in ",
                                    left.count() / 1000, " s"));
    if (plan.loadTime > left / 2)
        plan.warning =
            absl::StrCat("move ", move.id.value(), ": loading takes ", plan.loadTime.count() / 1000,
                         " of ", left.count() / 1000, " s until the deadline");
    return plan;
}

} // namespace jy
