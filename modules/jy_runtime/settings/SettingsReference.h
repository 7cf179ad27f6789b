#pragma once

#include "jy_runtime/settings/SettingsVisitor.h"

#include <string>

namespace jy {

/** Writes the rows of the settings reference: path, allowed values, default, meaning. */
class SettingsReference final : public SettingsVisitor
{
public:
    /** @param path of the object, empty for the root. */
    explicit SettingsReference(std::string path = {});

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

    /** Rows of a Markdown table without its heading. */
    const std::string &rows() const { return rows_; }

private:
    void row(const SettingKey &key, std::string_view allowed, const std::string &defaultValue);

    std::string path_;
    std::string rows_;
};

} // namespace jy
