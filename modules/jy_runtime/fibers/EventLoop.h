#pragma once

#include <boost/asio/executor_work_guard.hpp>
#include <boost/asio/io_context.hpp>

#include <chrono>
#include <functional>
#include <memory>

namespace jy {

/**
 * The one event loop of a thread: an Asio io_context that is run by the fiber scheduler.
 *
 * Create one per thread and call run() there. Work from other threads enters through
 * postFromOtherThread().
 */
class EventLoop
{
public:
    /** Installs the fiber scheduler on the calling thread. */
    EventLoop();
    EventLoop(const EventLoop &) = delete;
    EventLoop &operator=(const EventLoop &) = delete;

    boost::asio::io_context &io() { return *io_; }

    /** Runs @p body in the calling fiber with the loop active and returns when it returns. */
    void run(const std::function<void()> &body);

    /** Starts a detached fiber on this loop; must be called on the loop's thread. */
    static void spawn(std::function<void()> body);

    /** Starts a detached fiber on this loop from any thread. */
    void postFromOtherThread(std::function<void()> body);

    /** Suspends the calling fiber. */
    static void sleepFor(std::chrono::nanoseconds duration);

private:
    std::shared_ptr<boost::asio::io_context> io_;
    boost::asio::executor_work_guard<boost::asio::io_context::executor_type> work_;
};

} // namespace jy
