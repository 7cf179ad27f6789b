#pragma once

#include <boost/fiber/condition_variable.hpp>
#include <boost/fiber/mutex.hpp>

#include <chrono>
#include <functional>
#include <memory>

namespace jy {

struct StopState;

/** Tells a fiber that it should end. Used on the loop's thread only. */
class StopToken
{
public:
    /** Removes a callback on destruction. */
    class Registration
    {
    public:
        Registration() = default;
        Registration(std::weak_ptr<StopState> state, int id);
        Registration(Registration &&other) noexcept;
        Registration &operator=(Registration &&other) noexcept;
        ~Registration();

    private:
        void reset();

        std::weak_ptr<StopState> state_;
        int id_ = 0;
    };

    StopToken();

    bool stopRequested() const;

    /**
     * Suspends the calling fiber.
     *
     * @returns false when a stop was requested before @p duration had passed
     */
    bool sleepFor(std::chrono::nanoseconds duration);

    /** Suspends the calling fiber until a stop is requested. */
    void waitForStop();

    /**
     * Calls @p callback once when a stop is requested, or at once if it has been. Use it to cancel
     * blocking operations, for example to close a socket.
     */
    [[nodiscard]] Registration onStop(std::function<void()> callback);

    /** Wakes all sleepers and calls the callbacks. Further calls have no effect. */
    void requestStop();

private:
    std::shared_ptr<StopState> state_;
};

} // namespace jy
