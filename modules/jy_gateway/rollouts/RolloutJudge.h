#pragma once

#include "jy_core/versions/CanaryAnalyzer.h"
#include "jy_gateway/rollouts/RolloutTraffic.h"

#include <chrono>
#include <map>
#include <optional>
#include <set>
#include <string>

namespace jy {

/** What the judge knows about a rollout besides the outcomes. */
struct RolloutSituation
{
    /** Nothing before the analysis. */
    std::optional<RolloutPhase> phase;

    /** Time since the order, and from the order to its deadline. */
    std::chrono::milliseconds elapsed{0};
    std::chrono::milliseconds duration{0};

    /** Time since the current phase began. */
    std::chrono::milliseconds inPhase{0};

    /** Servers of the target version that may get requests. */
    std::size_t targetServers = 0;

    /** Requests in flight at servers of the other versions. */
    int currentInFlight = 0;
};

/** Next phase of a rollout, and why. */
struct RolloutStep
{
    RolloutPhase phase = RolloutPhase::Analyzing;
    std::string reason;

    bool operator==(const RolloutStep &) const = default;
};

/**
 * Decides how one rollout goes on, by the outcomes that all instances report.
 *
 * Instances report counts since the order, so repeated, lost and reordered reports do no harm.
 * Several instances may judge the same rollout; a conditional write lets one of them take each
 * step.
 */
class RolloutJudge
{
public:
    RolloutJudge(const ServiceId &service, VersionId target);

    /**
     * Takes over the counts of an instance.
     *
     * @param incarnation start time of the instance's process, whose counts begin at zero
     */
    void receive(const InstanceId &instance, std::uint64_t incarnation,
                 const RolloutOutcomes &outcomes);

    /** Evaluates what was received since the last call. @returns the next step, if it is due */
    std::optional<RolloutStep> evaluate(const RolloutSituation &situation);

    /** Requests to the target version, and errors and slow responses among them. */
    RolloutCounts targetTotal() const;

private:
    struct Reported
    {
        std::uint64_t incarnation = 0;
        RolloutOutcomes outcomes;
    };

    void analyzeNewCounts();
    void addToSlot(const VersionId &version, const std::map<std::string, RolloutCounts> &counts);
    std::optional<RolloutStep> nextWhileAnalyzing(const RolloutSituation &situation) const;
    std::optional<RolloutStep> nextWhileMoving(const RolloutSituation &situation) const;

    MoveId move_;
    VersionId from_{"current"};
    VersionId target_;
    std::map<InstanceId, Reported> reports_;

    /** Received since the last evaluation. */
    RolloutOutcomes pending_;
    RolloutOutcomes total_;

    OutcomeTable slots_;
    std::uint64_t slot_ = 0;
    CanaryAnalyzer analyzer_;
    CanaryResult result_;
};

} // namespace jy
