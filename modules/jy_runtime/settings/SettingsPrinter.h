#pragma once

#include "jy_runtime/settings/SettingsVisitor.h"

#include <boost/json/object.hpp>

namespace jy {

/** Writes a settings structure to a JSON object; secrets become "(hidden)". */
class SettingsPrinter final : public SettingsVisitor
{
public:
    void text(const SettingKey &key, std::string &value) override;
    void choice(const SettingKey &key, std::string &value,
                const std::vector<std::string_view> &allowed) override;
    void secret(const SettingKey &key, std::string &value, std::size_t minimumSize) override;
    void flag(const SettingKey &key, bool &value) override;
    void integer(const SettingKey &key, std::int64_t &value,
                 SettingRange<std::int64_t> range) override;
    void number(const SettingKey &key, double &value, SettingRange<double> range) override;
    void endpoint(const SettingKey &key, Endpoint &value) override;
    void endpoints(const SettingKey &key, std::vector<Endpoint> &value,
                   std::size_t minimumSize) override;
    void texts(const SettingKey &key, std::vector<std::string> &value,
               std::size_t minimumSize) override;
    void object(const SettingKey &key,
                const std::function<void(SettingsVisitor &)> &describe) override;
    void list(const SettingKey &key, const SettingList &access) override;
    void rule(std::string_view keyName, bool holds, std::string_view allowed) override;

    const boost::json::object &result() const { return object_; }

private:
    boost::json::object object_;
};

} // namespace jy
