#include "jy_runtime/events/EventBuffer.h"

#include <algorithm>
#include <utility>

namespace jy {

namespace {

bool fieldMatches(const Event &event, std::string_view name, const std::string &wanted)
{
    if (wanted.empty())
        return true;
    const auto *value = event.field(name);
    return value && *value == wanted;
}

void truncate(std::string &text)
{
    // A copy, as resize() would keep the memory of the whole text.
    if (text.size() > EventBuffer::maxTextBytes)
        text = std::string(text, 0, EventBuffer::maxTextBytes);
}

} // namespace

bool EventFilter::matches(const Event &event) const
{
    return (kind.empty() || event.kind == kind) && fieldMatches(event, "chat", chat)
        && fieldMatches(event, "server", server) && fieldMatches(event, "workspace", workspace)
        && fieldMatches(event, "move", move) && fieldMatches(event, "revision", revision);
}

EventBuffer::EventBuffer(std::string process, std::size_t capacity, WallClock wallClock)
    : process_(std::move(process))
    , capacity_(std::max<std::size_t>(capacity, 1))
    , wallClock_(std::move(wallClock))
{ }

void EventBuffer::record(Event event)
{
    if (event.time == HybridTime{})
        event.time = clock_.tick(wallClock_());
    if (event.process.empty())
        event.process = process_;
    if (event.fields.size() > maxFields)
        event.fields.resize(maxFields);
    truncate(event.kind);
    for (auto &field : event.fields) {
        truncate(field.name);
        truncate(field.value);
    }
    event.sequence = ++lastSequence_;
    ++recordedByKind_[event.kind];
    if (events_.size() == capacity_)
        events_.pop_front();
    events_.push_back(std::move(event));
}

EventSink EventBuffer::sink()
{
    return [this](Event event) { record(std::move(event)); };
}

EventPage EventBuffer::since(std::uint64_t sequence, const EventFilter &filter,
                             std::size_t limit) const
{
    EventPage page;
    page.nextSequence = lastSequence_;
    if (sequence >= lastSequence_)
        return page;
    const auto oldestSequence = events_.front().sequence;
    page.lost = sequence + 1 < oldestSequence ? oldestSequence - sequence - 1 : 0;
    const auto start = sequence + 1 > oldestSequence ? sequence + 1 - oldestSequence : 0;
    for (auto i = static_cast<std::size_t>(start); i < events_.size(); ++i) {
        if (!filter.matches(events_[i]))
            continue;
        if (page.events.size() == limit) {
            page.nextSequence = events_[i].sequence - 1;
            break;
        }
        page.events.push_back(events_[i]);
    }
    return page;
}

HybridTime EventBuffer::now()
{
    return clock_.tick(wallClock_());
}

void EventBuffer::observe(HybridTime remote)
{
    clock_.receive(remote, wallClock_());
}

} // namespace jy
