#include "jy_runtime/supervision/Supervisor.h"

#include "jy_runtime/fibers/EventLoop.h"
#include "jy_runtime/logging/Log.h"

#include <exception>
#include <mutex>
#include <stdexcept>
#include <utility>

namespace jy {

struct Supervisor::Child
{
    std::string name;
    ChildBody body;
    ChildKind kind = ChildKind::Permanent;
    StopToken token;
    bool alive = false;
};

/** The end of one run of a child. */
struct Supervisor::End
{
    Child *child = nullptr;

    /** Empty for a child that returned. */
    std::string error;
};

namespace {

std::string describeCurrentException()
{
    try {
        throw;
    } catch (const std::exception &error) {
        return error.what();
    } catch (...) {
        return "unknown exception";
    }
}

/** Runs @p body and returns its error, or an empty text. */
std::string runGuarded(const Supervisor::ChildBody &body, StopToken &token)
{
    try {
        body(token);
        return {};
    } catch (const boost::context::detail::forced_unwind &) {
        throw; // Boost.Fiber ends a fiber this way at thread exit.
    } catch (...) {
        return describeCurrentException();
    }
}

} // namespace

Result<std::unique_ptr<Supervisor>> Supervisor::create(std::string name, RestartPolicy policy,
                                                       EventSink events)
{
    if (policy.maxRestarts < 0 || policy.window <= std::chrono::milliseconds{0}
        || policy.restartDelay < std::chrono::milliseconds{0}) {
        return failure(ErrorKind::SettingsInvalid,
                       "supervisor " + name + ": negative restart limit, window or delay");
    }
    std::unique_ptr<Supervisor> root(new Supervisor(std::move(name), policy, std::move(events)));
    root->running_ = true;
    root->finished_ = false;
    EventLoop::spawn([self = root.get()] { self->run(); });
    return root;
}

Supervisor::Supervisor(std::string name, RestartPolicy policy, EventSink events)
    : name_(std::move(name))
    , policy_(policy)
    , events_(std::move(events))
    , limiter_(policy.maxRestarts, policy.window)
{ }

Supervisor::~Supervisor()
{
    stop();
}

void Supervisor::addChild(std::string name, ChildBody body, ChildKind kind)
{
    children_.push_back(std::make_unique<Child>());
    auto &child = *children_.back();
    child.name = std::move(name);
    child.body = std::move(body);
    child.kind = kind;
    if (running_)
        start(child);
}

Supervisor &Supervisor::addSupervisor(std::string name, RestartPolicy policy)
{
    nested_.push_back(
        std::unique_ptr<Supervisor>(new Supervisor(name_ + '/' + name, policy, events_)));
    auto *nested = nested_.back().get();
    addChild(std::move(name), [nested](StopToken &token) {
        nested->stopToken_ = token;
        nested->runChildren();
        if (nested->failed_)
            throw std::runtime_error(nested->failureReason_);
    });
    return *nested;
}

void Supervisor::onFailure(std::function<void(const std::string &)> hook)
{
    failureHook_ = std::move(hook);
}

void Supervisor::stop()
{
    if (finished_)
        return;
    requestStop();
    std::unique_lock lock(mutex_);
    changed_.wait(lock, [this] { return finished_; });
}

void Supervisor::requestStop()
{
    stopToken_.requestStop();
}

/** Body of the root's monitor fiber. */
void Supervisor::run()
{
    runChildren();
    if (failed_) {
        logEvent(LogLevel::Error, "supervisor-failed",
                 {{"supervisor", name_}, {"reason", failureReason_}});
        if (failureHook_)
            failureHook_(failureReason_);
    }
    const std::lock_guard lock(mutex_);
    finished_ = true;
    changed_.notify_all();
}

/** Runs the children until a stop is requested or the restart limit is exceeded. */
void Supervisor::runChildren()
{
    failed_ = false;
    running_ = true;
    const auto wake = stopToken_.onStop([this] {
        const std::lock_guard lock(mutex_);
        changed_.notify_all();
    });
    for (const auto &child : children_) {
        if (!child->alive)
            start(*child);
    }
    while (!failed_ && !stopToken_.stopRequested()) {
        End end;
        {
            std::unique_lock lock(mutex_);
            changed_.wait(lock, [this] { return !ends_.empty() || stopToken_.stopRequested(); });
            if (stopToken_.stopRequested())
                break;
            end = std::move(ends_.front());
            ends_.pop_front();
        }
        handleEnd(end);
    }
    running_ = false;
    stopChildren();
}

void Supervisor::start(Child &child)
{
    child.token = StopToken{};
    child.alive = true;
    EventLoop::spawn([this, &child] {
        auto error = runGuarded(child.body, child.token);
        const std::lock_guard lock(mutex_);
        child.alive = false;
        ends_.push_back({&child, std::move(error)});
        changed_.notify_all();
    });
}

void Supervisor::handleEnd(const End &end)
{
    auto &child = *end.child;
    // Skips a child that ended while it was being stopped and runs again.
    if (child.alive)
        return;
    if (end.error.empty() && child.kind == ChildKind::Transient)
        return;
    const auto reason = end.error.empty() ? std::string("returned") : end.error;
    if (!limiter_.allow(std::chrono::steady_clock::now())) {
        failureReason_ = child.name + ": " + reason;
        failed_ = true;
        record("supervisor-escalated",
               {{"supervisor", name_}, {"child", child.name}, {"reason", reason}});
        return;
    }
    restart(child, reason);
}

void Supervisor::restart(Child &ended, const std::string &reason)
{
    record("child-restarted", {{"supervisor", name_}, {"child", ended.name}, {"reason", reason}});
    if (!stopToken_.sleepFor(policy_.restartDelay))
        return;
    if (policy_.strategy == RestartStrategy::OneForOne) {
        start(ended);
        return;
    }
    stopChildren();
    for (const auto &child : children_)
        start(*child);
}

void Supervisor::stopChildren()
{
    for (auto child = children_.rbegin(); child != children_.rend(); ++child)
        stopChild(**child);
    ends_.clear();
}

void Supervisor::stopChild(Child &child)
{
    if (!child.alive)
        return;
    child.token.requestStop();
    const auto ended = [&child] { return !child.alive; };
    std::unique_lock lock(mutex_);
    if (changed_.wait_for(lock, policy_.slowStop, ended))
        return;
    record("child-stop-slow", {{"supervisor", name_}, {"child", child.name}});
    // The fiber uses objects that outlive only this call, so there is no way to go on without it.
    changed_.wait(lock, ended);
}

void Supervisor::record(std::string kind, std::vector<EventField> fields)
{
    const auto text = [&fields](std::string_view name) {
        for (const auto &field : fields) {
            if (field.name == name)
                return field.value;
        }
        return std::string();
    };
    logEvent(LogLevel::Warn, kind,
             {{"supervisor", name_}, {"child", text("child")}, {"reason", text("reason")}});
    if (events_)
        events_({.kind = std::move(kind), .fields = std::move(fields)});
}

} // namespace jy
