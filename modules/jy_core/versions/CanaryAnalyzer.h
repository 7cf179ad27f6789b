#pragma once

#include "jy_core/versions/OutcomeTable.h"

#include <map>
#include <optional>
#include <string>

namespace jy {

/** Strength of the tests of CanaryAnalyzer. */
struct CanaryAnalyzerSettings
{
    /**
     * Log-likelihood ratio at which a version counts as bad. ln(1e6): the mean number of requests
     * between false alarms is at least 1e6 at the tested error rate.
     */
    double badThreshold = 13.8;

    /** Log-likelihood ratio below which a version counts as good; ln(0.01). */
    double goodThreshold = -4.6;

    /** A bad version's rate exceeds the old version's at least by this. */
    double rateIncrease = 0.1;

    /** Error rate assumed for an old version that shows none. */
    double minimumRate = 0.01;
};

/** Result of an analysis of all routes. */
struct CanaryVerdict
{
    enum class Kind {
        Undecided,
        Good,
        Bad,
    };

    Kind kind = Kind::Undecided;

    /** For Bad: which rate on which route exceeded which rate of the old version. */
    std::string reason;
};

/**
 * Compares a new version with the old one over the same time slots.
 *
 * For each route and for all routes together, errors and slow first tokens are tested separately
 * with a log-likelihood ratio of "the rate is increased" against "the rate is the old version's".
 * The cumulative-sum form (Page, 1954) restarts at zero, so that evidence of a fault that appears
 * late is not outweighed by a long good history. The plain sum decides whether it is good.
 *
 * The old version's rate is smoothed over recent slots, so that a fault that hits both versions,
 * such as a lost network path, does not count against the new one.
 */
class CanaryAnalyzer
{
public:
    CanaryAnalyzer(CanaryAnalyzerSettings settings, MoveId move, VersionId from, VersionId to);

    /** Takes the completed slots up to @p lastSlot into account and returns the verdict. */
    CanaryVerdict evaluate(const OutcomeTable &outcomes, std::uint64_t lastSlot);

private:
    /** State of the test of one rate on one route. */
    struct RateTest
    {
        double cumulativeSum = 0.0;
        double totalRatio = 0.0;

        /** Exponentially smoothed counts of the old version. */
        double oldRequests = 0.0;
        double oldFailures = 0.0;
    };

    struct RouteTests
    {
        RateTest errors;
        RateTest slow;
    };

    double update(RateTest &test, double oldRequests, double oldFailures, double newRequests,
                  double newFailures) const;
    std::optional<std::string> evaluateSlot(const OutcomeTable &outcomes, const std::string &route,
                                            std::uint64_t slot);

    CanaryAnalyzerSettings settings_;
    MoveId move_;
    VersionId from_;
    VersionId to_;
    std::uint64_t nextSlot_ = 0;
    std::map<std::string, RouteTests> tests_;
};

} // namespace jy
