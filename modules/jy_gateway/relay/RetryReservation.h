#pragma once

#include "jy_gateway/placement/ServerChooser.h"

#include <functional>
#include <optional>
#include <string_view>

namespace jy {

/** What decides whether a request may be sent to one more server. */
struct RetryState
{
    /** The request has not run, or may run again. */
    bool repeatable = false;

    /** No byte of the last attempt was written, so the next one is not a retry. */
    bool unsent = false;

    /** Servers that may have received part of the request, and how many may at most. */
    int sentTo = 0;
    int maxAttempts = 1;

    /** Servers that were tried, including those that refused the connection. */
    int serversTried = 0;

    Duration timeLeft{0};
};

/** Why a request is not sent to another server. */
enum class RetryObstacle {
    None,
    NoTime,
    NotRepeatable,
    AttemptsUsed,
    BudgetSpent,
    NoServer,
};

/**
 * Decides whether a request is sent to one more server, and reserves what the next attempt needs:
 * a part of the retry budget and a place at a server.
 *
 * A server that is only silent may still respond, so its attempt is given up only once the next
 * one is reserved. What is not used is returned.
 */
class RetryReservation
{
public:
    struct Hooks
    {
        /** Takes a retry from the budget. @returns whether it was granted */
        std::function<bool()> takeBudget;
        std::function<void()> returnBudget;

        /** Chooses a server and counts the request there; Placement::server is empty if there is
         * none. @param responsiveOnly whether silent servers are left out */
        std::function<Placement(bool responsiveOnly)> place;
        std::function<void(const ServerId &)> releasePlace;
    };

    /** Bounds the servers tried for one request, including those that refuse the connection. */
    static constexpr int maxServersTried = 4;

    explicit RetryReservation(Hooks hooks);
    RetryReservation(const RetryReservation &) = delete;
    RetryReservation &operator=(const RetryReservation &) = delete;
    ~RetryReservation();

    /**
     * Reserves the next attempt unless one is reserved already.
     *
     * @param responsiveOnly whether the current attempt may still succeed, so that moving to
     *        another silent server is no gain
     */
    RetryObstacle reserve(const RetryState &state, bool responsiveOnly);

    bool reserved() const { return placement_.has_value(); }

    /** Hands the reserved attempt over to the caller, who counts the request as finished later. */
    Placement take();

    /** Returns what is reserved. */
    void cancel();

private:
    Hooks hooks_;
    std::optional<Placement> placement_;
    bool budgetTaken_ = false;
};

std::string_view toString(RetryObstacle obstacle);

} // namespace jy
