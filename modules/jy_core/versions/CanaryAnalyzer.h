#pragma once

#include "jy_core/versions/OutcomeTable.h"

#include <map>
#include <optional>
#include <string>

namespace jy {

/** Thresholds of the statistical tests of CanaryAnalyzer. */
struct CanaryAnalyzerSettings
{
    /**
     * Log-likelihood ratio at which a version fails the analysis. At ln(1e6), the mean number of
     * requests between false alarms is at least 1e6 at the tested error rate.
     */
    double failThreshold = 13.8;

    /** Log-likelihood ratio up to which a version passes the analysis; ln(0.01). */
    double passThreshold = -4.6;

    /** Smallest increase over the old version's rate that the tests are designed to detect. */
    double rateIncrease = 0.1;

    /** Lower bound of the rate assumed for the old version, even if it shows no failures. */
    double minimumRate = 0.01;
};

/** Result of the canary analysis over all routes. */
struct CanaryResult
{
    enum class Kind {
        Inconclusive,
        Passed,
        Failed,
    };

    Kind kind = Kind::Inconclusive;

    /** For Failed: the rate and route that exceeded the rate of the old version. */
    std::string reason;
};

/**
 * Compares a new version with the old one over the same time slots.
 *
 * For each route and for all routes together, errors and slow first tokens are tested separately
 * with a log-likelihood ratio of "the rate is increased" against "the rate is the old version's".
 * The cumulative-sum form (Page, 1954) restarts at zero, so that a long history
 * without failures does not hide a fault that appears late. The plain sum, which never restarts,
 * decides whether the version passes.
 *
 * The old version's rate is smoothed over recent slots, so that a fault that affects both
 * versions, such as a lost network path, does not count against the new one.
 */
class CanaryAnalyzer
{
public:
    CanaryAnalyzer(CanaryAnalyzerSettings settings, MoveId move, VersionId from, VersionId to);

    /** Evaluates the slots since the previous call, up to and including @p lastSlot. */
    CanaryResult evaluate(const OutcomeTable &outcomes, std::uint64_t lastSlot);

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
