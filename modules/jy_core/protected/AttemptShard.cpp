#include "jy_core/protected/AttemptShard.h"

namespace jy {

namespace {

// Brackets of the array.
constexpr std::size_t emptyBytes = 2;

// The text and a comma.
std::size_t sizeOf(const AttemptEntry &entry)
{
    return entry.text.size() + 1;
}

} // namespace

const AttemptRecord *AttemptShard::find(const std::string &key) const
{
    if (const auto changed = changes.find(key); changed != changes.end())
        return changed->second ? &changed->second->record : nullptr;
    const auto found = entries.find(key);
    return found == entries.end() ? nullptr : &found->second->record;
}

void AttemptShard::change(const std::string &key, std::shared_ptr<const AttemptEntry> entry)
{
    const auto changed = changes.find(key);
    const auto stored = entries.find(key);
    if (changed != changes.end()) {
        if (changed->second)
            bytesAfter -= sizeOf(*changed->second);
    } else if (stored != entries.end()) {
        bytesAfter -= sizeOf(*stored->second);
    }
    if (entry)
        bytesAfter += sizeOf(*entry);
    changes.insert_or_assign(key, std::move(entry));
}

std::string AttemptShard::valueAfterChanges() const
{
    auto after = entries;
    for (const auto &[key, entry] : changes) {
        if (entry)
            after.insert_or_assign(key, entry);
        else
            after.erase(key);
    }
    return attemptShardText(after);
}

void AttemptShard::commitChanges(std::uint64_t newIndex)
{
    for (const auto &[key, entry] : changes) {
        if (entry)
            entries.insert_or_assign(key, entry);
        else
            entries.erase(key);
    }
    index = newIndex;
    bytes = bytesAfter;
    changes.clear();
    lostAtIndex.reset();
    fence = false;
}

void AttemptShard::discardChanges()
{
    changes.clear();
    bytesAfter = bytes;
    fence = false;
}

void AttemptShard::load(AttemptEntries newEntries, std::uint64_t newIndex)
{
    entries = std::move(newEntries);
    index = newIndex;
    bytes = emptyBytes;
    for (const auto &[key, entry] : entries)
        bytes += sizeOf(*entry);
    discardChanges();
    loaded = true;
    everLoaded = true;
    // A lost write expects the index at which it was sent; at any other index it fails.
    if (lostAtIndex && *lostAtIndex != index)
        lostAtIndex.reset();
}

} // namespace jy
