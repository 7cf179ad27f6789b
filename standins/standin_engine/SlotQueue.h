#pragma once

#include "common/Standin.h"

#include <set>
#include <utility>

namespace jy::standins {

/** Places of the running batch; waiting requests are served by priority, then in order. */
class SlotQueue
{
public:
    int running() const { return running_; }
    int waiting() const { return static_cast<int>(waiting_.size()); }

    /** Suspends until a place is free. @returns false when the caller has gone meanwhile. */
    bool acquire(int slots, int priority, HttpResponder &responder)
    {
        const std::pair<int, std::uint64_t> ticket{-priority, next_++};
        waiting_.insert(ticket);
        const auto registration = responder.cancellation()->onCancel([&] { freed_.notify(); });
        constexpr std::chrono::minutes longest{10};
        const auto mine = [&] { return running_ < slots && *waiting_.begin() == ticket; };
        freed_.waitUntil(std::chrono::steady_clock::now() + longest,
                         [&] { return responder.callerGone() || mine(); });
        const bool granted = !responder.callerGone() && mine();
        waiting_.erase(ticket);
        running_ += granted ? 1 : 0;
        freed_.notify();
        return granted;
    }

    void release()
    {
        --running_;
        freed_.notify();
    }

private:
    int running_ = 0;
    std::uint64_t next_ = 0;
    std::set<std::pair<int, std::uint64_t>> waiting_;
    ChangeSignal freed_;
};

} // namespace jy::standins
