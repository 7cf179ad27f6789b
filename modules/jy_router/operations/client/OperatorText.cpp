#include "jy_router/operations/client/OperatorText.h"

#include <boost/json/array.hpp>
#include <boost/json/serialize.hpp>

#include <algorithm>
#include <cmath>
#include <vector>

namespace jy {

namespace {

namespace json = boost::json;

const json::value &member(const json::value &value, std::string_view key)
{
    static const json::value null;
    const auto *object = value.if_object();
    const auto *found = object ? object->if_contains(key) : nullptr;
    return found ? *found : null;
}

std::string text(const json::value &value)
{
    if (value.is_string())
        return std::string(value.get_string());
    if (value.is_double() && value.get_double() >= 0 && value.get_double() < 1e15) {
        // Two decimals are enough for shares and limits.
        const auto hundredths = std::llround(value.get_double() * 100);
        auto result = std::to_string(hundredths / 100);
        if (hundredths % 100 != 0)
            result += (hundredths % 100 < 10 ? ".0" : ".") + std::to_string(hundredths % 100);
        return result;
    }
    return value.is_null() ? std::string() : json::serialize(value);
}

std::string text(const json::value &value, std::string_view key)
{
    return text(member(value, key));
}

const json::array &list(const json::value &value, std::string_view key)
{
    static const json::array empty;
    const auto &found = member(value, key);
    return found.is_array() ? found.get_array() : empty;
}

bool isTrue(const json::value &value, std::string_view key)
{
    const auto &found = member(value, key);
    return found.is_bool() && found.get_bool();
}

/** A heading and left-aligned columns; nothing for an empty list. */
std::string table(const std::string &title, const json::array &rows,
                  const std::vector<std::string_view> &keys)
{
    if (rows.empty())
        return {};
    std::vector<std::vector<std::string>> cells;
    cells.emplace_back(keys.begin(), keys.end());
    for (const auto &row : rows) {
        auto &line = cells.emplace_back();
        for (const auto key : keys)
            line.push_back(text(row, key));
    }
    std::vector<std::size_t> widths(keys.size());
    for (const auto &line : cells) {
        for (std::size_t i = 0; i < line.size(); ++i)
            widths[i] = std::max(widths[i], line[i].size());
    }
    std::string result = '\n' + title + '\n';
    for (const auto &line : cells) {
        std::string out = "  ";
        for (std::size_t i = 0; i < line.size(); ++i)
            out += line[i] + std::string(widths[i] - line[i].size() + 2, ' ');
        result += out.substr(0, out.find_last_not_of(' ') + 1) + '\n';
    }
    return result;
}

std::string lines(const std::string &title, const json::array &texts)
{
    std::string result = texts.empty() ? std::string() : '\n' + title + '\n';
    for (const auto &entry : texts)
        result += "  " + text(entry) + '\n';
    return result;
}

std::string joined(const json::array &texts)
{
    std::string result;
    for (const auto &entry : texts)
        result += (result.empty() ? "" : ", ") + text(entry);
    return result;
}

std::string present(const std::string &label, const std::string &value)
{
    return value.empty() ? std::string() : label + value + '\n';
}

} // namespace

std::string statusText(const json::value &status)
{
    std::string result = "router " + text(status, "instance")
        + (isTrue(status, "ready") ? ": ready" : ": not ready")
        + (isTrue(status, "shutting_down") ? ", shutting down" : "") + '\n';
    result += "revision " + text(status, "revision") + " in force on " + text(status, "in_force_on")
        + " of " + text(status, "live_routers") + " live routers";
    if (const auto &lagging = list(status, "lagging"); !lagging.empty())
        result += "; lagging: " + joined(lagging);
    result += '\n';
    if (text(status, "head_revision") != text(status, "revision"))
        result += "highest revision known: " + text(status, "head_revision") + '\n';
    if (!isTrue(status, "kv_reachable"))
        result += "KV service unreachable: no new configuration, protected calls are refused\n";
    result += lines("warnings", list(status, "warnings"));
    result += table("failure domains", list(status, "domains"),
                    {"id", "region", "state", "live_routers", "servers", "admitted_share"});
    result += table("moves", list(status, "moves"),
                    {"id", "model", "from", "to", "state", "share", "finish_by", "reason"});
    result += lines("stop marks", list(status, "stop_marks"));
    result += table("routers", list(status, "routers"),
                    {"id", "domain", "region", "state", "applied_revision", "operations"});
    result += table(
        "servers owned by " + text(status, "instance"), list(status, "owned_servers"),
        {"id", "domain", "target", "version", "state", "in_flight", "limit", "bound", "queued"});
    return result;
}

std::string chatExplanationText(const json::value &explanation)
{
    std::string result =
        "model " + text(explanation, "model") + ", version " + text(explanation, "version") + '\n';
    result += present("version chosen because: ", text(explanation, "version_reason"));
    result += present("move: ", text(explanation, "move"));
    result += present("home server: ", text(explanation, "home"));
    result += present("served instead by: ", text(explanation, "exception"));
    result += present("problem: ", text(explanation, "problem"));
    return result
        + table("candidates in order", list(explanation, "candidates"),
                {"server", "domain", "owner", "eligible", "reason"});
}

std::string serverExplanationText(const json::value &explanation)
{
    std::string result = "server " + text(explanation, "server") + " in domain "
        + text(explanation, "domain") + ", owned by " + text(explanation, "owner") + '\n';
    if (isTrue(explanation, "owned_here")) {
        result += "in flight " + text(explanation, "in_flight") + ", limit "
            + text(explanation, "limit") + ", bound " + text(explanation, "bound") + ", queued "
            + text(explanation, "queued") + (isTrue(explanation, "cold") ? ", cold" : "")
            + (isTrue(explanation, "recovering") ? ", recovering" : "") + '\n';
    } else {
        result += "load is known only to the owner\n";
    }
    return result + lines("reasons", list(explanation, "reasons"));
}

} // namespace jy
