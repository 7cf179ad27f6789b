#include "jy_gateway/placement/PromptHolders.h"

#include <algorithm>

namespace jy {

namespace {

bool isOld(const PromptHolder &holder, TimePoint now)
{
    return now - holder.used > PromptHolders::lifetime;
}

} // namespace

std::uint32_t PromptHolders::keyOf(std::uint64_t affinity)
{
    constexpr int upperHalf = 32;
    return static_cast<std::uint32_t>(affinity >> upperHalf);
}

PromptHolders::Entry *PromptHolders::entryFor(std::uint32_t prompt, const ServerId &server,
                                              TimePoint now)
{
    if (prompts_.size() >= maxPrompts && !prompts_.contains(prompt)) {
        std::erase_if(prompts_, [&](const auto &known) {
            return std::ranges::all_of(
                known.second, [&](const Entry &entry) { return isOld(entry.holder, now); });
        });
        if (prompts_.size() >= maxPrompts)
            return nullptr;
    }
    auto &entries = prompts_[prompt];
    const auto found =
        std::ranges::find(entries, server, [](const Entry &entry) { return entry.holder.server; });
    if (found != entries.end())
        return &*found;
    if (entries.size() < maxHolders)
        return &entries.emplace_back(Entry{.holder = {.server = server}});
    auto &oldest = *std::ranges::min_element(entries, {},
                                             [](const Entry &entry) { return entry.holder.used; });
    oldest = {.holder = {.server = server}};
    return &oldest;
}

void PromptHolders::answered(std::uint64_t affinity, std::int64_t tokens, const ServerId &server,
                             TimePoint now)
{
    const auto prompt = keyOf(affinity);
    auto *entry = entryFor(prompt, server, now);
    if (!entry)
        return;
    entry->holder.used = now;
    if (entry->told && now - *entry->told <= repeatAfter)
        return;
    addNews({{prompt, server}, tokens, !entry->told});
    entry->told = now;
    addGroupNews({prompt, server});
}

void PromptHolders::heard(const CachedPrompt &pair, TimePoint now)
{
    heardElsewhere(pair, now);
    addGroupNews(pair);
}

void PromptHolders::heardElsewhere(const CachedPrompt &pair, TimePoint now)
{
    if (auto *entry = entryFor(pair.prompt, pair.server, now)) {
        entry->holder.used = now;
        entry->told = now;
    }
}

std::vector<PromptHolder> PromptHolders::find(std::uint64_t affinity, TimePoint now) const
{
    std::vector<PromptHolder> holders;
    const auto found = prompts_.find(keyOf(affinity));
    if (found == prompts_.end())
        return holders;
    for (const auto &entry : found->second) {
        if (!isOld(entry.holder, now))
            holders.push_back(entry.holder);
    }
    return holders;
}

void PromptHolders::addNews(News news)
{
    news_.push_back(std::move(news));
    if (news_.size() <= maxNews)
        return;
    news_.erase(std::ranges::min_element(news_, {}, &News::urgency));
}

void PromptHolders::addGroupNews(const CachedPrompt &pair)
{
    groupNews_.push_front(pair);
    if (groupNews_.size() > maxNews)
        groupNews_.pop_back();
}

std::vector<CachedPrompt> PromptHolders::takeGroupNews(std::size_t most)
{
    const auto count = static_cast<std::ptrdiff_t>(std::min(most, groupNews_.size()));
    std::vector<CachedPrompt> pairs(groupNews_.begin(), groupNews_.begin() + count);
    groupNews_.clear();
    return pairs;
}

std::vector<CachedPrompt> PromptHolders::takeNews(std::size_t most)
{
    std::ranges::stable_sort(news_, std::ranges::greater(), &News::urgency);
    const auto count = std::min(most, news_.size());
    std::vector<CachedPrompt> pairs;
    pairs.reserve(count);
    for (std::size_t i = 0; i < count; ++i)
        pairs.push_back(std::move(news_[i].pair));
    news_.erase(news_.begin(), news_.begin() + static_cast<std::ptrdiff_t>(count));
    return pairs;
}

} // namespace jy
