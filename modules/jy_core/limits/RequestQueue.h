#pragma once

#include "jy_base/errors/Error.h"
#include "jy_base/ids/Ids.h"
#include "jy_base/time/TimeTypes.h"
#include "jy_core/limits/FairShare.h"

#include <cstddef>
#include <cstdint>
#include <optional>
#include <vector>

namespace jy {

enum class Priority {
    Low,
    Normal,
    High,
};

/** One request that waits for a server. */
struct QueueEntry
{
    std::uint64_t ticket = 0;
    WorkspaceId workspace;
    double weight = 1;
    Priority priority = Priority::Normal;

    /** Time at which the entry must have left the queue. */
    TimePoint deadline;
};

/**
 * Bounded queue of one server, ordered by priority, then by the workspace's use of the server per
 * unit of weight, then by arrival.
 */
class RequestQueue
{
public:
    explicit RequestQueue(std::size_t capacity);

    /**
     * Adds an entry.
     *
     * Errors: DeadlineTooShort when the entry would wait past its deadline, Overloaded when the
     * queue is full of entries that go first.
     *
     * @param inFlight current use of the server
     * @param slotTime mean time between two requests that finish; zero when unknown
     * @returns the entry that had to make room, if any: the last in order of a full queue
     */
    Result<std::optional<QueueEntry>> push(QueueEntry entry, const FairShare &inFlight,
                                           Duration slotTime, TimePoint now);

    /** Removes the entry that goes first. */
    std::optional<QueueEntry> pop(const FairShare &inFlight);

    /** Removes the entries whose deadline has passed. */
    std::vector<QueueEntry> expire(TimePoint now);

    /** Removes an entry. @returns whether it was queued. */
    bool cancel(std::uint64_t ticket);

    /** Removes all entries. */
    std::vector<QueueEntry> drain();

    void setCapacity(std::size_t capacity) { capacity_ = capacity; }
    std::size_t size() const { return entries_.size(); }
    bool empty() const { return entries_.empty(); }

private:
    /** Whether @p a is served before @p b. Queued entries of the same workspace count as use. */
    bool goesFirst(const QueueEntry &a, const QueueEntry &b, const FairShare &inFlight) const;
    double usage(const QueueEntry &entry, const FairShare &inFlight) const;

    std::size_t capacity_;
    std::vector<QueueEntry> entries_;
};

} // namespace jy
