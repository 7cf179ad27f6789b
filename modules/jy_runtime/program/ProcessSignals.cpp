#include "jy_runtime/program/ProcessSignals.h"

#include "jy_runtime/logging/Log.h"

#include <csignal>
#include <mutex>

namespace jy {

ProcessSignals::ProcessSignals(EventLoop &loop)
    : signals_(loop.io())
{ }

Result<std::unique_ptr<ProcessSignals>> ProcessSignals::create(EventLoop &loop)
{
    std::unique_ptr<ProcessSignals> signals(new ProcessSignals(loop));
    for (const int signal : {SIGHUP, SIGTERM, SIGINT}) {
        boost::system::error_code error;
        signals->signals_.add(signal, error);
        if (error)
            return failure(ErrorKind::Internal,
                           "cannot handle signal " + std::to_string(signal) + ": "
                               + error.message());
    }
    signals->receive();
    return signals;
}

void ProcessSignals::receive()
{
    signals_.async_wait([this](boost::system::error_code error, int signal) {
        // The object is being destroyed.
        if (error)
            return;
        handle(signal);
        receive();
    });
}

void ProcessSignals::handle(int signal)
{
    if (stopRequested_) {
        logEvent(LogLevel::Info, "signal-ignored",
                 {{"signal", signal}, {"reason", "the process is stopping"}});
        return;
    }
    if (signal != SIGHUP) {
        stopSignal_ = signal;
        requestStop();
        return;
    }
    const std::lock_guard lock(mutex_);
    reloadPending_ = true;
    changed_.notify_all();
}

void ProcessSignals::requestStop()
{
    const std::lock_guard lock(mutex_);
    stopRequested_ = true;
    changed_.notify_all();
}

ProcessSignals::Request ProcessSignals::next()
{
    std::unique_lock lock(mutex_);
    changed_.wait(lock, [this] { return stopRequested_ || reloadPending_; });
    if (stopRequested_)
        return Request::Stop;
    reloadPending_ = false;
    return Request::Reload;
}

} // namespace jy
