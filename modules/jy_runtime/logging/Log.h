#pragma once

#include "jy_base/ids/Ids.h"

#include <chrono>
#include <concepts>
#include <initializer_list>
#include <string>
#include <string_view>

namespace jy {

enum class LogLevel {
    Debug,
    Info,
    Warn,
    Error,
};

/** One key=value pair of a log line. */
struct LogField
{
    std::string_view key;
    std::string value;

    LogField(std::string_view name, std::string text)
        : key(name)
        , value(std::move(text))
    { }
    LogField(std::string_view name, std::string_view text)
        : key(name)
        , value(text)
    { }
    LogField(std::string_view name, const char *text)
        : key(name)
        , value(text)
    { }
    LogField(std::string_view name, bool flag)
        : key(name)
        , value(flag ? "true" : "false")
    { }
    LogField(std::string_view name, std::integral auto number)
        : key(name)
        , value(std::to_string(number))
    { }
    LogField(std::string_view name, double number);

    /** Written in milliseconds; the key should end in "_ms". */
    template <class Rep, class Period>
    LogField(std::string_view name, std::chrono::duration<Rep, Period> duration)
        : LogField(name, std::chrono::duration_cast<std::chrono::milliseconds>(duration).count())
    { }

    template <class Tag>
    LogField(std::string_view name, const Id<Tag> &id)
        : LogField(name, id.value())
    { }
};

enum class LogStream {
    StandardError,
    StandardOutput,
};

/**
 * Sends log lines of this process to a standard stream.
 *
 * @param process value of the "process" field of every line
 * @param level lines below it are dropped
 */
void setUpLogging(std::string_view process, LogLevel level,
                  LogStream stream = LogStream::StandardError);

/**
 * Writes one line: time, level, process, event and the fields as key=value pairs.
 *
 * @param event lower case with hyphens, for example "request-done"
 * @param fields use "request" for request ids, so that lines of one request can be found
 */
void logEvent(LogLevel level, std::string_view event, std::initializer_list<LogField> fields);

/**
 * The part of a log line that depends on the event only.
 *
 * A value is quoted when it is empty or contains a space, '=', '"', a backslash or a control
 * character; inside quotes, '"', backslash, line feed, carriage return and tab are escaped as in
 * JSON, other control characters as \u00XX. A line therefore never spans lines.
 */
std::string formatLogLine(std::string_view event, std::initializer_list<LogField> fields);

} // namespace jy
