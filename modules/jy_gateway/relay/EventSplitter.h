#pragma once

#include <string>
#include <string_view>

namespace jy {

/**
 * Splits a server-sent event stream into complete events.
 *
 * Events are forwarded unchanged, but only when complete: a stream that breaks off within an event
 * can then continue at another backend server after the last complete event.
 */
class EventSplitter
{
public:
    /** Adds received bytes. @returns the events completed by them, as received; may be empty */
    std::string add(std::string_view bytes);

    /** Id of the latest complete event that has one; empty if there was none. */
    const std::string &lastId() const { return lastId_; }

    /**
     * Whether the last add() completed an event with an id or data. Comments, which some servers
     * send to keep a connection open, do not count as progress.
     */
    bool madeProgress() const { return madeProgress_; }

    /** Number of buffered bytes of an incomplete event. */
    std::size_t remainder() const { return pending_.size(); }
    bool hasRemainder() const { return !pending_.empty(); }

    /** Drops the bytes of an incomplete event, before another server continues the stream. */
    void dropRemainder() { pending_.clear(); }

private:
    void noteFields(std::string_view events);

    std::string pending_;
    std::string lastId_;
    bool madeProgress_ = false;
};

} // namespace jy
