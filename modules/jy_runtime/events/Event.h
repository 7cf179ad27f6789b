#pragma once

#include "jy_base/time/HybridClock.h"

#include <cstdint>
#include <functional>
#include <string>
#include <string_view>
#include <vector>

namespace jy {

/** One named value of an event. */
struct EventField
{
    std::string name;
    std::string value;

    bool operator==(const EventField &) const = default;
};

/**
 * Something that happened in a process and that operators see in the timeline.
 *
 * The field names "chat", "server", "workspace", "move" and "revision" are the ones that the
 * timeline filters by; use them whenever the event concerns such an object.
 */
struct Event
{
    /** Set by EventBuffer::record() when it is zero. */
    HybridTime time;

    /** Set by EventBuffer::record() when it is empty. */
    std::string process;

    /** Lower case with hyphens, for example "child-restarted". */
    std::string kind;

    std::vector<EventField> fields;

    /** Position in the event buffer of the process, from 1; set by EventBuffer::record(). */
    std::uint64_t sequence = 0;

    /** @returns the value of a field, or nullptr. */
    const std::string *field(std::string_view name) const
    {
        for (const auto &entry : fields) {
            if (entry.name == name)
                return &entry.value;
        }
        return nullptr;
    }
};

/** Receives events; usually bound to EventBuffer::record(). */
using EventSink = std::function<void(Event)>;

} // namespace jy
