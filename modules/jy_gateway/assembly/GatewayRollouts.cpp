// The parts of Gateway that carry out rollouts.

#include "jy_gateway/assembly/Gateway.h"
#include "jy_gateway/peers/HeartbeatCodec.h"
#include "jy_gateway/registry/InstanceRanking.h"
#include "jy_gateway/rollouts/RolloutProgressEntry.h"
#include "jy_runtime/logging/Log.h"

#include <algorithm>

namespace jy {

namespace {

using Clock = std::chrono::steady_clock;
using std::chrono::milliseconds;

constexpr milliseconds judgePeriod{250};

// Instances that judge a rollout; all but one may end or be cut off at the same time.
constexpr std::size_t judgeCount = 3;

// A judge waits for this time for each judge before it, so that usually only the first one writes.
constexpr milliseconds rankDelay{800};

// Period of messages about outcomes. It grows with the fleet, so that judges receive a bounded
// number of them.
constexpr milliseconds minOutcomesPeriod{400};
constexpr milliseconds outcomesPeriodPerInstance{3};

RolloutState stateFor(RolloutPhase phase)
{
    switch (phase) {
    case RolloutPhase::Completed:
        return RolloutState::Completed;
    case RolloutPhase::Reverted:
        return RolloutState::Reverted;
    case RolloutPhase::Analyzing:
    case RolloutPhase::Moving:
        break;
    }
    return RolloutState::Running;
}

/** Whether the order has ended, by its progress or by its report. */
bool isFinal(const RolloutView &rollout)
{
    const bool reverted = rollout.progress && rollout.progress->phase == RolloutPhase::Reverted;
    const bool reported = rollout.report && rollout.report->state != RolloutState::Running;
    return rollout.completed() || reverted || reported;
}

} // namespace

void Gateway::runRollouts(StopToken &stop)
{
    while (stop.sleepFor(judgePeriod)) {
        std::erase_if(judgedRollouts_, [this](const auto &entry) {
            return !fleet_.rollouts().contains(entry.first);
        });
        // A copy, because the store is called in the loop.
        const auto rollouts = fleet_.rollouts();
        const auto now = Clock::now();
        const bool send = now >= outcomesDue_;
        if (send)
            outcomesDue_ = now
                + std::max(minOutcomesPeriod,
                           outcomesPeriodPerInstance * static_cast<int>(liveCount_));
        for (const auto &[service, rollout] : rollouts) {
            if (isFinal(rollout))
                continue;
            const auto judges = judgesOf(service);
            if (send)
                sendOutcomes(rollout, judges);
            const auto own = std::ranges::find(judges, self_.id, &RegisteredInstance::id);
            if (own != judges.end() && sync_.inContact())
                judge(rollout, static_cast<std::size_t>(own - judges.begin()), now);
        }
    }
}

std::vector<RegisteredInstance> Gateway::judgesOf(const ServiceId &service) const
{
    return widestInstances("rollout/" + service.value(), liveInstances(), judgeCount);
}

Gateway::JudgedRollout &Gateway::judgedRollout(const RolloutView &rollout)
{
    const auto &order = rollout.order;
    auto found = judgedRollouts_.find(order.service);
    if (found != judgedRollouts_.end() && found->second.order == order.revision)
        return found->second;
    return judgedRollouts_
        .insert_or_assign(order.service,
                          JudgedRollout{.order = order.revision,
                                        .judge = RolloutJudge(order.service, order.target)})
        .first->second;
}

void Gateway::receiveOutcomes(const InstanceId &from, std::uint64_t incarnation,
                              const RolloutMessage &message)
{
    const auto found = fleet_.rollouts().find(message.service);
    if (found != fleet_.rollouts().end() && found->second.order.revision == message.order)
        judgedRollout(found->second).judge.receive(from, incarnation, message.outcomes);
}

void Gateway::sendOutcomes(const RolloutView &rollout,
                           const std::vector<RegisteredInstance> &judges)
{
    const auto *outcomes = rolloutTraffic_.outcomes(rollout.order.service);
    if (!outcomes)
        return;
    const RolloutMessage message{rollout.order.service, rollout.order.revision, *outcomes};
    const auto bytes =
        encodeHeartbeat({.instance = self_, .incarnation = incarnation_, .rollout = message});
    for (const auto &judge : judges) {
        if (judge.id == self_.id)
            receiveOutcomes(self_.id, incarnation_, message);
        else
            heartbeats_->send(bytes, judge.peer);
    }
}

RolloutSituation Gateway::situationOf(const RolloutView &rollout, TimePoint now) const
{
    const auto &service = rollout.order.service;
    RolloutSituation situation{.elapsed =
                                   std::chrono::duration_cast<milliseconds>(now - rollout.seen),
                               .duration = rollout.order.duration};
    if (rollout.progress) {
        situation.phase = rollout.progress->phase;
        situation.elapsed =
            std::chrono::duration_cast<milliseconds>(trueTime() - rollout.progress->orderedAt);
        situation.inPhase = std::chrono::duration_cast<milliseconds>(now - rollout.phaseSeen);
    }
    situation.targetServers = fleet_.readyTargets(service, now);
    for (const auto *server : fleet_.serversOf(service)) {
        if (!fleet_.isTarget(server->entry))
            situation.currentInFlight += loads_.total(server->entry.id).inFlight;
    }
    return situation;
}

void Gateway::judge(const RolloutView &rollout, std::size_t rank, TimePoint now)
{
    auto &judged = judgedRollout(rollout);
    const auto step = judged.judge.evaluate(situationOf(rollout, now));
    if (!step) {
        judged.dueSince.reset();
        return;
    }
    if (!judged.dueSince)
        judged.dueSince = now;
    if (now - *judged.dueSince >= rankDelay * static_cast<int>(rank))
        advance(rollout, *step);
}

void Gateway::advance(const RolloutView &rollout, const RolloutStep &step)
{
    // The condition of the write was read before the store was restored.
    if (copyIsOutdated())
        return;
    const auto &order = rollout.order;
    const auto age = std::chrono::duration_cast<WallTime::duration>(Clock::now() - rollout.seen);
    RolloutProgress progress{.service = order.service,
                             .order = order.revision,
                             .phase = step.phase,
                             .orderedAt =
                                 rollout.progress ? rollout.progress->orderedAt : trueTime() - age,
                             .reason = step.reason};
    const auto key = rolloutProgressKey(order.service);
    StoreTransaction transaction{.conditions = {{key, fleet_.progressRevision(order.service)}},
                                 .writes = {{key, encodeRolloutProgress(progress)}}};
    if (step.phase != RolloutPhase::Moving)
        transaction.writes.push_back(
            adapter_.encodeRolloutReport({order.service, order.target, stateFor(step.phase)}));
    const auto era = era_.current();
    auto written = store_.commit(transaction);
    if (era_.current() != era)
        written = failure(ErrorKind::KvOutcomeUnknown, "the store was restored during the write");
    if (written) {
        progress.revision = written.value();
        fleet_.apply(RolloutProgressWritten{progress}, Clock::now());
    }
    const auto counts = judgedRollout(rollout).judge.targetTotal();
    logEvent(written ? LogLevel::Info : LogLevel::Warn, "rollout-step",
             {{"service", order.service},
              {"target", order.target},
              {"phase", toString(step.phase)},
              {"reason", step.reason},
              {"requests", counts.requests},
              {"errors", counts.errors},
              {"timed", counts.timed},
              {"slow", counts.slow},
              {"result", written ? std::string("written") : written.error().message}});
}

} // namespace jy
