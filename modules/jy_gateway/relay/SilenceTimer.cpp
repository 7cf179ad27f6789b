#include "jy_gateway/relay/SilenceTimer.h"

#include <utility>

namespace jy {

using Clock = std::chrono::steady_clock;

SilenceTimer::SilenceTimer(boost::asio::io_context &io, std::function<bool()> onSilence)
    : timer_(io)
    , onSilence_(std::move(onSilence))
{ }

SilenceTimer::~SilenceTimer()
{
    stop();
}

void SilenceTimer::start(std::chrono::milliseconds limit, TimePoint now)
{
    limit_ = limit;
    lastProgress_ = now;
    wait(now + limit);
}

void SilenceTimer::progress(TimePoint now)
{
    lastProgress_ = now;
}

void SilenceTimer::stop()
{
    current_.reset();
    timer_.cancel();
}

void SilenceTimer::wait(TimePoint until)
{
    current_ = std::make_shared<bool>(true);
    timer_.expires_at(until);
    timer_.async_wait([this, weak = std::weak_ptr(current_)](boost::system::error_code error) {
        if (!error && !weak.expired())
            expired();
    });
}

void SilenceTimer::expired()
{
    const auto now = Clock::now();
    if (now < lastProgress_ + limit_)
        return wait(lastProgress_ + limit_);
    if (onSilence_())
        wait(now + repeatInterval);
    else
        stop();
}

} // namespace jy
