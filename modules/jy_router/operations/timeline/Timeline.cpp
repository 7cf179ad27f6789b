#include "jy_router/operations/timeline/Timeline.h"

#include "jy_core/config/WallTimeText.h"
#include "jy_runtime/events/EventJson.h"
#include "jy_runtime/logging/Log.h"

#include <boost/json/array.hpp>
#include <boost/json/serialize.hpp>

#include <algorithm>
#include <iterator>
#include <tuple>

namespace jy {

namespace {

namespace json = boost::json;

std::string fieldText(const EventField &field)
{
    // Reuses the quoting of log lines, without their "event=" part.
    const auto line = formatLogLine("x", {{field.name, field.value}});
    return line.substr(std::string_view("event=x ").size());
}

/** All times have milliseconds, so that columns align. */
std::string timeText(const HybridTime &time)
{
    constexpr std::size_t sizeWithoutMilliseconds = 20;
    auto text = wallTimeText(WallTime(std::chrono::milliseconds(time.wallMs)));
    if (text.size() == sizeWithoutMilliseconds)
        text.insert(text.size() - 1, ".000");
    return text;
}

} // namespace

Timeline mergeTimeline(std::vector<ProcessEvents> processes)
{
    Timeline timeline;
    for (auto &process : processes) {
        std::move(process.events.begin(), process.events.end(),
                  std::back_inserter(timeline.events));
        process.events.clear();
    }
    std::sort(timeline.events.begin(), timeline.events.end(), [](const Event &a, const Event &b) {
        return std::tie(a.time, a.process, a.sequence) < std::tie(b.time, b.process, b.sequence);
    });
    std::sort(processes.begin(), processes.end(),
              [](const auto &a, const auto &b) { return a.process < b.process; });
    timeline.processes = std::move(processes);
    return timeline;
}

std::string timelineText(const Timeline &timeline)
{
    std::string text;
    for (const auto &process : timeline.processes) {
        if (!process.error.empty())
            text += "# " + process.process + ": no events: " + process.error + '\n';
        else if (process.lost > 0)
            text += "# " + process.process + ": " + std::to_string(process.lost)
                + " older events are no longer held\n";
    }
    for (const auto &event : timeline.events) {
        text += timeText(event.time) + '+' + std::to_string(event.time.counter) + ' '
            + event.process + ' ' + event.kind;
        for (const auto &field : event.fields)
            text += ' ' + fieldText(field);
        text += '\n';
    }
    return text;
}

std::string timelineJson(const Timeline &timeline)
{
    json::array processes;
    for (const auto &process : timeline.processes) {
        processes.push_back(json::object{
            {"process", process.process}, {"lost", process.lost}, {"error", process.error}});
    }
    json::array events;
    for (const auto &event : timeline.events) {
        auto object = toJson(event);
        object.emplace("time", timeText(event.time));
        events.push_back(std::move(object));
    }
    return json::serialize(
               json::object{{"processes", std::move(processes)}, {"events", std::move(events)}})
        + '\n';
}

} // namespace jy
