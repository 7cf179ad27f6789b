#include "jy_runtime/logging/Log.h"

#include <log4cxx/consoleappender.h>
#include <log4cxx/logger.h>
#include <log4cxx/patternlayout.h>

#include <algorithm>
#include <array>
#include <charconv>

namespace jy {

namespace {

constexpr const char *loggerName = "jy";

bool needsQuotes(std::string_view text)
{
    return text.empty() || std::any_of(text.begin(), text.end(), [](char c) {
               const auto byte = static_cast<unsigned char>(c);
               return byte <= ' ' || byte == 0x7f || c == '=' || c == '"' || c == '\\';
           });
}

void appendEscaped(std::string &line, char c)
{
    constexpr std::string_view digits = "0123456789abcdef";
    const auto byte = static_cast<unsigned char>(c);
    switch (c) {
    case '"':
        line += "\\\"";
        return;
    case '\\':
        line += "\\\\";
        return;
    case '\n':
        line += "\\n";
        return;
    case '\r':
        line += "\\r";
        return;
    case '\t':
        line += "\\t";
        return;
    default:
        break;
    }
    if (byte < ' ' || byte == 0x7f) {
        line += "\\u00";
        line += digits[byte >> 4];
        line += digits[byte & 15];
    } else {
        line += c;
    }
}

void appendValue(std::string &line, std::string_view value)
{
    if (!needsQuotes(value)) {
        line += value;
        return;
    }
    line += '"';
    for (const char c : value)
        appendEscaped(line, c);
    line += '"';
}

log4cxx::LevelPtr toLog4cxx(LogLevel level)
{
    switch (level) {
    case LogLevel::Debug:
        return log4cxx::Level::getDebug();
    case LogLevel::Info:
        return log4cxx::Level::getInfo();
    case LogLevel::Warn:
        return log4cxx::Level::getWarn();
    case LogLevel::Error:
        break;
    }
    return log4cxx::Level::getError();
}

// The level is Off until setUpLogging() is called, so that unit tests log nothing.
log4cxx::LoggerPtr &logger()
{
    static log4cxx::LoggerPtr instance = [] {
        auto created = log4cxx::Logger::getLogger(loggerName);
        created->setAdditivity(false);
        created->setLevel(log4cxx::Level::getOff());
        return created;
    }();
    return instance;
}

} // namespace

LogField::LogField(std::string_view name, double number)
    : key(name)
{
    std::array<char, 32> buffer{};
    const auto result = std::to_chars(buffer.data(), buffer.data() + buffer.size(), number);
    value.assign(buffer.data(), result.ptr);
}

void setUpLogging(std::string_view process, LogLevel level, LogStream stream)
{
    std::string prefix;
    appendValue(prefix, process);
    // Percent signs are doubled, because they start a conversion specifier in a pattern.
    for (auto at = prefix.find('%'); at != std::string::npos; at = prefix.find('%', at + 2))
        prefix.insert(at, "%");
    const auto layout = std::make_shared<log4cxx::PatternLayout>(
        "time=%d{yyyy-MM-ddTHH:mm:ss.SSS}{GMT}Z level=%p process=" + prefix + " %m%n");
    const auto appender = std::make_shared<log4cxx::ConsoleAppender>(
        layout,
        stream == LogStream::StandardOutput ? log4cxx::ConsoleAppender::getSystemOut()
                                            : log4cxx::ConsoleAppender::getSystemErr());
    logger()->removeAllAppenders();
    logger()->addAppender(appender);
    logger()->setLevel(toLog4cxx(level));
}

void logEvent(LogLevel level, std::string_view event, std::initializer_list<LogField> fields)
{
    const auto target = toLog4cxx(level);
    if (logger()->isEnabledFor(target))
        logger()->forcedLog(target, formatLogLine(event, fields));
}

std::string formatLogLine(std::string_view event, std::initializer_list<LogField> fields)
{
    std::string line = "event=";
    appendValue(line, event);
    for (const auto &field : fields) {
        line += ' ';
        line += field.key;
        line += '=';
        appendValue(line, field.value);
    }
    return line;
}

} // namespace jy
