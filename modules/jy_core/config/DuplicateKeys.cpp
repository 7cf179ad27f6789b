#include "jy_core/config/DuplicateKeys.h"

#include <boost/json/basic_parser_impl.hpp>

#include <set>
#include <string>
#include <vector>

namespace jy {

namespace {

namespace json = boost::json;

/** Handler of a streaming parser; the names of its functions are given by Boost.JSON. */
class KeyCollector
{
public:
    static constexpr std::size_t max_object_size = static_cast<std::size_t>(-1); // NOLINT
    static constexpr std::size_t max_array_size = static_cast<std::size_t>(-1); // NOLINT
    static constexpr std::size_t max_key_size = static_cast<std::size_t>(-1); // NOLINT
    static constexpr std::size_t max_string_size = static_cast<std::size_t>(-1); // NOLINT

    using Code = boost::system::error_code;

    // NOLINTBEGIN(readability-identifier-naming,misc-unused-parameters)
    bool on_document_begin(Code &) { return true; }
    bool on_document_end(Code &) { return true; }
    bool on_object_begin(Code &)
    {
        levels_.emplace_back();
        return true;
    }
    bool on_object_end(std::size_t, Code &)
    {
        levels_.pop_back();
        return true;
    }
    bool on_array_begin(Code &)
    {
        levels_.emplace_back();
        return true;
    }
    bool on_array_end(std::size_t, Code &)
    {
        levels_.pop_back();
        return true;
    }
    bool on_key_part(json::string_view part, std::size_t, Code &)
    {
        pending_.append(part.data(), part.size());
        return true;
    }
    bool on_key(json::string_view part, std::size_t, Code &)
    {
        pending_.append(part.data(), part.size());
        auto &level = levels_.back();
        level.key = std::exchange(pending_, {});
        if (!level.seen.insert(level.key).second)
            issues_.push_back({path(), "the key twice", "each key once"});
        return true;
    }
    bool on_string_part(json::string_view, std::size_t, Code &) { return true; }
    bool on_string(json::string_view, std::size_t, Code &) { return true; }
    bool on_number_part(json::string_view, Code &) { return true; }
    bool on_int64(std::int64_t, json::string_view, Code &) { return true; }
    bool on_uint64(std::uint64_t, json::string_view, Code &) { return true; }
    bool on_double(double, json::string_view, Code &) { return true; }
    bool on_bool(bool, Code &) { return true; }
    bool on_null(Code &) { return true; }
    bool on_comment_part(json::string_view, Code &) { return true; }
    bool on_comment(json::string_view, Code &) { return true; }
    // NOLINTEND(readability-identifier-naming,misc-unused-parameters)

    const ConfigIssues &issues() const { return issues_; }

private:
    struct Level
    {
        std::set<std::string> seen;
        std::string key;
    };

    std::string path() const
    {
        std::string result;
        for (const auto &level : levels_) {
            if (level.key.empty())
                continue;
            if (!result.empty())
                result += '.';
            result += level.key;
        }
        return result;
    }

    std::vector<Level> levels_;
    std::string pending_;
    ConfigIssues issues_;
};

} // namespace

ConfigIssues findDuplicateKeys(std::string_view text)
{
    json::parse_options options;
    options.allow_comments = true;
    options.allow_trailing_commas = true;
    json::basic_parser<KeyCollector> parser(options);
    json::error_code error;
    parser.write_some(false, text.data(), text.size(), error);
    return parser.handler().issues();
}

} // namespace jy
