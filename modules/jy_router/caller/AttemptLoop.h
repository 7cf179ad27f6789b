#pragma once

#include "jy_router/caller/CallerDependencies.h"

#include <functional>
#include <memory>
#include <optional>
#include <vector>

namespace jy {

/** The result of one attempt at a backend server. */
struct Attempt
{
    /** Absent when the request is finished. */
    std::optional<Error> error;

    CallOutcome outcome;

    /** A part of the response has gone to the caller, so no other server may be tried. */
    bool answered = false;
};

/** What to try and under which rules. */
struct AttemptPlan
{
    CallContext context;
    std::string route;
    std::vector<BackendServer> servers;

    /** The work may be repeated although an earlier attempt may have run. */
    bool idempotent = false;

    /** Null for work that continues after its caller has left. */
    std::shared_ptr<Cancellation> cancellation;
};

/**
 * Tries backend servers in order until one finishes the request.
 *
 * A refused reservation and a failed connection lead to the next server without use of the retry
 * budget, because they put no load on a server. After an attempt that may have run, only
 * idempotent work is tried again, and only within the budget.
 */
class AttemptLoop
{
public:
    using Send = std::function<Attempt(const BackendServer &)>;

    AttemptLoop(const CallerDependencies &dependencies, const CallerSettings &settings)
        : dependencies_(dependencies)
        , settings_(settings)
    { }

    /**
     * Reserves, calls @p send and releases for each attempt.
     *
     * @returns nothing when an attempt finished the request. Otherwise the error for the caller:
     *          its effect is NotRun only if no attempt can have run.
     */
    std::optional<Error> run(const AttemptPlan &plan, const Send &send);

    /** Attempts that may have sent bytes. */
    int attempts() const { return attempts_; }

    /** Whether a part of the response has gone to the caller. */
    bool answered() const { return answered_; }

private:
    enum class Step {
        Finished,
        NextServer,
        Stop,
    };

    Step attempt(const AttemptPlan &plan, const ReserveCall &call, const Send &send);
    Step stopReason(const AttemptPlan &plan);
    Step fail(const AttemptPlan &plan, const Error &error);
    Error finalError() const;

    const CallerDependencies &dependencies_;
    const CallerSettings &settings_;
    std::optional<Error> refused_;
    std::optional<Error> sent_;
    int attempts_ = 0;
    bool firstAttemptCounted_ = false;
    bool answered_ = false;
};

} // namespace jy
