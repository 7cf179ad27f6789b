#pragma once

#include "jy_runtime/settings/RouterSettings.h"

#include <array>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace jy {

/** Bearer keys of the operator API; can be replaced while requests are served. */
class OperatorKeys
{
public:
    explicit OperatorKeys(const std::vector<OperatorKeySettings> &keys);

    /** Replaces all keys; a key that is not in @p keys stops working at once. */
    void replace(const std::vector<OperatorKeySettings> &keys);

    /**
     * Checks the value of an Authorization header in a time that does not depend on the key.
     *
     * @returns the name of the key's holder
     */
    std::optional<std::string> holder(std::string_view authorization) const;

private:
    using Digest = std::array<unsigned char, 32>;

    struct Key
    {
        std::string name;
        Digest digest{};
    };

    static Digest digestOf(std::string_view secret);

    std::vector<Key> keys_;
};

} // namespace jy
