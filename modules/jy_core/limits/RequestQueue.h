#pragma once

#include "jy_base/errors/Error.h"
#include "jy_base/ids/Ids.h"
#include "jy_base/time/TimeTypes.h"
#include "jy_core/limits/FairShare.h"

#include <cstddef>
#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <set>
#include <unordered_map>
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

    /** The same for all entries of a workspace. */
    double weight = 1;

    /** Entries with a higher one are served first. */
    int urgency = 0;

    /** Time at which the entry expires. */
    TimePoint deadline;

    /** Among the entries of a workspace with the same urgency, the earliest is served first. */
    TimePoint precedence;

    /** Memory that the request takes while it waits. */
    std::size_t bytes = 0;
};

/**
 * Bounded request queue, ordered by urgency, then by the requests in flight of the workspace per
 * unit of weight, then by precedence, then by arrival.
 *
 * The cost of removing an entry grows with the number of workspaces that have entries, that of
 * adding one with the number of entries.
 */
class RequestQueue
{
public:
    static constexpr std::size_t unlimited = static_cast<std::size_t>(-1);

    /** @param maxBytes limit of the sum of QueueEntry::bytes */
    explicit RequestQueue(std::size_t capacity, std::size_t maxBytes = unlimited);

    /**
     * Adds an entry.
     *
     * Errors: DeadlineTooShort when the expected wait exceeds the deadline, Overloaded when the
     * queue is full of entries that are served earlier.
     *
     * @param inFlight requests in flight, by workspace
     * @param slotTime mean time until a request slot becomes free; zero when unknown
     * @returns the entries that were removed to make room, which were the last in order
     */
    Result<std::vector<QueueEntry>> push(QueueEntry entry, const FairShare &inFlight,
                                         Duration slotTime, TimePoint now);

    /** Removes the first entry in order; nothing if the queue is empty. */
    std::optional<QueueEntry> pop(const FairShare &inFlight);

    /**
     * Removes the last entries in order as long as their expected wait exceeds their deadline.
     *
     * @param slotTime see push()
     */
    std::vector<QueueEntry> removeHopeless(const FairShare &inFlight, Duration slotTime,
                                           TimePoint now);

    /** Removes the entries whose deadline has passed. */
    std::vector<QueueEntry> expire(TimePoint now);

    /** Removes an entry. @returns whether it was queued. */
    bool cancel(std::uint64_t ticket);

    /** Removes all entries. */
    std::vector<QueueEntry> drain();

    /** Number of entries with at least the given urgency. */
    std::size_t countFrom(int urgency) const;

    /** Earliest deadline of an entry; nothing if the queue is empty. */
    std::optional<TimePoint> nextDeadline() const;

    void setCapacity(std::size_t capacity) { capacity_ = capacity; }
    std::size_t size() const { return positions_.size(); }
    bool empty() const { return positions_.empty(); }

private:
    struct Position
    {
        int urgency = 0;
        WorkspaceId workspace;
        TimePoint precedence;
        TimePoint deadline;
    };

    /** Order of the entries of one workspace. */
    struct Rank
    {
        TimePoint precedence;
        std::uint64_t ticket = 0;

        auto operator<=>(const Rank &) const = default;
    };

    /** Order of the entries of one urgency. */
    struct Order
    {
        double usage = 0;
        Rank rank;

        auto operator<=>(const Order &) const = default;
    };

    using Entries = std::map<Rank, QueueEntry>;
    using Workspaces = std::map<WorkspaceId, Entries>;

    /** Requests of the workspace per unit of weight, in flight or served before an entry. */
    static double usage(const QueueEntry &entry, std::size_t before, const FairShare &inFlight);

    /** Number of entries that are served before @p entry, which is not queued. */
    std::size_t countBefore(const QueueEntry &entry, const FairShare &inFlight) const;

    const QueueEntry &last(const FairShare &inFlight) const;
    QueueEntry remove(std::uint64_t ticket);
    void insert(QueueEntry entry);

    std::size_t capacity_;
    std::size_t maxBytes_;
    std::size_t bytes_ = 0;

    /** Entries by urgency, the highest first. */
    std::map<int, Workspaces, std::greater<>> entries_;
    std::unordered_map<std::uint64_t, Position> positions_;
    std::set<std::pair<TimePoint, std::uint64_t>> deadlines_;
};

} // namespace jy
