#include "jy_http/messages/HttpHeaders.h"

#include <algorithm>

namespace jy {

namespace {

char lower(char c)
{
    return c >= 'A' && c <= 'Z' ? static_cast<char>(c - 'A' + 'a') : c;
}

} // namespace

bool equalsIgnoringCase(std::string_view left, std::string_view right)
{
    return std::ranges::equal(left, right, [](char a, char b) { return lower(a) == lower(b); });
}

void HttpHeaders::add(std::string_view name, std::string_view value)
{
    fields_.emplace_back(name, value);
}

void HttpHeaders::set(std::string_view name, std::string_view value)
{
    remove(name);
    add(name, value);
}

void HttpHeaders::remove(std::string_view name)
{
    std::erase_if(fields_,
                  [name](const Field &field) { return equalsIgnoringCase(field.first, name); });
}

std::optional<std::string_view> HttpHeaders::find(std::string_view name) const
{
    for (const auto &[fieldName, fieldValue] : fields_) {
        if (equalsIgnoringCase(fieldName, name))
            return fieldValue;
    }
    return std::nullopt;
}

std::string_view HttpHeaders::value(std::string_view name, std::string_view fallback) const
{
    return find(name).value_or(fallback);
}

std::size_t HttpHeaders::count(std::string_view name) const
{
    return static_cast<std::size_t>(std::ranges::count_if(
        fields_, [name](const Field &field) { return equalsIgnoringCase(field.first, name); }));
}

} // namespace jy
