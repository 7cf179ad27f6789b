#pragma once

#include <boost/fiber/condition_variable.hpp>
#include <boost/fiber/mutex.hpp>

#include <chrono>
#include <functional>

namespace jy {

/**
 * Short-lived fibers that use an object. The destructor waits for them, so a fiber never outlives
 * the object that has the group as its last member.
 */
class FiberGroup
{
public:
    FiberGroup() = default;
    FiberGroup(const FiberGroup &) = delete;
    FiberGroup &operator=(const FiberGroup &) = delete;

    /** Ends the waits in sleepFor() and waits until all fibers have returned. */
    ~FiberGroup();

    /** Starts a fiber on the loop of the calling thread. */
    void spawn(std::function<void()> body);

    /** Suspends the calling fiber. @returns false when the group is being destroyed. */
    bool sleepFor(std::chrono::milliseconds duration);

private:
    boost::fibers::mutex mutex_;
    boost::fibers::condition_variable changed_;
    int running_ = 0;
    bool stopping_ = false;
};

} // namespace jy
