#include "jy_core/placement/ExceptionTable.h"

#include <algorithm>
#include <bit>

namespace jy {

namespace {

// Generations are minutes.
using Generation = std::chrono::duration<std::int64_t, std::ratio<60>>;

// In minutes. Engines evict a cached prefix long before this, so older entries are of no use.
constexpr std::uint16_t maxAge = 24 * 60;

std::uint16_t generationOf(TimePoint now)
{
    return static_cast<std::uint16_t>(
        std::chrono::duration_cast<Generation>(now.time_since_epoch()).count());
}

std::uint16_t age(std::uint16_t current, std::uint16_t generation)
{
    return static_cast<std::uint16_t>(current - generation);
}

} // namespace

ExceptionTable::ExceptionTable(std::size_t capacity)
    : maxSets_(std::bit_ceil(std::max<std::size_t>(1, (capacity + ways - 1) / ways)))
{ }

void ExceptionTable::record(std::uint64_t chatHash, const ServerId &server, TimePoint now)
{
    const auto index = internServer(server);
    if (index == noServer)
        return;
    const auto generation = generationOf(now);
    if (const auto slot = slotOf(chatHash)) {
        servers_[*slot] = index;
        generations_[*slot] = generation;
        return;
    }
    insert(chatHash, index, generation);
}

std::optional<ServerId> ExceptionTable::find(std::uint64_t chatHash, TimePoint now)
{
    const auto slot = slotOf(chatHash);
    if (!slot)
        return std::nullopt;
    const auto current = generationOf(now);
    if (age(current, generations_[*slot]) > maxAge) {
        clearSlot(*slot);
        return std::nullopt;
    }
    generations_[*slot] = current;
    return names_[servers_[*slot]];
}

void ExceptionTable::erase(std::uint64_t chatHash)
{
    if (const auto slot = slotOf(chatHash))
        clearSlot(*slot);
}

void ExceptionTable::forgetServer(const ServerId &server)
{
    const auto found = indexes_.find(server);
    if (found == indexes_.end())
        return;
    for (std::size_t slot = 0; slot < servers_.size(); ++slot) {
        if (servers_[slot] == found->second)
            clearSlot(slot);
    }
    names_[found->second] = ServerId{};
    freeIndexes_.push_back(found->second);
    indexes_.erase(found);
}

std::size_t ExceptionTable::memoryBytes() const
{
    return hashes_.capacity() * sizeof(hashes_[0]) + servers_.capacity() * sizeof(servers_[0])
        + generations_.capacity() * sizeof(generations_[0]);
}

std::vector<ExceptionTable::Item> ExceptionTable::items() const
{
    std::vector<Item> result;
    result.reserve(size_);
    for (std::size_t slot = 0; slot < servers_.size(); ++slot) {
        if (servers_[slot] != noServer)
            result.push_back({hashes_[slot], names_[servers_[slot]]});
    }
    return result;
}

std::uint16_t ExceptionTable::internServer(const ServerId &server)
{
    const auto found = indexes_.find(server);
    if (found != indexes_.end())
        return found->second;
    std::uint16_t index = noServer;
    if (!freeIndexes_.empty()) {
        index = freeIndexes_.back();
        freeIndexes_.pop_back();
        names_[index] = server;
    } else if (names_.size() < noServer) {
        index = static_cast<std::uint16_t>(names_.size());
        names_.push_back(server);
    } else {
        return noServer;
    }
    indexes_.emplace(server, index);
    return index;
}

void ExceptionTable::insert(std::uint64_t chatHash, std::uint16_t server, std::uint16_t generation)
{
    for (;;) {
        const auto sets = hashes_.size() / ways;
        std::size_t oldest = 0;
        if (sets > 0) {
            const auto first = (chatHash & (sets - 1)) * ways;
            oldest = first;
            for (auto slot = first; slot < first + ways; ++slot) {
                if (servers_[slot] == noServer) {
                    hashes_[slot] = chatHash;
                    servers_[slot] = server;
                    generations_[slot] = generation;
                    ++size_;
                    return;
                }
                if (age(generation, generations_[slot]) > age(generation, generations_[oldest]))
                    oldest = slot;
            }
        }
        if (sets < maxSets_) {
            grow();
            continue;
        }
        clearSlot(oldest);
    }
}

std::optional<std::size_t> ExceptionTable::slotOf(std::uint64_t chatHash) const
{
    const auto sets = hashes_.size() / ways;
    if (sets == 0)
        return std::nullopt;
    const auto first = (chatHash & (sets - 1)) * ways;
    for (auto slot = first; slot < first + ways; ++slot) {
        if (servers_[slot] != noServer && hashes_[slot] == chatHash)
            return slot;
    }
    return std::nullopt;
}

void ExceptionTable::clearSlot(std::size_t slot)
{
    if (servers_[slot] == noServer)
        return;
    servers_[slot] = noServer;
    --size_;
}

void ExceptionTable::grow()
{
    const auto slots = std::max<std::size_t>(1, 2 * hashes_.size() / ways) * ways;
    const auto hashes = std::exchange(hashes_, std::vector<std::uint64_t>(slots));
    const auto servers = std::exchange(servers_, std::vector<std::uint16_t>(slots, noServer));
    const auto generations = std::exchange(generations_, std::vector<std::uint16_t>(slots));
    size_ = 0;
    for (std::size_t slot = 0; slot < hashes.size(); ++slot) {
        if (servers[slot] != noServer)
            insert(hashes[slot], servers[slot], generations[slot]);
    }
}

} // namespace jy
