#pragma once

#include "jy_base/errors/Error.h"
#include "jy_runtime/fibers/EventLoop.h"

#include <boost/asio/signal_set.hpp>
#include <boost/fiber/condition_variable.hpp>
#include <boost/fiber/mutex.hpp>

#include <memory>

namespace jy {

/**
 * The signals with which operators control a process: SIGHUP asks it to read its settings again,
 * SIGTERM and SIGINT ask it to stop.
 *
 * While no ProcessSignals exists, each of them ends the process at once. Create it before the first
 * listener and keep it until the last connection has ended. Signals that arrive before the loop
 * runs are kept. Once a stop was requested, all further ones are logged and have no effect: a stop
 * has a deadline of its own.
 */
class ProcessSignals
{
public:
    enum class Request {
        Reload,
        Stop,
    };

    /** @param loop must outlive the result @returns Internal if a signal cannot be handled */
    static Result<std::unique_ptr<ProcessSignals>> create(EventLoop &loop);

    ProcessSignals(const ProcessSignals &) = delete;
    ProcessSignals &operator=(const ProcessSignals &) = delete;

    /**
     * Suspends the calling fiber until a request is pending.
     *
     * @returns Reload once for all SIGHUPs since the last call; Stop from the first request to stop
     *          on, also if reloads are pending
     */
    Request next();

    /** Requests a stop without a signal. */
    void requestStop();

    /** Number of the signal that requested the stop; 0 if there was none. */
    int stopSignal() const { return stopSignal_; }

private:
    explicit ProcessSignals(EventLoop &loop);

    void receive();
    void handle(int signal);

    boost::asio::signal_set signals_;
    boost::fibers::mutex mutex_;
    boost::fibers::condition_variable changed_;
    bool reloadPending_ = false;
    bool stopRequested_ = false;
    int stopSignal_ = 0;
};

} // namespace jy
