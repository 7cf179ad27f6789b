#include "jy_runtime/settings/SettingsReference.h"

#include "jy_runtime/settings/AllowedText.h"

#include <boost/json/serialize.hpp>
#include <boost/json/value.hpp>

namespace jy {

namespace {

std::string code(const boost::json::value &value)
{
    return '`' + boost::json::serialize(value) + '`';
}

std::string textDefault(const std::string &value)
{
    return value.empty() ? std::string() : code(boost::json::value(value));
}

} // namespace

SettingsReference::SettingsReference(std::string path)
    : path_(std::move(path))
{ }

void SettingsReference::text(const SettingKey &key, std::string &value)
{
    row(key, allowed_text::text, textDefault(value));
}

void SettingsReference::choice(const SettingKey &key, std::string &value,
                               const std::vector<std::string_view> &allowed)
{
    row(key, allowed_text::choice(allowed), textDefault(value));
}

void SettingsReference::secret(const SettingKey &key, std::string & /*value*/,
                               std::size_t minimumSize)
{
    row(key, allowed_text::secret(minimumSize), {});
}

void SettingsReference::flag(const SettingKey &key, bool &value)
{
    row(key, allowed_text::flag, code(value));
}

void SettingsReference::integer(const SettingKey &key, std::int64_t &value,
                                SettingRange<std::int64_t> range)
{
    row(key, allowed_text::integer(range), code(value));
}

void SettingsReference::number(const SettingKey &key, double &value, SettingRange<double> range)
{
    row(key, allowed_text::number(range), '`' + allowed_text::numberText(value) + '`');
}

void SettingsReference::endpoint(const SettingKey &key, Endpoint & /*value*/)
{
    row(key, allowed_text::endpoint, {});
}

void SettingsReference::endpoints(const SettingKey &key, std::vector<Endpoint> & /*value*/,
                                  std::size_t minimumSize)
{
    row(key, allowed_text::list(minimumSize, allowed_text::endpoint), {});
}

void SettingsReference::texts(const SettingKey &key, std::vector<std::string> &value,
                              std::size_t minimumSize)
{
    std::string defaults;
    for (const auto &text : value)
        defaults += (defaults.empty() ? "" : ", ") + code(boost::json::value(text));
    row(key, allowed_text::list(minimumSize, allowed_text::text), defaults);
}

void SettingsReference::object(const SettingKey &key,
                               const std::function<void(SettingsVisitor &)> &describe)
{
    row(key, allowed_text::object, {});
    SettingsReference inner(path_ + std::string(key.name) + '.');
    describe(inner);
    rows_ += inner.rows();
}

void SettingsReference::list(const SettingKey &key, const SettingList &access)
{
    row(key, allowed_text::list(access.minimumSize, allowed_text::object), {});
    SettingsReference inner(path_ + std::string(key.name) + "[].");
    access.visit(access.size, inner);
    rows_ += inner.rows();
}

void SettingsReference::rule(std::string_view keyName, bool /*holds*/, std::string_view allowed)
{
    rows_ +=
        "| `" + path_ + std::string(keyName) + "` | also: " + std::string(allowed) + " | | |\n";
}

void SettingsReference::row(const SettingKey &key, std::string_view allowed,
                            const std::string &defaultValue)
{
    const bool required = key.presence == Presence::Required;
    rows_ += "| `" + path_ + std::string(key.name) + "` | " + std::string(allowed) + " | "
        + (required ? "(required)" : defaultValue) + " | " + std::string(key.meaning) + " |\n";
}

} // namespace jy
