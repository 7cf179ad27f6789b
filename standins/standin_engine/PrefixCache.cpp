#include "PrefixCache.h"

#include "jy_base/hashing/StableHash.h"

namespace jy::standins {

namespace {

constexpr std::size_t keptEvents = 1000;

} // namespace

std::vector<std::uint64_t> PrefixCache::prefixesOf(const boost::json::array &messages)
{
    std::vector<std::uint64_t> prefixes;
    std::uint64_t hash = 0;
    for (const auto &message : messages) {
        hash = stableHash(boost::json::serialize(message), hash);
        prefixes.push_back(hash);
    }
    return prefixes;
}

std::size_t PrefixCache::cachedCount(const std::vector<std::uint64_t> &prefixes) const
{
    std::size_t count = 0;
    while (count < prefixes.size() && positions_.contains(prefixes[count]))
        ++count;
    return count;
}

void PrefixCache::store(const std::string &chat, const std::vector<std::uint64_t> &prefixes,
                        std::size_t capacity)
{
    // Shortest last, so that a long prefix is evicted before the prefixes that it extends.
    for (auto it = prefixes.rbegin(); it != prefixes.rend(); ++it) {
        const auto known = positions_.find(*it);
        if (known != positions_.end()) {
            order_.splice(order_.begin(), order_, known->second);
            continue;
        }
        order_.push_front({*it, chat});
        positions_[*it] = order_.begin();
        record(true, chat);
        if (order_.size() > capacity) {
            record(false, order_.back().chat);
            positions_.erase(order_.back().prefix);
            order_.pop_back();
        }
    }
}

void PrefixCache::clear()
{
    for (const Entry &entry : order_)
        record(false, entry.chat);
    order_.clear();
    positions_.clear();
}

std::vector<std::uint64_t> PrefixCache::prefixesOfChat(const std::string &chat) const
{
    std::vector<std::uint64_t> found;
    for (auto it = order_.begin(); it != order_.end(); ++it) {
        if (it->chat == chat)
            found.push_back(it->prefix);
    }
    return found;
}

void PrefixCache::record(bool stored, const std::string &chat)
{
    ++sequence_;
    if (eventLoss > 0 && std::uniform_real_distribution<>(0, 1)(random_) < eventLoss)
        return;
    events_.push_back({sequence_, stored, chat});
    if (events_.size() > keptEvents) {
        events_.pop_front();
        firstKept_ = events_.front().sequence;
    }
}

std::vector<CacheEvent> PrefixCache::eventsSince(std::uint64_t since) const
{
    std::vector<CacheEvent> found;
    for (const CacheEvent &event : events_) {
        if (event.sequence >= since)
            found.push_back(event);
    }
    return found;
}

} // namespace jy::standins
