#pragma once

#include "jy_base/time/TimeTypes.h"
#include "jy_http/messages/ByteBudget.h"
#include "jy_runtime/program/FreedMemory.h"

#include <cstdint>
#include <functional>
#include <list>
#include <memory>
#include <string_view>

namespace jy {

/** Why a connection was closed for lack of memory; also the value of the metric's label. */
enum class MemoryClosure {
    Idle, /**< between two requests */
    IncompleteRequest,
    UnreadResponse, /**< its caller did not accept the bytes of a response */
    NoRoom, /**< a new connection or request that found no room */
};

std::string_view toString(MemoryClosure reason);

/**
 * The memory that callers make a process hold, over all servers that share this object.
 *
 * When little is left, it closes the connections that have been longest without progress. Their
 * memory is free only after their fibers have run, so closing begins before the account is full.
 */
class CallerMemory
{
public:
    /** Called for each closed connection. */
    using ClosedHook = std::function<void(MemoryClosure)>;

    /** @param limit in bytes */
    static std::shared_ptr<CallerMemory> create(std::size_t limit, ClosedHook closed = {});

    CallerMemory(const CallerMemory &) = delete;
    CallerMemory &operator=(const CallerMemory &) = delete;

    const std::shared_ptr<ByteBudget> &budget() const { return budget_; }

    /** Reports and logs a closed connection; at most one log line per second. */
    void closed(MemoryClosure reason);

    /** Time between two calls of returnFreedMemory(). */
    static constexpr std::chrono::seconds returnPeriod{1};

    /** Returns to the system what callers have freed, if it is much. */
    void returnFreedMemory();

    /** What closing a connection had as its cause, and the bytes that this will free. */
    struct Closed
    {
        MemoryClosure reason;
        std::size_t bytes;
    };

    /** One connection. */
    class Member
    {
    public:
        /**
         * @param memory null: no account
         * @param close closes the connection at once; it must not resize leases or destroy members
         */
        Member(std::shared_ptr<CallerMemory> memory, std::function<Closed()> close);
        Member(const Member &) = delete;
        Member &operator=(const Member &) = delete;
        ~Member();

        /** The connection made progress and may be closed from now on. */
        void progress();

        /** The connection may not be closed until its next progress. */
        void protect();

        /** Bytes that the connection holds, without its body. */
        ByteLease &lease() { return lease_; }

        const std::shared_ptr<CallerMemory> &memory() const { return memory_; }

    private:
        friend class CallerMemory;

        std::shared_ptr<CallerMemory> memory_;
        std::function<Closed()> close_;
        ByteLease lease_;
        std::list<Member *>::iterator position_;
        bool closable_ = false;

        /** Bytes that were held when the connection was closed. */
        std::size_t leaving_ = 0;
    };

private:
    explicit CallerMemory(std::size_t limit, ClosedHook closed);

    /** Closes connections until @p bytes more fit. */
    void makeRoom(std::size_t bytes);

    std::shared_ptr<ByteBudget> budget_;
    ClosedHook closed_;

    /** Connections that may be closed, the one longest without progress first. */
    std::list<Member *> closable_;

    /** Bytes of closed connections whose fibers have not yet ended. */
    std::size_t leaving_ = 0;
    FreedMemory freed_;
    TimePoint nextLogLine_;
    std::uint64_t closedSinceLogLine_ = 0;
};

} // namespace jy
