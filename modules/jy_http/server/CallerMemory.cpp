#include "jy_http/server/CallerMemory.h"

#include "jy_runtime/logging/Log.h"

namespace jy {

namespace {

using Clock = std::chrono::steady_clock;

// Connections are closed when less than this part of the limit is left.
constexpr std::size_t reservedDivisor = 8;

// Freed memory is returned once it is this part of the limit.
constexpr std::size_t freedDivisor = 8;

constexpr std::chrono::seconds logInterval{1};

} // namespace

std::string_view toString(MemoryClosure reason)
{
    switch (reason) {
    case MemoryClosure::Idle:
        return "idle";
    case MemoryClosure::IncompleteRequest:
        return "incomplete-request";
    case MemoryClosure::UnreadResponse:
        return "unread-response";
    case MemoryClosure::NoRoom:
        break;
    }
    return "no-room";
}

std::shared_ptr<CallerMemory> CallerMemory::create(std::size_t limit, ClosedHook closed)
{
    std::shared_ptr<CallerMemory> memory(new CallerMemory(limit, std::move(closed)));
    memory->budget_->setBeforeGrowth([weak = std::weak_ptr(memory)](std::size_t bytes) {
        if (const auto current = weak.lock())
            current->makeRoom(bytes);
    });
    return memory;
}

CallerMemory::CallerMemory(std::size_t limit, ClosedHook closed)
    : budget_(std::make_shared<ByteBudget>(limit))
    , closed_(std::move(closed))
    , freed_(limit / freedDivisor)
{ }

void CallerMemory::closed(MemoryClosure reason)
{
    if (closed_)
        closed_(reason);
    ++closedSinceLogLine_;
    const auto now = Clock::now();
    if (now < nextLogLine_)
        return;
    nextLogLine_ = now + logInterval;
    logEvent(LogLevel::Warn, "caller-connections-closed",
             {{"reason", toString(reason)},
              {"count", closedSinceLogLine_},
              {"used_bytes", budget_->used()},
              {"limit_bytes", budget_->limit()}});
    closedSinceLogLine_ = 0;
}

void CallerMemory::returnFreedMemory()
{
    const auto peak = budget_->takeRecentPeak();
    freed_.update(peak, budget_->used());
}

void CallerMemory::makeRoom(std::size_t bytes)
{
    const auto target = budget_->limit() - budget_->limit() / reservedDivisor;
    while (!closable_.empty() && budget_->used() + bytes > target + leaving_) {
        auto &member = *closable_.front();
        member.protect();
        const auto closing = member.close_();
        member.leaving_ = closing.bytes;
        leaving_ += closing.bytes;
        closed(closing.reason);
    }
}

CallerMemory::Member::Member(std::shared_ptr<CallerMemory> memory, std::function<Closed()> close)
    : memory_(std::move(memory))
    , close_(std::move(close))
    , lease_(memory_ ? memory_->budget_ : nullptr)
{ }

CallerMemory::Member::~Member()
{
    protect();
    if (memory_)
        memory_->leaving_ -= leaving_;
}

void CallerMemory::Member::progress()
{
    if (!memory_ || leaving_ > 0)
        return;
    if (closable_) {
        memory_->closable_.splice(memory_->closable_.end(), memory_->closable_, position_);
        return;
    }
    position_ = memory_->closable_.insert(memory_->closable_.end(), this);
    closable_ = true;
}

void CallerMemory::Member::protect()
{
    if (!closable_)
        return;
    memory_->closable_.erase(position_);
    closable_ = false;
}

} // namespace jy
