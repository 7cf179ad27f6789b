#pragma once

#include <boost/asio/io_context.hpp>
#include <boost/fiber/algo/algorithm.hpp>
#include <boost/fiber/context.hpp>
#include <boost/fiber/scheduler.hpp>

#include <memory>

namespace jy {

/**
 * Round-robin Boost.Fiber scheduler whose idle time and fairness points run an Asio loop.
 *
 * Handlers run only while the dispatcher fiber is active: running them from a fiber that is being
 * suspended could make that fiber ready before its switch is complete. The dispatcher takes part
 * in the round robin, so the loop is also polled when fibers are always ready.
 */
class AsioScheduler final : public boost::fibers::algo::algorithm
{
public:
    explicit AsioScheduler(std::shared_ptr<boost::asio::io_context> io);

    void awakened(boost::fibers::context *context) noexcept override;
    boost::fibers::context *pick_next() noexcept override;
    bool has_ready_fibers() const noexcept override;
    void suspend_until(const std::chrono::steady_clock::time_point &deadline) noexcept override;
    void notify() noexcept override;

private:
    // Shared, because Boost.Fiber destroys the scheduler at thread exit, after the EventLoop.
    std::shared_ptr<boost::asio::io_context> io_;
    boost::fibers::scheduler::ready_queue_type readyQueue_;
};

} // namespace jy
