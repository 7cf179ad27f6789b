#include "jy_runtime/settings/Settings.h"

#include <boost/json/serialize.hpp>
#include <boost/json/stream_parser.hpp>

#include <algorithm>
#include <cerrno>
#include <fstream>
#include <sstream>
#include <system_error>

namespace jy {

namespace {

std::string position(std::string_view text, std::size_t offset)
{
    const auto before = text.substr(0, std::min(offset, text.size()));
    const auto line = std::count(before.begin(), before.end(), '\n') + 1;
    const auto lineStart = before.rfind('\n');
    const auto column = lineStart == std::string_view::npos ? offset : offset - lineStart - 1;
    return std::to_string(line) + ':' + std::to_string(column + 1);
}

bool fitsOnOneLine(const boost::json::array &array)
{
    return std::none_of(array.begin(), array.end(),
                        [](const boost::json::value &value) { return value.is_structured(); });
}

void appendPretty(std::string &out, const boost::json::value &value, const std::string &indent);

void appendObject(std::string &out, const boost::json::object &object, const std::string &indent)
{
    const auto inner = indent + "  ";
    out += '{';
    const char *separator = "\n";
    for (const auto &entry : object) {
        out += separator + inner + boost::json::serialize(boost::json::value(entry.key())) + ": ";
        appendPretty(out, entry.value(), inner);
        separator = ",\n";
    }
    out += object.empty() ? "}" : '\n' + indent + '}';
}

void appendArray(std::string &out, const boost::json::array &array, const std::string &indent)
{
    const bool oneLine = fitsOnOneLine(array);
    const auto inner = indent + "  ";
    out += '[';
    bool first = true;
    for (const auto &element : array) {
        if (!first)
            out += oneLine ? ", " : ",";
        if (!oneLine)
            out += '\n' + inner;
        appendPretty(out, element, inner);
        first = false;
    }
    out += oneLine ? "]" : '\n' + indent + ']';
}

void appendPretty(std::string &out, const boost::json::value &value, const std::string &indent)
{
    if (const auto *object = value.if_object())
        appendObject(out, *object, indent);
    else if (const auto *array = value.if_array())
        appendArray(out, *array, indent);
    else
        out += boost::json::serialize(value);
}

} // namespace

Result<std::string> readTextFile(const std::string &file)
{
    errno = 0;
    std::ifstream stream(file, std::ios::binary);
    std::ostringstream content;
    // Copying an empty file sets the fail bit of the output stream, which is not an error here.
    if (stream && (content << stream.rdbuf() || stream.peek() == std::ifstream::traits_type::eof())
        && !stream.bad()) {
        return content.str();
    }
    const auto reason = errno != 0 ? std::generic_category().message(errno) : "cannot be read";
    return failure(ErrorKind::SettingsInvalid, file + ": " + reason);
}

Result<boost::json::value> parseJsonWithComments(const std::string &file, std::string_view text)
{
    boost::json::parse_options options;
    options.allow_comments = true;
    options.allow_trailing_commas = true;
    boost::json::stream_parser parser({}, options);
    boost::system::error_code error;
    const auto used = parser.write_some(text.data(), text.size(), error);
    if (!error && used < text.size())
        error = boost::json::error::extra_data;
    if (!error)
        parser.finish(error);
    if (error) {
        return failure(ErrorKind::SettingsInvalid,
                       file + ':' + position(text, used) + ": not valid JSON: " + error.message());
    }
    return parser.release();
}

std::string prettyJson(const boost::json::value &value)
{
    std::string out;
    appendPretty(out, value, {});
    return out + '\n';
}

Result<void> settingsResult(const std::vector<std::string> &errors)
{
    if (errors.empty())
        return success();
    std::string message;
    for (const auto &error : errors)
        message += (message.empty() ? "" : "\n") + error;
    return failure(ErrorKind::SettingsInvalid, message);
}

} // namespace jy
