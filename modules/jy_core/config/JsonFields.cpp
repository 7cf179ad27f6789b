#include "jy_core/config/JsonFields.h"

#include "jy_core/config/JsonText.h"
#include "jy_core/config/WallTimeText.h"

#include <algorithm>
#include <cctype>
#include <cmath>
#include <limits>

namespace jy {

namespace {

constexpr std::size_t longestIdentifier = 64;
constexpr std::size_t longestShownValue = 120;
constexpr const char *identifierRule =
    "1 to 64 of A-Z a-z 0-9 . _ - that begin with a letter or digit";

std::string shown(const boost::json::value &value)
{
    auto text = jsonText(value);
    if (text.size() > longestShownValue)
        text = text.substr(0, longestShownValue) + "...";
    return text;
}

std::string join(const std::string &path, std::string_view key)
{
    return path.empty() ? std::string(key) : path + '.' + std::string(key);
}

std::string rangeText(auto low, auto high, const char *what)
{
    return std::string(what) + " from " + shown(boost::json::value(low)) + " to "
        + shown(boost::json::value(high));
}

std::string joined(const std::vector<std::string_view> &words)
{
    std::string text = "one of ";
    for (const auto word : words) {
        if (word != words.front())
            text += ", ";
        text += word;
    }
    return text;
}

std::string_view view(const boost::json::string &text)
{
    return {text.data(), text.size()};
}

} // namespace

void JsonReadContext::add(std::string path, const boost::json::value *value, std::string allowed)
{
    issues.push_back({std::move(path), value ? shown(*value) : std::string(), std::move(allowed)});
}

bool isIdentifier(std::string_view text)
{
    const auto isAlphanumeric = [](char c) {
        return (c >= 'a' && c <= 'z') || (c >= 'A' && c <= 'Z') || (c >= '0' && c <= '9');
    };
    if (text.empty() || text.size() > longestIdentifier || !isAlphanumeric(text.front()))
        return false;
    return std::all_of(text.begin(), text.end(), [&](char c) {
        return isAlphanumeric(c) || c == '.' || c == '_' || c == '-';
    });
}

void readJsonMap(const boost::json::value &value, const std::string &path, JsonReadContext &context,
                 const JsonFields::EntryReader &read)
{
    if (!value.is_object()) {
        context.add(path, &value, "an object");
        return;
    }
    for (const auto &[key, entry] : value.get_object()) {
        const std::string name(key.data(), key.size());
        const auto entryPath = join(path, name);
        if (isIdentifier(name)) {
            read(name, entry, entryPath);
        } else {
            const boost::json::value keyValue(name);
            context.add(entryPath, &keyValue, std::string("as key ") + identifierRule);
        }
    }
}

JsonFields::JsonFields(const boost::json::value &value, std::string path, JsonReadContext &context)
    : object_(value.if_object())
    , path_(std::move(path))
    , context_(context)
{
    if (!object_)
        context_.add(path_, &value, "an object");
}

JsonFields &JsonFields::required(std::string_view key)
{
    if (object_ && !object_->contains(key))
        addIssue(key, nullptr, "this key is required");
    return *this;
}

JsonFields &JsonFields::integer(std::string_view key, std::int64_t low, std::int64_t high,
                                int &target)
{
    const auto *value = find(key);
    if (!value)
        return *this;
    const auto *found = value->if_int64();
    if (found && *found >= low && *found <= high)
        target = static_cast<int>(*found);
    else
        addIssue(key, value, rangeText(low, high, "an integer"));
    return *this;
}

JsonFields &JsonFields::count(std::string_view key, std::uint64_t &target)
{
    const auto *value = find(key);
    if (!value)
        return *this;
    if (const auto *found = value->if_int64(); found && *found >= 0)
        target = static_cast<std::uint64_t>(*found);
    else
        addIssue(key, value, "an integer that is not negative and fits into 63 bits");
    return *this;
}

JsonFields &JsonFields::number(std::string_view key, double low, double high, double &target,
                               bool aboveLow)
{
    const auto *value = find(key);
    if (!value)
        return *this;
    const double found =
        value->is_number() ? value->to_number<double>() : std::numeric_limits<double>::quiet_NaN();
    if (std::isfinite(found) && found <= high && (aboveLow ? found > low : found >= low))
        target = found;
    else
        addIssue(key, value,
                 rangeText(low, high, aboveLow ? "a number above the range start" : "a number"));
    return *this;
}

JsonFields &JsonFields::milliseconds(std::string_view key, std::chrono::milliseconds low,
                                     std::chrono::milliseconds high,
                                     std::chrono::milliseconds &target)
{
    int found = static_cast<int>(target.count());
    integer(key, low.count(), high.count(), found);
    target = std::chrono::milliseconds{found};
    return *this;
}

JsonFields &JsonFields::time(std::string_view key, WallTime &target)
{
    const auto *value = find(key);
    if (!value)
        return *this;
    const auto found = value->is_string() ? parseWallTime(view(value->get_string())) : std::nullopt;
    if (found)
        target = *found;
    else
        addIssue(key, value, "a UTC time such as 2030-01-31T18:00:00Z");
    return *this;
}

JsonFields &JsonFields::text(std::string_view key, std::string &target)
{
    const auto *value = find(key);
    if (!value)
        return *this;
    if (value->is_string())
        target = view(value->get_string());
    else
        addIssue(key, value, "a string");
    return *this;
}

JsonFields &JsonFields::choice(std::string_view key, const std::vector<std::string_view> &allowed,
                               std::size_t &target)
{
    const auto *value = find(key);
    if (!value)
        return *this;
    const auto found = value->is_string()
        ? std::find(allowed.begin(), allowed.end(), view(value->get_string()))
        : allowed.end();
    if (found != allowed.end())
        target = static_cast<std::size_t>(found - allowed.begin());
    else
        addIssue(key, value, joined(allowed));
    return *this;
}

JsonFields &JsonFields::identifier(std::string_view key, std::string &target)
{
    const auto *value = find(key);
    if (!value)
        return *this;
    if (value->is_string() && isIdentifier(view(value->get_string())))
        target = view(value->get_string());
    else
        addIssue(key, value, identifierRule);
    return *this;
}

JsonFields &JsonFields::identifiers(std::string_view key, std::vector<std::string> &target)
{
    return array(
        key, [&](const std::string &, const boost::json::value &entry, const std::string &path) {
            const bool valid = entry.is_string() && isIdentifier(view(entry.get_string()));
            const std::string name(valid ? view(entry.get_string()) : std::string_view());
            if (!valid)
                context_.add(path, &entry, identifierRule);
            else if (std::find(target.begin(), target.end(), name) != target.end())
                context_.add(path, &entry, "each entry once");
            else
                target.push_back(name);
        });
}

JsonFields &JsonFields::map(std::string_view key, const EntryReader &read)
{
    if (const auto *value = find(key))
        readJsonMap(*value, pathOf(key), context_, read);
    return *this;
}

JsonFields &JsonFields::array(std::string_view key, const EntryReader &read)
{
    const auto *value = find(key);
    if (!value)
        return *this;
    if (!value->is_array()) {
        addIssue(key, value, "an array");
        return *this;
    }
    std::size_t index = 0;
    for (const auto &entry : value->get_array()) {
        const auto position = std::to_string(index++);
        read(position, entry, pathOf(key) + '[' + position + ']');
    }
    return *this;
}

JsonFields &JsonFields::object(std::string_view key, const EntryReader &read)
{
    if (const auto *value = find(key))
        read(std::string(key), *value, pathOf(key));
    return *this;
}

void JsonFields::finish()
{
    if (!object_ || context_.unknownKeys == UnknownKeys::Ignore)
        return;
    std::sort(known_.begin(), known_.end());
    for (const auto &[key, value] : *object_) {
        const std::string_view name(key.data(), key.size());
        if (std::find(known_.begin(), known_.end(), name) == known_.end())
            addIssue(name, &value, "unknown key; " + joined(known_));
    }
}

const boost::json::value *JsonFields::find(std::string_view key)
{
    known_.push_back(key);
    return object_ ? object_->if_contains(key) : nullptr;
}

std::string JsonFields::pathOf(std::string_view key) const
{
    return join(path_, key);
}

void JsonFields::addIssue(std::string_view key, const boost::json::value *value,
                          std::string allowed)
{
    context_.add(pathOf(key), value, std::move(allowed));
}

} // namespace jy
