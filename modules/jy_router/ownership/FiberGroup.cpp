#include "jy_router/ownership/FiberGroup.h"

#include "jy_runtime/fibers/EventLoop.h"

#include <mutex>

namespace jy {

FiberGroup::~FiberGroup()
{
    std::unique_lock lock(mutex_);
    stopping_ = true;
    changed_.notify_all();
    changed_.wait(lock, [this] { return running_ == 0; });
}

void FiberGroup::spawn(std::function<void()> body)
{
    ++running_;
    EventLoop::spawn([this, body = std::move(body)] {
        body();
        const std::lock_guard lock(mutex_);
        --running_;
        changed_.notify_all();
    });
}

bool FiberGroup::sleepFor(std::chrono::milliseconds duration)
{
    std::unique_lock lock(mutex_);
    return !changed_.wait_for(lock, duration, [this] { return stopping_; });
}

} // namespace jy
