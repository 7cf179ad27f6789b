#pragma once

#include "jy_base/time/TimeTypes.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>

#include <chrono>
#include <functional>
#include <memory>

namespace jy {

/**
 * Calls a function when an attempt makes no progress for some time.
 *
 * The call runs in an Asio handler, so it must not suspend.
 */
class SilenceTimer
{
public:
    /** Pause between two calls during the same silence. */
    static constexpr std::chrono::milliseconds repeatInterval{250};

    /** @param onSilence returns whether to call it again if the silence lasts */
    SilenceTimer(boost::asio::io_context &io, std::function<bool()> onSilence);
    SilenceTimer(const SilenceTimer &) = delete;
    SilenceTimer &operator=(const SilenceTimer &) = delete;
    ~SilenceTimer();

    /** Starts to wait for progress. @param limit longest time without progress */
    void start(std::chrono::milliseconds limit, TimePoint now);

    /** Restarts the wait. Cheap, as it does not set the timer again. */
    void progress(TimePoint now);

    void stop();

    TimePoint lastProgress() const { return lastProgress_; }

private:
    void wait(TimePoint until);
    void expired();

    boost::asio::steady_timer timer_;
    std::function<bool()> onSilence_;
    std::chrono::milliseconds limit_{0};
    TimePoint lastProgress_;

    /** Replaced by each wait, so that a late callback of an earlier one has no effect. */
    std::shared_ptr<bool> current_;
};

} // namespace jy
