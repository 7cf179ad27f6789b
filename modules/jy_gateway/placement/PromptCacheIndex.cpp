#include "jy_gateway/placement/PromptCacheIndex.h"

#include <algorithm>

namespace jy {

namespace {

bool isExpired(const PromptCacheLocation &location, TimePoint now)
{
    return now - location.lastUsed > PromptCacheIndex::lifetime;
}

} // namespace

std::uint32_t PromptCacheIndex::keyOf(std::uint64_t affinity)
{
    constexpr int upperHalf = 32;
    return static_cast<std::uint32_t>(affinity >> upperHalf);
}

PromptCacheIndex::Entry *PromptCacheIndex::entryFor(std::uint32_t prompt, const ServerId &server,
                                                    TimePoint now)
{
    if (prompts_.size() >= maxPrompts && !prompts_.contains(prompt)) {
        std::erase_if(prompts_, [&](const auto &known) {
            return std::ranges::all_of(
                known.second, [&](const Entry &entry) { return isExpired(entry.location, now); });
        });
        if (prompts_.size() >= maxPrompts)
            return nullptr;
    }
    auto &entries = prompts_[prompt];
    const auto found = std::ranges::find(entries, server,
                                         [](const Entry &entry) { return entry.location.server; });
    if (found != entries.end())
        return &*found;
    if (entries.size() < maxServersPerPrompt)
        return &entries.emplace_back(Entry{.location = {.server = server}});
    auto &oldest = *std::ranges::min_element(
        entries, {}, [](const Entry &entry) { return entry.location.lastUsed; });
    oldest = {.location = {.server = server}};
    return &oldest;
}

void PromptCacheIndex::addFromResponse(std::uint64_t affinity, std::int64_t tokens,
                                       const ServerId &server, TimePoint now)
{
    const auto prompt = keyOf(affinity);
    auto *entry = entryFor(prompt, server, now);
    if (!entry)
        return;
    entry->location.lastUsed = now;
    if (entry->lastReported && now - *entry->lastReported <= repeatInterval)
        return;
    addUpdate({{prompt, server}, tokens, !entry->lastReported});
    entry->lastReported = now;
    addGroupUpdate({prompt, server});
}

void PromptCacheIndex::addFromPeer(const CachedPrompt &pair, TimePoint now)
{
    addFromGroup(pair, now);
    addGroupUpdate(pair);
}

void PromptCacheIndex::addFromGroup(const CachedPrompt &pair, TimePoint now)
{
    if (auto *entry = entryFor(pair.prompt, pair.server, now)) {
        entry->location.lastUsed = now;
        entry->lastReported = now;
    }
}

std::vector<PromptCacheLocation> PromptCacheIndex::find(std::uint64_t affinity, TimePoint now) const
{
    std::vector<PromptCacheLocation> locations;
    const auto found = prompts_.find(keyOf(affinity));
    if (found == prompts_.end())
        return locations;
    for (const auto &entry : found->second) {
        if (!isExpired(entry.location, now))
            locations.push_back(entry.location);
    }
    return locations;
}

void PromptCacheIndex::addUpdate(Update update)
{
    updates_.push_back(std::move(update));
    if (updates_.size() <= maxUpdates)
        return;
    updates_.erase(std::ranges::min_element(updates_, {}, &Update::priority));
}

void PromptCacheIndex::addGroupUpdate(const CachedPrompt &pair)
{
    groupUpdates_.push_front(pair);
    if (groupUpdates_.size() > maxUpdates)
        groupUpdates_.pop_back();
}

std::vector<CachedPrompt> PromptCacheIndex::takeGroupUpdates(std::size_t maxCount)
{
    const auto count = static_cast<std::ptrdiff_t>(std::min(maxCount, groupUpdates_.size()));
    std::vector<CachedPrompt> pairs(groupUpdates_.begin(), groupUpdates_.begin() + count);
    groupUpdates_.clear();
    return pairs;
}

std::vector<CachedPrompt> PromptCacheIndex::takeUpdates(std::size_t maxCount)
{
    std::ranges::stable_sort(updates_, std::ranges::greater(), &Update::priority);
    const auto count = std::min(maxCount, updates_.size());
    std::vector<CachedPrompt> pairs;
    pairs.reserve(count);
    for (std::size_t i = 0; i < count; ++i)
        pairs.push_back(std::move(updates_[i].pair));
    updates_.erase(updates_.begin(), updates_.begin() + static_cast<std::ptrdiff_t>(count));
    return pairs;
}

} // namespace jy
