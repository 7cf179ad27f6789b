#include "jy_http/sse/SseParser.h"

#include <algorithm>

namespace jy {

namespace {

constexpr std::string_view byteOrderMark = "\xEF\xBB\xBF";

void appendWithoutBreaks(std::string &out, std::string_view text)
{
    std::ranges::copy_if(text, std::back_inserter(out),
                         [](char c) { return c != '\n' && c != '\r'; });
}

} // namespace

std::string formatEvent(const ServerSentEvent &event)
{
    std::string out;
    if (!event.id.empty()) {
        out += "id: ";
        appendWithoutBreaks(out, event.id);
        out += '\n';
    }
    if (!event.event.empty()) {
        out += "event: ";
        appendWithoutBreaks(out, event.event);
        out += '\n';
    }
    std::string_view rest = event.data;
    while (true) {
        const auto line = rest.substr(0, rest.find('\n'));
        out.append("data: ").append(line).append("\n");
        if (line.size() == rest.size())
            break;
        rest.remove_prefix(line.size() + 1);
    }
    return out + '\n';
}

Result<std::vector<ServerSentEvent>> SseParser::feed(std::string_view bytes)
{
    std::vector<ServerSentEvent> out;
    while (!bytes.empty()) {
        if (afterCarriageReturn_ && bytes.front() == '\n') {
            bytes.remove_prefix(1);
            afterCarriageReturn_ = false;
            continue;
        }
        afterCarriageReturn_ = false;
        const auto end = bytes.find_first_of("\r\n");
        const auto part = bytes.substr(0, end);
        if (line_.size() + part.size() > limits_.maxLineBytes)
            return failure(ErrorKind::BackendBroken,
                           "an event line exceeds " + std::to_string(limits_.maxLineBytes)
                               + " bytes");
        line_ += part;
        if (end == std::string_view::npos)
            break;
        afterCarriageReturn_ = bytes[end] == '\r';
        bytes.remove_prefix(end + 1);
        endLine(out);
        if (event_.data.size() > limits_.maxEventBytes)
            return failure(ErrorKind::BackendBroken,
                           "an event exceeds " + std::to_string(limits_.maxEventBytes) + " bytes");
    }
    return out;
}

void SseParser::endLine(std::vector<ServerSentEvent> &out)
{
    std::string_view line = line_;
    if (firstLine_ && line.starts_with(byteOrderMark))
        line.remove_prefix(byteOrderMark.size());
    firstLine_ = false;
    if (line.empty()) {
        if (hasData_)
            out.push_back(std::move(event_));
        event_ = {};
        hasFields_ = hasData_ = false;
    } else if (line.front() != ':') {
        const auto colon = line.find(':');
        auto value = colon == std::string_view::npos ? std::string_view() : line.substr(colon + 1);
        if (value.starts_with(' '))
            value.remove_prefix(1);
        field(line.substr(0, colon), value);
    }
    line_.clear();
}

void SseParser::field(std::string_view name, std::string_view value)
{
    hasFields_ = true;
    if (name == "data") {
        if (hasData_)
            event_.data += '\n';
        event_.data += value;
        hasData_ = true;
    } else if (name == "event") {
        event_.event = value;
    } else if (name == "id" && value.find('\0') == std::string_view::npos) {
        event_.id = value;
    }
}

} // namespace jy
