#pragma once

#include <cstdint>
#include <string_view>

namespace jy {

/**
 * 64-bit hash that is the same in every process and release (XXH3), so that routers agree on
 * placement without messages.
 *
 * @param seed separates independent uses of the same text
 */
std::uint64_t stableHash(std::string_view text, std::uint64_t seed = 0);

/** Score of a (key, node) pair for rendezvous hashing; the highest score wins. */
std::uint64_t rendezvousScore(std::uint64_t keyHash, std::string_view node);

/** Maps a hash to [0, 1) with 53 bits of precision. */
double unitInterval(std::uint64_t hash);

} // namespace jy
