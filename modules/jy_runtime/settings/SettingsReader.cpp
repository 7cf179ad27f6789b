#include "jy_runtime/settings/SettingsReader.h"

#include "jy_runtime/settings/AllowedText.h"

#include <boost/json/array.hpp>
#include <boost/json/serialize.hpp>

#include <algorithm>
#include <optional>

namespace jy {

namespace {

constexpr std::size_t maxShownValue = 120;

std::optional<std::int64_t> toInteger(const boost::json::value &value)
{
    if (value.is_int64())
        return value.get_int64();
    return std::nullopt;
}

std::optional<double> toNumber(const boost::json::value &value)
{
    if (value.is_double())
        return value.get_double();
    if (value.is_int64())
        return static_cast<double>(value.get_int64());
    return std::nullopt;
}

std::string toText(const boost::json::value &value)
{
    return value.is_string() ? std::string(value.get_string()) : std::string();
}

} // namespace

SettingsReader::SettingsReader(std::string file, std::string path,
                               const boost::json::object &object, std::vector<std::string> &errors)
    : file_(std::move(file))
    , path_(std::move(path))
    , object_(object)
    , errors_(errors)
{ }

void SettingsReader::text(const SettingKey &key, std::string &value)
{
    const std::string allowed(allowed_text::text);
    if (const auto *found = find(key, allowed)) {
        if (auto content = toText(*found); !content.empty())
            value = std::move(content);
        else
            reject(pathOf(key.name), *found, allowed);
    }
}

void SettingsReader::choice(const SettingKey &key, std::string &value,
                            const std::vector<std::string_view> &allowed)
{
    const auto *found = find(key, allowed_text::choice(allowed));
    if (!found)
        return;
    auto content = toText(*found);
    if (std::find(allowed.begin(), allowed.end(), content) != allowed.end())
        value = std::move(content);
    else
        reject(pathOf(key.name), *found, allowed_text::choice(allowed));
}

void SettingsReader::secret(const SettingKey &key, std::string &value, std::size_t minimumSize)
{
    const auto allowed = allowed_text::secret(minimumSize);
    const auto *found = find(key, allowed);
    if (!found)
        return;
    auto content = toText(*found);
    if (content.size() >= minimumSize)
        value = std::move(content);
    else
        reject(pathOf(key.name), "(hidden)", allowed);
}

void SettingsReader::flag(const SettingKey &key, bool &value)
{
    const std::string allowed(allowed_text::flag);
    if (const auto *found = find(key, allowed)) {
        if (found->is_bool())
            value = found->get_bool();
        else
            reject(pathOf(key.name), *found, allowed);
    }
}

void SettingsReader::integer(const SettingKey &key, std::int64_t &value,
                             SettingRange<std::int64_t> range)
{
    const auto *found = find(key, allowed_text::integer(range));
    if (!found)
        return;
    const auto number = toInteger(*found);
    if (number && *number >= range.low && *number <= range.high)
        value = *number;
    else
        reject(pathOf(key.name), *found, allowed_text::integer(range));
}

void SettingsReader::number(const SettingKey &key, double &value, SettingRange<double> range)
{
    const auto *found = find(key, allowed_text::number(range));
    if (!found)
        return;
    const auto number = toNumber(*found);
    if (number && *number >= range.low && *number <= range.high)
        value = *number;
    else
        reject(pathOf(key.name), *found, allowed_text::number(range));
}

void SettingsReader::endpoint(const SettingKey &key, Endpoint &value)
{
    const std::string allowed(allowed_text::endpoint);
    const auto *found = find(key, allowed);
    if (!found)
        return;
    if (auto parsed = endpointFromString(toText(*found)))
        value = std::move(parsed).value();
    else
        reject(pathOf(key.name), *found, allowed);
}

void SettingsReader::endpoints(const SettingKey &key, std::vector<Endpoint> &value,
                               std::size_t minimumSize)
{
    const auto *array = findArray(key, minimumSize, std::string(allowed_text::endpoint));
    if (!array)
        return;
    value.clear();
    for (std::size_t i = 0; i < array->size(); ++i) {
        if (auto parsed = endpointFromString(toText(array->at(i)))) {
            value.push_back(std::move(parsed).value());
        } else {
            reject(pathOf(key.name) + '[' + std::to_string(i) + ']', array->at(i),
                   std::string(allowed_text::endpoint));
        }
    }
}

void SettingsReader::texts(const SettingKey &key, std::vector<std::string> &value,
                           std::size_t minimumSize)
{
    const auto *array = findArray(key, minimumSize, std::string(allowed_text::text));
    if (!array)
        return;
    value.clear();
    for (std::size_t i = 0; i < array->size(); ++i) {
        if (auto content = toText(array->at(i)); !content.empty()) {
            value.push_back(std::move(content));
        } else {
            reject(pathOf(key.name) + '[' + std::to_string(i) + ']', array->at(i),
                   std::string(allowed_text::text));
        }
    }
}

void SettingsReader::object(const SettingKey &key,
                            const std::function<void(SettingsVisitor &)> &describe)
{
    const std::string allowed(allowed_text::object);
    const auto *found = find(key, allowed);
    if (found && !found->is_object()) {
        reject(pathOf(key.name), *found, allowed);
        return;
    }
    if (!found && key.presence == Presence::Required)
        return;
    // An absent object is read as an empty one, so that required keys inside it are reported.
    const boost::json::object empty;
    SettingsReader inner(file_, pathOf(key.name), found ? found->get_object() : empty, errors_);
    describe(inner);
    inner.reportUnknownKeys();
}

void SettingsReader::list(const SettingKey &key, const SettingList &access)
{
    const auto *array = findArray(key, access.minimumSize, std::string(allowed_text::object));
    if (!array)
        return;
    access.resize(array->size());
    for (std::size_t i = 0; i < array->size(); ++i) {
        const auto path = pathOf(key.name) + '[' + std::to_string(i) + ']';
        if (!array->at(i).is_object()) {
            reject(path, array->at(i), std::string(allowed_text::object));
            continue;
        }
        SettingsReader inner(file_, path, array->at(i).get_object(), errors_);
        access.visit(i, inner);
        inner.reportUnknownKeys();
    }
}

void SettingsReader::rule(std::string_view keyName, bool holds, std::string_view allowed)
{
    if (holds)
        return;
    const auto *found = object_.if_contains(keyName);
    const bool printable = found && !found->is_structured();
    reject(pathOf(keyName), printable ? *found : boost::json::value("(as set)"),
           std::string(allowed));
}

void SettingsReader::reportUnknownKeys()
{
    std::string allowed;
    for (const auto key : known_)
        allowed.append(allowed.empty() ? "" : ", ").append(key);
    for (const auto &entry : object_) {
        const std::string_view name(entry.key().data(), entry.key().size());
        if (std::find(known_.begin(), known_.end(), name) == known_.end()) {
            errors_.push_back(file_ + ": " + pathOf(name)
                              + ": unknown key; allowed keys: " + allowed);
        }
    }
}

const boost::json::value *SettingsReader::find(const SettingKey &key, const std::string &allowed)
{
    known_.push_back(key.name);
    const auto *found = object_.if_contains(key.name);
    if (!found && key.presence == Presence::Required)
        errors_.push_back(file_ + ": " + pathOf(key.name) + ": missing; required: " + allowed);
    return found;
}

const boost::json::array *SettingsReader::findArray(const SettingKey &key, std::size_t minimumSize,
                                                    const std::string &elements)
{
    const auto allowed = allowed_text::list(minimumSize, elements);
    const auto *found = find(key, allowed);
    if (!found)
        return nullptr;
    if (found->is_array() && found->get_array().size() >= minimumSize)
        return &found->get_array();
    reject(pathOf(key.name), *found, allowed);
    return nullptr;
}

void SettingsReader::reject(const std::string &path, const boost::json::value &value,
                            const std::string &allowed)
{
    auto shown = value.is_structured() ? std::string(value.is_array() ? "this list" : "an object")
                                       : boost::json::serialize(value);
    if (shown.size() > maxShownValue)
        shown = shown.substr(0, maxShownValue) + "...";
    errors_.push_back(file_ + ": " + path + ": " + shown + " is not allowed; allowed: " + allowed);
}

std::string SettingsReader::pathOf(std::string_view key) const
{
    return path_.empty() ? std::string(key) : path_ + '.' + std::string(key);
}

} // namespace jy
