#include "jy_core/versions/CanaryAnalyzer.h"

#include <absl/strings/str_cat.h>

#include <algorithm>
#include <cmath>

namespace jy {

namespace {

/** The empty route, for which OutcomeTable::sum() sums all routes. */
const std::string allRoutes;

// Half-life of about 14 slots: long enough for a steady rate, short enough to follow a fault that
// affects both versions.
constexpr double oldVersionDecay = 0.95;

// Weight, in requests, of the prior estimate that the old version fails at the minimum rate.
constexpr double priorRequests = 20.0;

constexpr double maximumRate = 0.95;

// A tripled rate counts as a fault even if the old rate is already high.
constexpr double rateFactor = 3.0;

} // namespace

CanaryAnalyzer::CanaryAnalyzer(CanaryAnalyzerSettings settings, MoveId move, VersionId from,
                               VersionId to)
    : settings_(settings)
    , move_(std::move(move))
    , from_(std::move(from))
    , to_(std::move(to))
{ }

CanaryResult CanaryAnalyzer::evaluate(const OutcomeTable &outcomes, std::uint64_t lastSlot)
{
    if (nextSlot_ == 0 || nextSlot_ + OutcomeTable::retainedSlots < lastSlot)
        nextSlot_ =
            lastSlot > OutcomeTable::retainedSlots ? lastSlot - OutcomeTable::retainedSlots : 1;
    auto routes = outcomes.routes(move_);
    routes.push_back(allRoutes);
    for (; nextSlot_ <= lastSlot; ++nextSlot_) {
        for (const auto &route : routes) {
            if (auto reason = evaluateSlot(outcomes, route, nextSlot_))
                return {CanaryResult::Kind::Failed, std::move(*reason)};
        }
    }
    const auto &overall = tests_[allRoutes];
    const bool passed = overall.errors.totalRatio <= settings_.passThreshold
        && overall.slow.totalRatio <= settings_.passThreshold;
    return {passed ? CanaryResult::Kind::Passed : CanaryResult::Kind::Inconclusive, {}};
}

std::optional<std::string> CanaryAnalyzer::evaluateSlot(const OutcomeTable &outcomes,
                                                        const std::string &route,
                                                        std::uint64_t slot)
{
    auto &tests = tests_[route];
    const auto oldSum = outcomes.sum(move_, from_, route, slot);
    const auto newSum = outcomes.sum(move_, to_, route, slot);
    const auto oldRequests = static_cast<double>(oldSum.requests);
    const auto newRequests = static_cast<double>(newSum.requests);
    const auto describe = [&](const std::string &rate, double oldRate) {
        return absl::StrCat(rate, " rate of version ", to_.value(), " on ",
                            route.empty() ? "all routes" : "route " + route, " exceeds ",
                            std::round(oldRate * 1000) / 10, "% of version ", from_.value());
    };
    const double oldErrorRate =
        update(tests.errors, oldRequests, static_cast<double>(oldSum.errors), newRequests,
               static_cast<double>(newSum.errors));
    if (tests.errors.cumulativeSum >= settings_.failThreshold)
        return describe("error", oldErrorRate);
    const double oldSlowRate =
        update(tests.slow, static_cast<double>(oldSum.timed), static_cast<double>(oldSum.slow),
               static_cast<double>(newSum.timed), static_cast<double>(newSum.slow));
    if (tests.slow.cumulativeSum >= settings_.failThreshold)
        return describe("slow first token", oldSlowRate);
    return std::nullopt;
}

double CanaryAnalyzer::update(RateTest &test, double oldRequests, double oldFailures,
                              double newRequests, double newFailures) const
{
    test.oldRequests = test.oldRequests * oldVersionDecay + oldRequests;
    test.oldFailures = test.oldFailures * oldVersionDecay + oldFailures;
    const double prior = priorRequests * settings_.minimumRate;
    const double oldRate =
        std::clamp((test.oldFailures + prior) / (test.oldRequests + priorRequests),
                   settings_.minimumRate, maximumRate / 2);
    const double badRate =
        std::min(maximumRate, std::max(oldRate * rateFactor, oldRate + settings_.rateIncrease));
    newFailures = std::min(newFailures, newRequests);
    const double ratio = newFailures * std::log(badRate / oldRate)
        + (newRequests - newFailures) * std::log((1 - badRate) / (1 - oldRate));
    test.cumulativeSum = std::max(0.0, test.cumulativeSum + ratio);
    test.totalRatio += ratio;
    return oldRate;
}

} // namespace jy
