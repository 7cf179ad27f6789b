#include "jy_gateway/rollouts/RolloutTraffic.h"

#include "jy_base/hashing/StableHash.h"

#include <algorithm>
#include <cmath>
#include <limits>

namespace jy {

namespace {

using std::chrono::milliseconds;

// Weight of the newest sample in the moving means, and the samples needed before they count.
constexpr double newestWeight = 0.1;
constexpr int minSamples = 3;

// Differences below this are noise, whatever the factor: one decoding step, and the wait behind a
// few prompts as part of the latency target.
constexpr double minPauseUs = 10'000;
constexpr double minPartOfTarget = 0.5;

// Name of the counts of all routes beyond maxRoutes.
const std::string otherRoutes = "other";

void update(double &mean, double sample, int samples)
{
    const double weight = std::max(newestWeight, 1.0 / (samples + 1));
    mean += weight * (sample - mean);
}

// Part of a span of time that has passed, 0 to 1.
double passedPart(TimePoint::duration elapsed, milliseconds span)
{
    const std::chrono::duration<double> passed = elapsed;
    const std::chrono::duration<double> whole = std::max(span, milliseconds(1));
    return std::clamp(passed / whole, 0.0, 1.0);
}

} // namespace

RolloutTraffic::RolloutTraffic(const FleetView &fleet, RolloutTrafficSettings settings)
    : fleet_(fleet)
    , settings_(settings)
{ }

const RolloutView *RolloutTraffic::underWay(const ServiceId &service) const
{
    const auto found = fleet_.rollouts().find(service);
    return found != fleet_.rollouts().end() && found->second.underWay() ? &found->second : nullptr;
}

RolloutTraffic::Service &RolloutTraffic::stateOf(const RolloutView &rollout)
{
    auto &state = services_[rollout.order.service];
    if (state.order != rollout.order.revision)
        state = {.order = rollout.order.revision};
    return state;
}

milliseconds RolloutTraffic::moveTime(milliseconds duration)
{
    constexpr milliseconds longest{3000};
    constexpr int partOfDuration = 6;
    return std::clamp(duration / partOfDuration, milliseconds(1), longest);
}

VersionGroup RolloutTraffic::assign(const ServiceId &service, std::uint64_t affinity, double draw,
                                    TimePoint now)
{
    const auto found = fleet_.rollouts().find(service);
    if (found == fleet_.rollouts().end())
        return VersionGroup::Any;
    const auto &rollout = found->second;
    auto &state = stateOf(rollout);
    ++state.requests;
    if (!rollout.underWay())
        return VersionGroup::Any;
    if (rollout.progress->phase == RolloutPhase::Moving) {
        constexpr auto whole = static_cast<double>(std::numeric_limits<std::uint64_t>::max());
        const double position = affinity != 0
            ? static_cast<double>(stableHash(std::to_string(affinity))) / whole
            : draw;
        const auto share = passedPart(now - rollout.phaseSeen, moveTime(rollout.order.duration));
        return position < share ? VersionGroup::Target : VersionGroup::Current;
    }
    // Spread over half of the time, as servers without cached prompts take few requests at once.
    const auto saved = passedPart(now - rollout.phaseSeen, rollout.order.duration / 2);
    const double slack = usableSlack * settings_.exposureSlack * saved
        / static_cast<double>(std::max<std::size_t>(1, instances_));
    const double permitted = usableShare * settings_.exposureShare * state.requests + slack;
    const bool overdue = now - rollout.seen > rollout.order.duration;
    if (!inContact_ || overdue || state.targetRequests + 1 > permitted)
        return VersionGroup::Current;
    ++state.targetRequests;
    return VersionGroup::Target;
}

VersionGroup RolloutTraffic::retryGroup(const ServiceId &service) const
{
    const auto *rollout = underWay(service);
    return rollout && rollout->progress->phase == RolloutPhase::Analyzing ? VersionGroup::Current
                                                                          : VersionGroup::Any;
}

std::size_t RolloutTraffic::mostServers(const ServiceId &service, std::size_t targetServers) const
{
    const auto *rollout = underWay(service);
    if (!rollout || rollout->progress->phase != RolloutPhase::Analyzing)
        return 0;
    return static_cast<std::size_t>(std::max(
        1.0,
        std::ceil(usableShare * settings_.exposureShare * static_cast<double>(targetServers))));
}

std::optional<bool> RolloutTraffic::isSlow(const Usual &usual, const RolloutSample &sample) const
{
    if (usual.samples < minSamples || (!sample.first && !sample.pause))
        return std::nullopt;
    const auto exceeds = [](std::optional<std::chrono::microseconds> time, double mean,
                            double least) {
        return time && mean > 0
            && static_cast<double>(time->count()) > std::max(mean * slowFactor, mean + least);
    };
    const std::chrono::duration<double, std::micro> target = sample.target;
    return exceeds(sample.first, usual.first, target.count() * minPartOfTarget)
        || exceeds(sample.pause, usual.pause, minPauseUs);
}

void RolloutTraffic::record(const RegisteredServer &server, const RolloutSample &sample)
{
    const bool isTarget = fleet_.isTarget(server);
    auto &usual = usual_[sample.route];
    const auto slow = isSlow(usual, sample);
    if (!isTarget && sample.ok && (sample.first || sample.pause)) {
        if (sample.first)
            update(usual.first, static_cast<double>(sample.first->count()), usual.samples);
        if (sample.pause)
            update(usual.pause, static_cast<double>(sample.pause->count()), usual.samples);
        ++usual.samples;
    }
    const auto found = fleet_.rollouts().find(server.service);
    if (found == fleet_.rollouts().end())
        return;
    auto &outcomes = stateOf(found->second).outcomes;
    auto &routes = isTarget ? outcomes.target : outcomes.current;
    const bool own = routes.size() < maxRoutes || routes.contains(sample.route);
    auto &counts = routes[own ? sample.route : otherRoutes];
    ++counts.requests;
    counts.errors += sample.ok ? 0 : 1;
    counts.timed += slow ? 1 : 0;
    counts.slow += slow.value_or(false) ? 1 : 0;
}

const RolloutOutcomes *RolloutTraffic::outcomes(const ServiceId &service) const
{
    const auto found = services_.find(service);
    return found == services_.end() ? nullptr : &found->second.outcomes;
}

} // namespace jy
