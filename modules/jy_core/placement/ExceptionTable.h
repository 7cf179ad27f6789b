#pragma once

#include "jy_base/ids/Ids.h"
#include "jy_base/time/TimeTypes.h"

#include <cstddef>
#include <cstdint>
#include <optional>
#include <unordered_map>
#include <vector>

namespace jy {

/**
 * Chats of one home server that are served elsewhere: chat hash to server.
 *
 * A set-associative table of 16 entries per set. An entry takes 12 bytes: the 64-bit chat hash, a
 * 16-bit server index and a 16-bit generation. The generation is the minute of the last use; a
 * full set replaces its oldest entry. The table grows by doubling up to its capacity, and forgets
 * entries that were not used for a day.
 */
class ExceptionTable
{
public:
    /** @param capacity the largest number of entries, rounded up to 16 times a power of two. */
    explicit ExceptionTable(std::size_t capacity = defaultCapacity);

    /** 6.7 million chats over 600 home servers are 11,200 each; the table holds them all. */
    static constexpr std::size_t defaultCapacity = 16384;

    void record(std::uint64_t chatHash, const ServerId &server, TimePoint now);

    /** Finds an exception and marks it as used. */
    std::optional<ServerId> find(std::uint64_t chatHash, TimePoint now);

    void erase(std::uint64_t chatHash);

    /** Removes every exception that names a server. */
    void forgetServer(const ServerId &server);

    /** Entries, including those that are too old to be found. */
    std::size_t size() const { return size_; }
    std::size_t capacity() const { return maxSets_ * ways; }

    /** Bytes held by the table itself. */
    std::size_t memoryBytes() const;

    struct Item
    {
        std::uint64_t chatHash;
        ServerId server;

        bool operator==(const Item &) const = default;
    };

    /** All entries, for a hand-off. */
    std::vector<Item> items() const;

private:
    static constexpr std::size_t ways = 16;
    static constexpr std::uint16_t noServer = 0xffff;

    std::uint16_t internServer(const ServerId &server);
    void insert(std::uint64_t chatHash, std::uint16_t server, std::uint16_t generation);
    std::optional<std::size_t> slotOf(std::uint64_t chatHash) const;
    void clearSlot(std::size_t slot);
    void grow();

    std::size_t maxSets_;
    std::vector<std::uint64_t> hashes_;
    std::vector<std::uint16_t> servers_;
    std::vector<std::uint16_t> generations_;
    std::size_t size_ = 0;

    std::vector<ServerId> names_;
    std::vector<std::uint16_t> freeIndexes_;
    std::unordered_map<ServerId, std::uint16_t> indexes_;
};

} // namespace jy
