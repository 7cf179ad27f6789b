#include "jy_gateway/limits/RequestKeys.h"

#include "jy_base/hashing/StableHash.h"

namespace jy {

namespace {

// Separates the keys of requests from those of prompt parts.
constexpr std::uint64_t requestSeed = 0x72657175;

} // namespace

RequestKeys keysOf(const HttpRequest &request, const std::vector<PromptPart> &prompt)
{
    auto hash = requestSeed;
    for (const std::string_view text :
         {std::string_view(request.method), std::string_view(request.headers.value("Host")),
          std::string_view(request.target)})
        hash = stableHash(text, hash);
    for (const auto &part : prompt)
        hash = stableHash(part.id, hash);
    hash = stableHash(request.body, hash);
    return {.parts = sharedParts(prompt), .request = static_cast<PromptPartKey>(hash)};
}

} // namespace jy
