#pragma once

#include "jy_base/time/TimeTypes.h"

#include <chrono>
#include <functional>
#include <string_view>

namespace jy {

enum class ShutdownPhase {
    Serving,
    Withdrawing, /**< leaving lookup answers and the member table */
    HandingOff, /**< giving owned servers and their ledgers to their new owners */
    ServingCachedLookups, /**< callers may still hold a lookup answer that names this router */
    Draining, /**< no new connections; running requests finish */
    Stopped,
};

std::string_view toString(ShutdownPhase phase);

struct ShutdownSettings
{
    /** Time from the request to the end of the process. */
    std::chrono::milliseconds deadline{120000};

    /** Part of the deadline that a hand-off to unreachable peers may use. */
    std::chrono::milliseconds handOffTimeout{5000};
};

struct ShutdownReport
{
    bool handedOff = false;

    /** Requests that the deadline interrupted; 0 for a shutdown without effect on callers. */
    std::size_t interrupted = 0;

    std::chrono::milliseconds duration{0};
};

/**
 * What the sequence needs of the rest of the router. Every hook must be set and may suspend the
 * calling fiber.
 */
struct ShutdownDependencies
{
    std::function<TimePoint()> now;
    std::function<void(std::chrono::milliseconds)> sleepFor;

    /** Makes the router not ready and announces to peers that it leaves. */
    std::function<void()> withdraw;

    /** Gives away all owned servers. @returns false when one found no new owner in time */
    std::function<bool(std::chrono::milliseconds timeout)> handOff;

    /** Makes responses ask their callers to close the connection. @see HttpServer */
    std::function<void()> announceClose;

    /** Largest lifetime of a lookup answer that may still be in use. */
    std::function<std::chrono::milliseconds()> lookupLifetime;

    /** Stops accepting and waits for running requests. @returns those that remain */
    std::function<std::size_t(std::chrono::milliseconds timeout)> drain;

    /** Ends everything that is left. */
    std::function<void()> stop;

    /** Called at the start of each phase, for log and timeline. */
    std::function<void(ShutdownPhase)> phaseStarted;
};

/**
 * The sequence by which a router leaves without interrupting requests.
 *
 * New work keeps arriving until every cached lookup answer has expired, so the listening socket is
 * closed only after that time.
 * @see section 9 of the design page
 */
class GracefulShutdown
{
public:
    GracefulShutdown(ShutdownDependencies dependencies, ShutdownSettings settings)
        : dependencies_(std::move(dependencies))
        , settings_(settings)
    { }

    /** Runs the sequence once, in the calling fiber. */
    ShutdownReport run();

    ShutdownPhase phase() const { return phase_; }

private:
    void enter(ShutdownPhase phase);
    std::chrono::milliseconds timeLeft(TimePoint end) const;

    ShutdownDependencies dependencies_;
    ShutdownSettings settings_;
    ShutdownPhase phase_ = ShutdownPhase::Serving;
};

} // namespace jy
