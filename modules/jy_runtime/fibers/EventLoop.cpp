#include "jy_runtime/fibers/EventLoop.h"

#include "jy_runtime/fibers/AsioScheduler.h"
#include "jy_runtime/logging/Log.h"

#include <boost/asio/post.hpp>
#include <boost/fiber/fiber.hpp>
#include <boost/fiber/operations.hpp>

namespace jy {

namespace {

// Beast and JSON parsers run on these stacks; deeply nested JSON overflowed the default of 128 KiB.
constexpr std::size_t fiberStackBytes = 256 * 1024;

} // namespace

EventLoop::EventLoop()
    : io_(std::make_shared<boost::asio::io_context>(1))
    , work_(io_->get_executor())
{
    boost::fibers::use_scheduling_algorithm<AsioScheduler>(io_);
}

void EventLoop::run(const std::function<void()> &body)
{
    boost::fibers::fiber(std::allocator_arg, boost::fibers::fixedsize_stack(fiberStackBytes), body)
        .join();
}

void EventLoop::spawn(std::function<void()> body)
{
    // An exception that escapes a fiber would terminate the process and with it all other requests.
    auto guarded = [body = std::move(body)] {
        try {
            body();
        } catch (const std::exception &problem) {
            logEvent(LogLevel::Error, "fiber-failed", {{"reason", problem.what()}});
        }
    };
    boost::fibers::fiber(std::allocator_arg, boost::fibers::fixedsize_stack(fiberStackBytes),
                         std::move(guarded))
        .detach();
}

void EventLoop::postFromOtherThread(std::function<void()> body)
{
    boost::asio::post(*io_, [body = std::move(body)]() mutable { spawn(std::move(body)); });
}

void EventLoop::sleepFor(std::chrono::nanoseconds duration)
{
    boost::this_fiber::sleep_for(duration);
}

} // namespace jy
