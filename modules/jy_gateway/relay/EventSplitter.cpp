#include "jy_gateway/relay/EventSplitter.h"

#include <algorithm>
#include <array>

namespace jy {

namespace {

constexpr std::array<std::string_view, 3> eventEnds = {"\n\n", "\r\n\r\n", "\r\r"};

// Position after the last complete event; 0 if there is none.
std::size_t endOfEvents(std::string_view text)
{
    std::size_t end = 0;
    for (const auto mark : eventEnds) {
        const auto position = text.rfind(mark);
        if (position != std::string_view::npos)
            end = std::max(end, position + mark.size());
    }
    return end;
}

} // namespace

std::string EventSplitter::add(std::string_view bytes)
{
    pending_ += bytes;
    const auto end = endOfEvents(pending_);
    std::string events = pending_.substr(0, end);
    pending_.erase(0, end);
    noteFields(events);
    return events;
}

void EventSplitter::noteFields(std::string_view events)
{
    constexpr std::string_view field = "id:";
    constexpr std::string_view data = "data";
    madeProgress_ = false;
    std::size_t start = 0;
    while (start < events.size()) {
        const auto end = std::min(events.find_first_of("\r\n", start), events.size());
        auto line = events.substr(start, end - start);
        madeProgress_ = madeProgress_ || line.starts_with(data) || line.starts_with(field);
        if (line.starts_with(field)) {
            line.remove_prefix(field.size());
            if (line.starts_with(' '))
                line.remove_prefix(1);
            lastId_ = line;
        }
        start = end + 1;
    }
}

} // namespace jy
