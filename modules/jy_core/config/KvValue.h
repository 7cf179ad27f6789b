#pragma once

#include <cstdint>
#include <string>

namespace jy {

/** A value stored in the KV service, and its index for compare-and-swap. */
struct KvValue
{
    std::string value;

    /** Modification index; 0 stands for a key that does not exist. */
    std::uint64_t index = 0;

    bool operator==(const KvValue &) const = default;
};

/** Largest value that the KV service stores. */
constexpr std::size_t kvValueLimitBytes = 1'000'000;

} // namespace jy
