#include "jy_runtime/fibers/AsioScheduler.h"

#include <boost/asio/post.hpp>

namespace jy {

AsioScheduler::AsioScheduler(std::shared_ptr<boost::asio::io_context> io)
    : io_(std::move(io))
{ }

void AsioScheduler::awakened(boost::fibers::context *context) noexcept
{
    context->ready_link(readyQueue_);
}

boost::fibers::context *AsioScheduler::pick_next() noexcept
{
    if (boost::fibers::context::active()->is_context(boost::fibers::type::dispatcher_context))
        io_->poll();
    if (readyQueue_.empty())
        return nullptr;
    auto *next = &readyQueue_.front();
    readyQueue_.pop_front();
    return next;
}

bool AsioScheduler::has_ready_fibers() const noexcept
{
    return !readyQueue_.empty();
}

void AsioScheduler::suspend_until(const std::chrono::steady_clock::time_point &deadline) noexcept
{
    if (deadline == std::chrono::steady_clock::time_point::max())
        io_->run_one();
    else
        io_->run_one_until(deadline);
}

void AsioScheduler::notify() noexcept
{
    boost::asio::post(*io_, [] {});
}

} // namespace jy
