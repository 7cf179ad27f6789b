#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <memory>

namespace jy {

/**
 * A request to abandon work, shared between the fiber that does the work and whoever ends it.
 *
 * Single-threaded. Callbacks run inside cancel(), which may be an Asio handler, so they must not
 * suspend; closing a socket or notifying a condition variable is allowed.
 */
class Cancellation : public std::enable_shared_from_this<Cancellation>
{
public:
    /** Removes its callback when destroyed. */
    class Registration
    {
    public:
        Registration() = default;
        Registration(std::weak_ptr<Cancellation> owner, std::uint64_t id);
        Registration(Registration &&other) noexcept;
        Registration &operator=(Registration &&other) noexcept;
        ~Registration();

    private:
        void reset() noexcept;

        std::weak_ptr<Cancellation> owner_;
        std::uint64_t id_ = 0;
    };

    static std::shared_ptr<Cancellation> create();

    /** Runs every callback once; later calls have no effect. */
    void cancel();

    bool cancelled() const { return cancelled_; }

    /** Calls @p callback on cancellation, at once if that has already happened. */
    [[nodiscard]] Registration onCancel(std::function<void()> callback);

private:
    Cancellation() = default;

    bool cancelled_ = false;
    std::uint64_t nextId_ = 1;
    std::map<std::uint64_t, std::function<void()>> callbacks_;
};

} // namespace jy
