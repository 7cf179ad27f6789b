#pragma once

#include "common/Fleet.h"

#include <functional>
#include <map>
#include <memory>
#include <string>
#include <vector>

namespace jy::bench {

/** One measured figure and the bound that it is held against. */
struct Figure
{
    enum class Bound {
        AtMost,
        AtLeast,
    };

    std::string metric;
    double value = 0;
    std::string unit;
    Bound kind = Bound::AtMost;
    double bound = 0;

    bool holds() const { return kind == Bound::AtMost ? value <= bound : value >= bound; }
};

/** State of one run of a scenario. */
struct Run
{
    explicit Run(Fleet &fleet)
        : fleet(fleet)
    { }

    Fleet &fleet;
    std::vector<Figure> figures;

    /** Running load generators and, once finished, their summaries. */
    std::map<std::string, std::unique_ptr<ChildProcess>> loads;
    std::map<std::string, Fleet::Json> summaries;

    /** Wall-clock times by name, in milliseconds since the Unix epoch. */
    std::map<std::string, std::int64_t> marks;

    /** Revision of the latest applied state. */
    std::uint64_t revision = 0;

    /** Numbers that steps pass on to later ones. */
    std::map<std::string, double> numbers;

    void atMost(const std::string &metric, double value, const std::string &unit, double bound)
    {
        figures.push_back({metric, value, unit, Figure::Bound::AtMost, bound});
    }
    void atLeast(const std::string &metric, double value, const std::string &unit, double bound)
    {
        figures.push_back({metric, value, unit, Figure::Bound::AtLeast, bound});
    }
};

/** One step; throws when it cannot be carried out. */
struct Step
{
    std::string name;
    std::function<void(Run &)> run;
};

struct Scenario
{
    std::string name;

    /** File of bench/settings. */
    std::string spec;

    /** Changes of the settings for this scenario; may be empty. */
    std::function<void(FleetSpec &)> adjust;
    std::vector<Step> steps;
};

const std::vector<Scenario> &scenarios();

std::int64_t unixMs();

// Steps
Step wait(std::chrono::milliseconds duration);

/** Starts a load generator. */
Step load(const std::string &name, const std::vector<std::string> &flags);

/**
 * Waits for a load generator and checks what holds in every scenario: complete, unmixed responses
 * (I5), latency (section 1.5) and at-most-once execution with true rejections (I6, I7).
 */
Step finish(const std::string &name);

/** Applies one change of the desired state and marks the time of its acceptance as @p mark. */
Step change(const std::string &mark, const std::vector<std::string> &path,
            const boost::json::value &value);

/** Waits until the latest change is in force on all routers (I10). */
Step inForce();

/** Changes the behaviour of all engines. */
Step engines(const Fleet::Json &knobs);

/** Any other action on the fleet. */
Step act(const std::string &name, const std::function<void(Run &)> &action);

/** Checks that no engine refused work while cold (I2). */
Step noColdOverload();

/** Time from a mark to the last request that started in a domain (I3). */
Step lastWorkInDomain(const std::string &mark, int domain);

/** Waits until a version move reaches one of the states; the state goes to the metric's name. */
Step moveReaches(const std::string &move, const std::string &state,
                 std::chrono::milliseconds timeout);

/** Samples the load of the engines and counts samples above the bound of I1. */
Step sampleLoadBound(std::chrono::milliseconds duration);

} // namespace jy::bench
