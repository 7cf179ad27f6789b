#pragma once

#include "jy_base/ids/Ids.h"
#include "jy_base/time/TimeTypes.h"

#include <cstdint>
#include <unordered_map>

namespace jy {

/**
 * Which backend server answered the last request with a shared prompt prefix.
 *
 * Rendezvous hashing moves a part of the prefixes to each server that joins, which then has to read
 * them. A prefix that this instance has just used stays where it is cached instead.
 */
class HomeMemory
{
public:
    /** Time for which an engine usually keeps a prefix that nobody uses. */
    static constexpr std::chrono::seconds lifetime{20};

    /** Prefixes that are remembered; an instance sees some tens a second. */
    static constexpr std::size_t maxEntries = 8192;

    void remember(std::uint64_t affinity, const ServerId &server, TimePoint now);

    /** @returns an empty id when nothing recent is known. */
    ServerId find(std::uint64_t affinity, TimePoint now) const;

    std::size_t size() const { return homes_.size(); }

private:
    struct Home
    {
        ServerId server;
        TimePoint used;
    };

    std::unordered_map<std::uint64_t, Home> homes_;
};

} // namespace jy
