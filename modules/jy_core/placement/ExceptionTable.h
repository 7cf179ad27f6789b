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
 * Maps the chats of one home server that are served by another server to that server.
 *
 * A set-associative table of 16 entries per set. An entry takes 12 bytes: the 64-bit chat hash, a
 * 16-bit server index and a 16-bit generation. The generation is the minute of the last use; in a
 * full set the least recently used entry is replaced. The table grows by doubling up to its
 * capacity, and does not return entries that were not used for a day.
 */
class ExceptionTable
{
public:
    /** @param capacity the largest number of entries, rounded up to 16 times a power of two. */
    explicit ExceptionTable(std::size_t capacity = defaultCapacity);

    /** Holds every chat of a home server: 6.7 million chats over 600 servers are 11,200 each. */
    static constexpr std::size_t defaultCapacity = 16384;

    /** Adds or replaces the entry of a chat. */
    void record(std::uint64_t chatHash, const ServerId &server, TimePoint now);

    /** Returns the server of a chat and marks the entry as used. */
    std::optional<ServerId> find(std::uint64_t chatHash, TimePoint now);

    void erase(std::uint64_t chatHash);

    /** Removes every entry that refers to a server. */
    void forgetServer(const ServerId &server);

    /** Number of entries, including those that are too old to be returned. */
    std::size_t size() const { return size_; }
    std::size_t capacity() const { return maxSets_ * ways; }

    /** Bytes allocated for the slots of the table. */
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

    /** Returns the index of a server and assigns one if needed; noServer if none is free. */
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
