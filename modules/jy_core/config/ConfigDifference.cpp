#include "jy_core/config/ConfigDifference.h"

#include "jy_core/config/DesiredStateWriter.h"
#include "jy_core/config/JsonText.h"

#include <set>

namespace jy {

namespace {

namespace json = boost::json;

std::string textOf(const json::value *value)
{
    return value ? jsonText(*value) : std::string();
}

void compare(const std::string &path, const json::value *before, const json::value *after,
             ConfigDifference &out)
{
    if (before && after && *before == *after)
        return;
    if (!before || !after || !before->is_object() || !after->is_object()) {
        out.push_back({path, textOf(before), textOf(after)});
        return;
    }
    std::set<std::string_view> keys;
    for (const auto *object : {&before->get_object(), &after->get_object()}) {
        for (const auto &entry : *object)
            keys.emplace(entry.key().data(), entry.key().size());
    }
    for (const auto key : keys)
        compare(path + '.' + std::string(key), before->get_object().if_contains(key),
                after->get_object().if_contains(key), out);
}

template <class Spec>
json::value valueOf(const Spec *spec)
{
    return spec ? json::value(toJson(*spec)) : json::value();
}

template <class Spec>
void compareEntry(const std::string &path, const Spec *before, const Spec *after,
                  ConfigDifference &out)
{
    if (before && after && *before == *after)
        return;
    const auto left = valueOf(before);
    const auto right = valueOf(after);
    compare(path, before ? &left : nullptr, after ? &right : nullptr, out);
}

template <class IdType, class Spec>
void compareSection(const std::string &name, const std::map<IdType, Spec> &before,
                    const std::map<IdType, Spec> &after, ConfigDifference &out)
{
    auto left = before.begin();
    auto right = after.begin();
    while (left != before.end() || right != after.end()) {
        const bool useLeft =
            right == after.end() || (left != before.end() && left->first <= right->first);
        const bool useRight =
            left == before.end() || (right != after.end() && right->first <= left->first);
        const auto &id = useLeft ? left->first : right->first;
        compareEntry<Spec>(name + '.' + id.value(), useLeft ? &left->second : nullptr,
                           useRight ? &right->second : nullptr, out);
        if (useLeft)
            ++left;
        if (useRight)
            ++right;
    }
}

} // namespace

ConfigDifference differenceOf(const DesiredState &before, const DesiredState &after)
{
    ConfigDifference out;
    compareEntry("global", &before.global, &after.global, out);
    compareSection("domains", before.domains, after.domains, out);
    compareSection("models", before.models, after.models, out);
    compareSection("services", before.services, after.services, out);
    compareSection("workspaces", before.workspaces, after.workspaces, out);
    return out;
}

std::string toString(const ConfigDifference &difference, std::size_t mostLines)
{
    std::string text;
    std::size_t lines = 0;
    for (const auto &change : difference) {
        if (lines++ == mostLines)
            return text + std::to_string(difference.size() - mostLines) + " more changes\n";
        if (change.before.empty())
            text += "+ " + change.path + ": " + change.after;
        else if (change.after.empty())
            text += "- " + change.path + ": " + change.before;
        else
            text += "~ " + change.path + ": " + change.before + " -> " + change.after;
        text += '\n';
    }
    return text;
}

} // namespace jy
