#pragma once

#include "jy_base/errors/Error.h"

#include <string>
#include <string_view>
#include <vector>

namespace jy {

/** One server-sent event. */
struct ServerSentEvent
{
    /** The event's own id, empty when it has none. */
    std::string id;

    /** Event type, empty for the default type "message". */
    std::string event;

    /** Data lines joined by line feeds. */
    std::string data;

    bool operator==(const ServerSentEvent &) const = default;
};

/** Serialises an event, ending with the empty line. Line breaks in id and event are dropped. */
std::string formatEvent(const ServerSentEvent &event);

/**
 * Incremental parser of a `text/event-stream` body with bounded memory.
 *
 * Source: WHATWG HTML, section 9.2.6. Unlike there, an id without data is dispatched with the
 * next event only, and ids are reported per event instead of carried forward.
 */
class SseParser
{
public:
    struct Limits
    {
        std::size_t maxLineBytes = 64 * 1024;
        std::size_t maxEventBytes = 64 * 1024;
    };

    SseParser()
        : SseParser(Limits{})
    { }
    explicit SseParser(Limits limits)
        : limits_(limits)
    { }

    /**
     * Takes the next bytes of the stream, divided anywhere.
     *
     * @returns the events completed by @p bytes; BackendBroken when a limit is exceeded, after
     *          which the parser must not be used again
     */
    Result<std::vector<ServerSentEvent>> feed(std::string_view bytes);

    /** Whether bytes of an event have arrived whose end has not. */
    bool hasPartialEvent() const { return !line_.empty() || hasFields_; }

private:
    void endLine(std::vector<ServerSentEvent> &out);
    void field(std::string_view name, std::string_view value);

    Limits limits_;
    std::string line_;
    ServerSentEvent event_;
    bool hasFields_ = false;
    bool hasData_ = false;
    bool afterCarriageReturn_ = false;
    bool firstLine_ = true;
};

} // namespace jy
