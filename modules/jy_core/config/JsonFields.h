#pragma once

#include "jy_base/time/TimeTypes.h"
#include "jy_core/config/ConfigIssue.h"

#include <boost/json/value.hpp>

#include <chrono>
#include <cstdint>
#include <functional>
#include <string>
#include <string_view>
#include <vector>

namespace jy {

/** Whether a key that the reader does not know is an issue. */
enum class UnknownKeys {
    Reject, /**< for files written by operators */
    Ignore, /**< for parts, which a router of a newer release may have written */
};

/** Collects the issues of one document. */
struct JsonReadContext
{
    UnknownKeys unknownKeys = UnknownKeys::Reject;
    ConfigIssues issues;

    void add(std::string path, const boost::json::value *value, std::string allowed);
};

/**
 * Reads the fields of one JSON object into variables that hold the defaults. Adds an issue for
 * every value of a wrong type or outside its range; finish() adds one for every unknown key.
 */
class JsonFields
{
public:
    using EntryReader = std::function<void(const std::string &key, const boost::json::value &,
                                           const std::string &path)>;

    /** @param path of the object from the root; empty for the root */
    JsonFields(const boost::json::value &value, std::string path, JsonReadContext &context);

    /** Adds an issue if the key is missing. */
    JsonFields &required(std::string_view key);

    JsonFields &integer(std::string_view key, std::int64_t low, std::int64_t high, int &target);
    JsonFields &count(std::string_view key, std::uint64_t &target);

    /** Accepts low <= value <= high, and excludes low itself when @p aboveLow is set. */
    JsonFields &number(std::string_view key, double low, double high, double &target,
                       bool aboveLow = false);
    JsonFields &milliseconds(std::string_view key, std::chrono::milliseconds low,
                             std::chrono::milliseconds high, std::chrono::milliseconds &target);
    JsonFields &time(std::string_view key, WallTime &target);
    JsonFields &text(std::string_view key, std::string &target);

    /** A string from a closed list; @returns its index through @p target. */
    JsonFields &choice(std::string_view key, const std::vector<std::string_view> &allowed,
                       std::size_t &target);

    /** An identifier: a letter or digit, then up to 63 of "A-Z a-z 0-9 . _ -". */
    JsonFields &identifier(std::string_view key, std::string &target);
    JsonFields &identifiers(std::string_view key, std::vector<std::string> &target);

    /** An object whose keys are identifiers. */
    JsonFields &map(std::string_view key, const EntryReader &read);
    JsonFields &array(std::string_view key, const EntryReader &read);
    JsonFields &object(std::string_view key, const EntryReader &read);

    void finish();

private:
    const boost::json::value *find(std::string_view key);
    std::string pathOf(std::string_view key) const;
    void addIssue(std::string_view key, const boost::json::value *value, std::string allowed);

    const boost::json::object *object_ = nullptr;
    std::string path_;
    JsonReadContext &context_;
    // At most ten entries, in order of use.
    std::vector<std::string_view> known_;
};

/** Whether @p text may be used as an identifier, which also becomes part of KV key paths. */
bool isIdentifier(std::string_view text);

/** Calls @p read for each entry of a map of identifiers. */
void readJsonMap(const boost::json::value &value, const std::string &path, JsonReadContext &context,
                 const JsonFields::EntryReader &read);

} // namespace jy
