#include "jy_router/operations/client/ConfigDifference.h"

#include <boost/json/serialize.hpp>

#include <map>
#include <set>

namespace jy {

namespace {

namespace json = boost::json;

class Comparison
{
public:
    void compare(const std::string &path, const json::value &before, const json::value &after)
    {
        if (before == after)
            return;
        if (before.is_object() && after.is_object())
            compareObjects(path, before.get_object(), after.get_object());
        else
            add('~', path, json::serialize(before) + " -> " + json::serialize(after));
    }

    const std::vector<std::string> &lines() const { return lines_; }

private:
    void compareObjects(const std::string &path, const json::object &before,
                        const json::object &after)
    {
        std::set<std::string> keys;
        for (const auto &entry : before)
            keys.insert(std::string(entry.key()));
        for (const auto &entry : after)
            keys.insert(std::string(entry.key()));
        for (const auto &key : keys) {
            auto inner = path;
            inner.append(path.empty() ? "" : ".").append(key);
            const auto *old = before.if_contains(key);
            const auto *fresh = after.if_contains(key);
            if (old && fresh)
                compare(inner, *old, *fresh);
            else if (old)
                add('-', inner, json::serialize(*old));
            else
                add('+', inner, json::serialize(*fresh));
        }
    }

    void add(char mark, const std::string &path, const std::string &text)
    {
        lines_.push_back(std::string(1, mark) + ' ' + path + ": " + text);
    }

    std::vector<std::string> lines_;
};

} // namespace

std::vector<std::string> jsonDifference(const json::value &before, const json::value &after)
{
    Comparison comparison;
    comparison.compare({}, before, after);
    return comparison.lines();
}

} // namespace jy
