#include "jy_runtime/settings/SettingsPrinter.h"

#include <boost/json/array.hpp>

namespace jy {

void SettingsPrinter::text(const SettingKey &key, std::string &value)
{
    object_[key.name] = value;
}

void SettingsPrinter::choice(const SettingKey &key, std::string &value,
                             const std::vector<std::string_view> & /*allowed*/)
{
    object_[key.name] = value;
}

void SettingsPrinter::secret(const SettingKey &key, std::string & /*value*/,
                             std::size_t /*minimumSize*/)
{
    object_[key.name] = "(hidden)";
}

void SettingsPrinter::flag(const SettingKey &key, bool &value)
{
    object_[key.name] = value;
}

void SettingsPrinter::integer(const SettingKey &key, std::int64_t &value,
                              SettingRange<std::int64_t> /*range*/)
{
    object_[key.name] = value;
}

void SettingsPrinter::number(const SettingKey &key, double &value, SettingRange<double> /*range*/)
{
    object_[key.name] = value;
}

void SettingsPrinter::endpoint(const SettingKey &key, Endpoint &value)
{
    if (value.port != 0)
        object_[key.name] = toString(value);
}

void SettingsPrinter::endpoints(const SettingKey &key, std::vector<Endpoint> &value,
                                std::size_t /*minimumSize*/)
{
    auto &array = object_[key.name].emplace_array();
    for (const auto &endpoint : value)
        array.emplace_back(toString(endpoint));
}

void SettingsPrinter::texts(const SettingKey &key, std::vector<std::string> &value,
                            std::size_t /*minimumSize*/)
{
    auto &array = object_[key.name].emplace_array();
    for (const auto &text : value)
        array.emplace_back(text);
}

void SettingsPrinter::object(const SettingKey &key,
                             const std::function<void(SettingsVisitor &)> &describe)
{
    SettingsPrinter inner;
    describe(inner);
    object_[key.name] = inner.result();
}

void SettingsPrinter::list(const SettingKey &key, const SettingList &access)
{
    auto &array = object_[key.name].emplace_array();
    for (std::size_t i = 0; i < access.size; ++i) {
        SettingsPrinter inner;
        access.visit(i, inner);
        array.emplace_back(inner.result());
    }
}

void SettingsPrinter::rule(std::string_view /*keyName*/, bool /*holds*/,
                           std::string_view /*allowed*/)
{ }

} // namespace jy
