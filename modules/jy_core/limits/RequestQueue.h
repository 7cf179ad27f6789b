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

/** A request that waits for a server. */
struct QueueEntry
{
    std::uint64_t ticket = 0;
    WorkspaceId workspace;
    double weight = 1;
    Priority priority = Priority::Normal;

    /** Time at which the entry expires. */
    TimePoint deadline;
};

/**
 * Bounded request queue of one server, ordered by priority, then by the requests in flight of the
 * workspace per unit of weight, then by arrival.
 */
class RequestQueue
{
public:
    explicit RequestQueue(std::size_t capacity);

    /**
     * Adds an entry.
     *
     * Errors: DeadlineTooShort when the expected wait exceeds the deadline, Overloaded when the
     * queue is full of entries that are served earlier.
     *
     * @param inFlight requests in flight at the server, by workspace
     * @param slotTime mean time until a request slot becomes free; zero when unknown
     * @returns the entry that was evicted from a full queue, which is the last in order, if any
     */
    Result<std::optional<QueueEntry>> push(QueueEntry entry, const FairShare &inFlight,
                                           Duration slotTime, TimePoint now);

    /** Removes the first entry in order; nothing if the queue is empty. */
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
    /** Whether @p a is served before @p b. */
    bool isServedBefore(const QueueEntry &a, const QueueEntry &b, const FairShare &inFlight) const;

    /** Requests of the workspace per unit of weight, in flight or queued before @p entry. */
    double usage(const QueueEntry &entry, const FairShare &inFlight) const;

    std::size_t capacity_;
    std::vector<QueueEntry> entries_;
};

} // namespace jy
