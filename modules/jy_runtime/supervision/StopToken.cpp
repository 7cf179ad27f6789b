#include "jy_runtime/supervision/StopToken.h"

#include <map>
#include <mutex>
#include <utility>

namespace jy {

struct StopState
{
    boost::fibers::mutex mutex;
    boost::fibers::condition_variable changed;
    bool requested = false;
    int lastId = 0;
    std::map<int, std::function<void()>> callbacks;
};

StopToken::Registration::Registration(std::weak_ptr<StopState> state, int id)
    : state_(std::move(state))
    , id_(id)
{ }

StopToken::Registration::Registration(Registration &&other) noexcept
    : state_(std::exchange(other.state_, {}))
    , id_(other.id_)
{ }

StopToken::Registration &StopToken::Registration::operator=(Registration &&other) noexcept
{
    if (this != &other) {
        reset();
        state_ = std::exchange(other.state_, {});
        id_ = other.id_;
    }
    return *this;
}

StopToken::Registration::~Registration()
{
    reset();
}

void StopToken::Registration::reset()
{
    if (const auto state = state_.lock())
        state->callbacks.erase(id_);
    state_.reset();
}

StopToken::StopToken()
    : state_(std::make_shared<StopState>())
{ }

bool StopToken::stopRequested() const
{
    return state_->requested;
}

bool StopToken::sleepFor(std::chrono::nanoseconds duration)
{
    const auto state = state_;
    std::unique_lock lock(state->mutex);
    return !state->changed.wait_for(lock, duration, [&state] { return state->requested; });
}

void StopToken::waitForStop()
{
    const auto state = state_;
    std::unique_lock lock(state->mutex);
    state->changed.wait(lock, [&state] { return state->requested; });
}

StopToken::Registration StopToken::onStop(std::function<void()> callback)
{
    if (state_->requested) {
        callback();
        return {};
    }
    const int id = ++state_->lastId;
    state_->callbacks.emplace(id, std::move(callback));
    return {state_, id};
}

void StopToken::requestStop()
{
    const auto state = state_;
    {
        const std::lock_guard lock(state->mutex);
        if (state->requested)
            return;
        state->requested = true;
        state->changed.notify_all();
    }
    // A callback may destroy other registrations, so entries are extracted one at a time.
    while (!state->callbacks.empty()) {
        auto node = state->callbacks.extract(state->callbacks.begin());
        node.mapped()();
    }
}

} // namespace jy
