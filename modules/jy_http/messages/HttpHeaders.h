#pragma once

#include <optional>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace jy {

/** Header fields in the order of the wire; names compare without regard to case. */
class HttpHeaders
{
public:
    using Field = std::pair<std::string, std::string>;

    HttpHeaders() = default;
    HttpHeaders(std::initializer_list<Field> fields)
        : fields_(fields)
    { }

    /** Appends a field, also when the name is already present. */
    void add(std::string_view name, std::string_view value);

    /** Replaces every field of that name by one. */
    void set(std::string_view name, std::string_view value);

    void remove(std::string_view name);

    /** @returns the value of the first field of that name. */
    std::optional<std::string_view> find(std::string_view name) const;

    /** @returns the value of the first field of that name, or @p fallback. */
    std::string_view value(std::string_view name, std::string_view fallback = {}) const;

    std::size_t count(std::string_view name) const;
    std::size_t size() const { return fields_.size(); }
    auto begin() const { return fields_.begin(); }
    auto end() const { return fields_.end(); }

private:
    std::vector<Field> fields_;
};

/** Compares ASCII text without regard to case. */
bool equalsIgnoringCase(std::string_view left, std::string_view right);

} // namespace jy
