#pragma once

#include "jy_base/errors/Error.h"
#include "jy_runtime/events/Event.h"

#include <cstddef>
#include <deque>
#include <functional>
#include <map>
#include <string>

namespace jy {

/** Selects events; an empty member selects everything. */
struct EventFilter
{
    std::string chat;
    std::string server;
    std::string workspace;
    std::string move;
    std::string revision;

    /** Event kind. */
    std::string kind;

    bool matches(const Event &event) const;
};

/** Part of an event buffer. */
struct EventPage
{
    /** Oldest first. */
    std::vector<Event> events;

    /** Pass this to the next EventBuffer::since() call. */
    std::uint64_t nextSequence = 0;

    /** Events after the requested position that the ring no longer holds. */
    std::uint64_t lost = 0;
};

/**
 * Bounded ring of the events of one process, stamped with a hybrid logical clock.
 *
 * The memory bound is capacity × (maxFields × 2 × maxTextBytes) in the worst case; usual events
 * need about 200 bytes.
 */
class EventBuffer
{
public:
    /** Longer texts are cut, so that one event cannot defeat the bound. */
    static constexpr std::size_t maxTextBytes = 256;
    static constexpr std::size_t maxFields = 16;

    using WallClock = std::function<WallTime()>;

    /**
     * @param process name of the process in the timeline, usually the instance id
     * @param capacity number of events kept
     * @param wallClock the system clock, or a test's clock
     */
    EventBuffer(std::string process, std::size_t capacity,
                WallClock wallClock = std::chrono::system_clock::now);

    /** Adds an event and evicts the oldest one when the ring is full. */
    void record(Event event);

    /** A sink that records here; the buffer must outlive it. */
    EventSink sink();

    /**
     * Events after a position.
     *
     * @param sequence the last position that the reader has, 0 for all
     * @param limit largest number of events returned; the rest follows from nextSequence
     */
    EventPage since(std::uint64_t sequence, const EventFilter &filter = {},
                    std::size_t limit = 1000) const;

    /** Timestamp for an outgoing message. */
    HybridTime now();

    /** Merges the timestamp of a received message, so that later events here sort after it. */
    void observe(HybridTime remote);

    /** Events recorded since the start, including those no longer held, by kind. */
    const std::map<std::string, std::uint64_t> &recordedByKind() const { return recordedByKind_; }

    const std::string &process() const { return process_; }
    std::size_t size() const { return events_.size(); }

private:
    std::string process_;
    std::size_t capacity_;
    WallClock wallClock_;
    HybridClock clock_;
    std::deque<Event> events_;
    std::uint64_t lastSequence_ = 0;
    std::map<std::string, std::uint64_t> recordedByKind_;
};

} // namespace jy
