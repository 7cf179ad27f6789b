#pragma once

#include "jy_base/ids/Ids.h"
#include "jy_base/net/Endpoint.h"

#include <chrono>
#include <concepts>
#include <cstdint>
#include <functional>
#include <limits>
#include <string>
#include <string_view>
#include <vector>

namespace jy {

/** Whether a key must be present in the file. */
enum class Presence {
    Optional,
    Required,
};

/** Name and meaning of one key. */
struct SettingKey
{
    /** camelCase; durations end in "Ms". */
    std::string_view name;

    /** One sentence for the settings reference. */
    std::string_view meaning;

    Presence presence = Presence::Optional;
};

/** Inclusive bounds. */
template <class Number>
struct SettingRange
{
    Number low = std::numeric_limits<Number>::lowest();
    Number high = std::numeric_limits<Number>::max();
};

/** Access to the elements of a list setting. */
struct SettingList
{
    std::size_t size = 0;
    std::size_t minimumSize = 0;
    std::function<void(std::size_t)> resize;
    std::function<void(std::size_t, class SettingsVisitor &)> visit;
};

/**
 * Walks the keys of a settings structure.
 *
 * A structure describes itself once, in describe(SettingsVisitor &), by naming each key together
 * with the member that holds its value. Reading, printing and documenting settings are three
 * visitors, so they cannot disagree. The value of a member before reading is the default.
 *
 * @see SettingsReader, SettingsPrinter, SettingsReference
 */
class SettingsVisitor
{
public:
    virtual ~SettingsVisitor() = default;

    /** Any text that is not empty. */
    virtual void text(const SettingKey &key, std::string &value) = 0;

    /** One of a few words. */
    virtual void choice(const SettingKey &key, std::string &value,
                        const std::vector<std::string_view> &allowed) = 0;

    /** A text that is never printed. @param minimumSize in characters. */
    virtual void secret(const SettingKey &key, std::string &value, std::size_t minimumSize) = 0;

    virtual void flag(const SettingKey &key, bool &value) = 0;
    virtual void integer(const SettingKey &key, std::int64_t &value,
                         SettingRange<std::int64_t> range) = 0;
    virtual void number(const SettingKey &key, double &value, SettingRange<double> range) = 0;
    virtual void endpoint(const SettingKey &key, Endpoint &value) = 0;

    /** A list of texts or endpoints, by the conversion functions given. */
    virtual void endpoints(const SettingKey &key, std::vector<Endpoint> &value,
                           std::size_t minimumSize) = 0;
    virtual void texts(const SettingKey &key, std::vector<std::string> &value,
                       std::size_t minimumSize) = 0;

    virtual void object(const SettingKey &key,
                        const std::function<void(SettingsVisitor &)> &describe) = 0;
    virtual void list(const SettingKey &key, const SettingList &access) = 0;

    /**
     * A rule between several keys of the current object.
     *
     * @param keyName the key to name in the error
     * @param allowed what is allowed, for example "longer than timings.probePeriodMs"
     */
    virtual void rule(std::string_view keyName, bool holds, std::string_view allowed) = 0;

    /** A text that identifies something. */
    template <class Tag>
    void id(const SettingKey &key, Id<Tag> &value)
    {
        std::string content = value.value();
        text(key, content);
        value = Id<Tag>(std::move(content));
    }

    /** A whole number of any integer type. */
    template <std::integral Number>
    void count(const SettingKey &key, Number &value, SettingRange<std::int64_t> range)
    {
        auto wide = static_cast<std::int64_t>(value);
        integer(key, wide, range);
        value = static_cast<Number>(wide);
    }

    /** A duration in whole milliseconds; the key ends in "Ms". */
    void duration(const SettingKey &key, std::chrono::milliseconds &value,
                  SettingRange<std::int64_t> range)
    {
        std::int64_t count = value.count();
        integer(key, count, range);
        value = std::chrono::milliseconds(count);
    }

    /** A nested structure. */
    template <class Structure>
    void structure(const SettingKey &key, Structure &value)
    {
        object(key, [&value](SettingsVisitor &inner) { value.describe(inner); });
    }

    /** A list of structures. */
    template <class Structure>
    void structures(const SettingKey &key, std::vector<Structure> &value, std::size_t minimumSize)
    {
        list(key,
             {.size = value.size(),
              .minimumSize = minimumSize,
              .resize = [&value](std::size_t size) { value.assign(size, Structure{}); },
              .visit =
                  [&value](std::size_t index, SettingsVisitor &inner) {
                      // The reference describes an element of a list that may be empty.
                      Structure sample;
                      (index < value.size() ? value[index] : sample).describe(inner);
                  }});
    }
};

} // namespace jy
