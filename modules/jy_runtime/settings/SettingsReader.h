#pragma once

#include "jy_runtime/settings/SettingsVisitor.h"

#include <boost/json/object.hpp>

#include <string>
#include <vector>

namespace jy {

/** Fills a settings structure from a JSON object and collects all errors. */
class SettingsReader final : public SettingsVisitor
{
public:
    /**
     * @param file name of the file, for errors
     * @param path of the object within the file, empty for the root
     * @param errors receives one line per error
     */
    SettingsReader(std::string file, std::string path, const boost::json::object &object,
                   std::vector<std::string> &errors);

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

    /** Reports the keys of the object that no call has named. */
    void reportUnknownKeys();

private:
    const boost::json::value *find(const SettingKey &key, const std::string &allowed);
    const boost::json::array *findArray(const SettingKey &key, std::size_t minimumSize,
                                        const std::string &elements);
    void reject(const std::string &path, const boost::json::value &value,
                const std::string &allowed);
    std::string pathOf(std::string_view key) const;

    std::string file_;
    std::string path_;
    const boost::json::object &object_;
    std::vector<std::string> &errors_;
    std::vector<std::string_view> known_;
};

} // namespace jy
