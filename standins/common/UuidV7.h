#pragma once

#include <array>
#include <chrono>
#include <cstdint>
#include <cstdio>
#include <random>
#include <string>

namespace jy::standins {

/** Creates a version 7 UUID (RFC 9562, section 5.7): 48 bits of Unix time in ms, then random bits.
 */
inline std::string uuidV7(std::chrono::system_clock::time_point time, std::mt19937_64 &random)
{
    const auto millis =
        std::chrono::duration_cast<std::chrono::milliseconds>(time.time_since_epoch()).count();
    const std::uint64_t a = random();
    const std::uint64_t b = random();
    std::array<char, 40> text{};
    std::snprintf(text.data(), text.size(), "%08llx-%04llx-7%03llx-%04llx-%012llx",
                  static_cast<unsigned long long>(millis >> 16),
                  static_cast<unsigned long long>(millis & 0xffff),
                  static_cast<unsigned long long>(a & 0xfff),
                  static_cast<unsigned long long>(0x8000 | (b >> 48 & 0x3fff)),
                  static_cast<unsigned long long>(b & 0xffffffffffff));
    return text.data();
}

} // namespace jy::standins
