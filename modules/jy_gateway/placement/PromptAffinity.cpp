#include "jy_gateway/placement/PromptAffinity.h"

#include "jy_base/hashing/StableHash.h"

namespace jy {

std::uint64_t promptAffinity(const std::vector<PromptPart> &prompt)
{
    if (prompt.empty())
        return 0;
    const auto &shared = prompt.size() > 1 ? prompt[prompt.size() - 2] : prompt.back();
    // 0 is reserved for requests without a prefix.
    return stableHash(shared.id) | 1;
}

std::vector<PromptPartKey> sharedParts(const std::vector<PromptPart> &prompt)
{
    std::vector<PromptPartKey> keys;
    for (std::size_t i = 0; i + 1 < prompt.size(); ++i)
        keys.push_back(static_cast<PromptPartKey>(stableHash(prompt[i].id)));
    return keys;
}

std::int64_t sharedTokens(const std::vector<PromptPart> &prompt)
{
    std::int64_t tokens = 0;
    for (std::size_t i = 0; i + 1 < prompt.size(); ++i)
        tokens += prompt[i].tokens;
    return tokens;
}

} // namespace jy
