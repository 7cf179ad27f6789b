#pragma once

#include "jy_base/errors/Error.h"
#include "jy_runtime/events/Event.h"
#include "jy_runtime/supervision/RestartLimiter.h"
#include "jy_runtime/supervision/StopToken.h"

#include <boost/fiber/condition_variable.hpp>
#include <boost/fiber/mutex.hpp>

#include <chrono>
#include <cstdint>
#include <deque>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace jy {

/** Which children restart when one of them ends. */
enum class RestartStrategy {
    OneForOne, /**< only the child that ended */
    All, /**< all children, stopped in reverse order and started in order */
};

/** When a child that ended is restarted. */
enum class ChildKind {
    Permanent, /**< after a failure and after a return that nobody asked for */
    Transient, /**< after a failure only */
};

struct RestartPolicy
{
    RestartStrategy strategy = RestartStrategy::OneForOne;

    /** Restarts allowed within @ref window; one more escalates to the parent. */
    int maxRestarts = 5;

    std::chrono::milliseconds window{10000};

    /** Pause before a restart, so that a child that fails at once does not use a whole core. */
    std::chrono::milliseconds restartDelay{100};

    /** A child that takes longer to stop is named in a "child-stop-slow" event. */
    std::chrono::milliseconds slowStop{5000};
};

/**
 * Runs named children as fibers, restarts those that end, and escalates when they fail too often.
 *
 * A child fails by throwing or, when it is Permanent, by returning without a stop request. Each
 * restart is logged and recorded as a "child-restarted" event. Above the restart limit the
 * supervisor stops its remaining children and fails itself: its parent treats that like the failure
 * of a child, and the root calls the hook given to onFailure().
 *
 * All functions must be called on the loop's thread, stop() in a fiber.
 */
class Supervisor
{
public:
    using ChildBody = std::function<void(StopToken &)>;

    /**
     * Creates the root of a supervisor tree and starts it.
     *
     * @returns SettingsInvalid for an impossible policy
     */
    static Result<std::unique_ptr<Supervisor>> create(std::string name, RestartPolicy policy,
                                                      EventSink events);

    /** Stops all children; call stop() before, if the destructor may run outside a fiber. */
    ~Supervisor();
    Supervisor(const Supervisor &) = delete;
    Supervisor &operator=(const Supervisor &) = delete;

    /** Starts a child, at once or together with this supervisor. */
    void addChild(std::string name, ChildBody body, ChildKind kind = ChildKind::Permanent);

    /**
     * Adds a supervisor whose failure counts as the failure of a child of this one.
     *
     * @returns the nested supervisor, owned by this one
     */
    Supervisor &addSupervisor(std::string name, RestartPolicy policy);

    /** Called once, in a fiber, when this root supervisor has failed and its children ended. */
    void onFailure(std::function<void(const std::string &reason)> hook);

    /** Stops all children in reverse order of their start and waits for each. */
    void stop();

    /** True after the restart limit was exceeded and all children ended. */
    bool failed() const { return failed_; }

    const std::string &name() const { return name_; }

private:
    struct Child;
    struct End;

    Supervisor(std::string name, RestartPolicy policy, EventSink events);

    void run();
    void runChildren();
    void start(Child &child);
    void handleEnd(const End &end);
    void restart(Child &ended, const std::string &reason);
    void stopChildren();
    void stopChild(Child &child);
    void requestStop();
    void record(std::string kind, std::vector<EventField> fields);

    std::string name_;
    RestartPolicy policy_;
    EventSink events_;
    RestartLimiter limiter_;
    std::function<void(const std::string &)> failureHook_;

    std::vector<std::unique_ptr<Child>> children_;
    std::vector<std::unique_ptr<Supervisor>> nested_;
    bool running_ = false;
    bool finished_ = true;
    bool failed_ = false;
    std::string failureReason_;
    StopToken stopToken_;

    boost::fibers::mutex mutex_;
    boost::fibers::condition_variable changed_;
    std::deque<End> ends_;
};

} // namespace jy
