#include "jy_core/protected/AttemptShard.h"

namespace jy {

namespace {

// The brackets of the JSON array.
constexpr std::size_t emptyArrayBytes = 2;

// Size of an entry in the JSON array, with its comma.
std::size_t serializedSize(const AttemptEntry &entry)
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
            bytesAfterChanges -= serializedSize(*changed->second);
    } else if (stored != entries.end()) {
        bytesAfterChanges -= serializedSize(*stored->second);
    }
    if (entry)
        bytesAfterChanges += serializedSize(*entry);
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
    bytes = bytesAfterChanges;
    changes.clear();
    unconfirmedWriteIndex.reset();
    needsFencingWrite = false;
}

void AttemptShard::discardChanges()
{
    changes.clear();
    bytesAfterChanges = bytes;
    needsFencingWrite = false;
}

void AttemptShard::load(AttemptEntries newEntries, std::uint64_t newIndex)
{
    entries = std::move(newEntries);
    index = newIndex;
    bytes = emptyArrayBytes;
    for (const auto &[key, entry] : entries)
        bytes += serializedSize(*entry);
    discardChanges();
    loaded = true;
    everLoaded = true;
    // An unconfirmed write expects the index at which it was sent, so it can no longer succeed at
    // another one.
    if (unconfirmedWriteIndex && *unconfirmedWriteIndex != index)
        unconfirmedWriteIndex.reset();
}

} // namespace jy
