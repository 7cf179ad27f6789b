#include "jy_base/hashing/StableHash.h"

#include <xxhash.h>

namespace jy {

std::uint64_t stableHash(std::string_view text, std::uint64_t seed)
{
    return XXH3_64bits_withSeed(text.data(), text.size(), seed);
}

std::uint64_t rendezvousScore(std::uint64_t keyHash, std::string_view node)
{
    return stableHash(node, keyHash);
}

double unitInterval(std::uint64_t hash)
{
    constexpr int mantissaBits = 53;
    return static_cast<double>(hash >> (64 - mantissaBits))
        / static_cast<double>(std::uint64_t{1} << mantissaBits);
}

} // namespace jy
