#pragma once

#include "jy_runtime/events/Event.h"

#include <cstdint>
#include <string>
#include <vector>

namespace jy {

/** The events of one process, or why there are none. */
struct ProcessEvents
{
    std::string process;
    std::vector<Event> events;

    /** Events that the process no longer holds. */
    std::uint64_t lost = 0;

    /** Empty when the events were collected. */
    std::string error;
};

/** Events of several processes in hybrid time order. */
struct Timeline
{
    std::vector<Event> events;

    /** Processes in alphabetical order, each with what is missing from it. */
    std::vector<ProcessEvents> processes;
};

/** Orders the events of all processes by hybrid time, process and sequence. */
Timeline mergeTimeline(std::vector<ProcessEvents> processes);

/** One line per event: UTC time, process, kind and key=value fields. */
std::string timelineText(const Timeline &timeline);

/** {"processes": [{"process", "lost", "error"}], "events": [...]}. */
std::string timelineJson(const Timeline &timeline);

/** A page without outside references: one lane per process, a filter and a table. */
std::string timelineHtml(const Timeline &timeline);

} // namespace jy
