#pragma once

#include <boost/json.hpp>

#include <cstdint>
#include <list>
#include <random>
#include <string>
#include <unordered_map>
#include <vector>

namespace jy::standins {

/** A change of the cache as it is reported to routers. */
struct CacheEvent
{
    std::uint64_t sequence = 0;
    bool stored = true;
    std::string chat;
};

/** Least recently used set of prompt prefixes, each known by its hash and the chat that stored it.
 */
class PrefixCache
{
public:
    /** Hashes of all prefixes of @p messages, shortest first. */
    static std::vector<std::uint64_t> prefixesOf(const boost::json::array &messages);

    /** @returns how many of @p prefixes are cached, counted from the first. */
    std::size_t cachedCount(const std::vector<std::uint64_t> &prefixes) const;

    void store(const std::string &chat, const std::vector<std::uint64_t> &prefixes,
               std::size_t capacity);
    void clear();

    /** The prefixes that a chat has stored, shortest first. */
    std::vector<std::uint64_t> prefixesOfChat(const std::string &chat) const;

    /** Kept events with a sequence number of at least @p since; the oldest are dropped. */
    std::vector<CacheEvent> eventsSince(std::uint64_t since) const;
    std::uint64_t nextSequence() const { return sequence_ + 1; }
    std::uint64_t firstKept() const { return events_.empty() ? sequence_ + 1 : firstKept_; }

    /** Share of events that are lost. */
    double eventLoss = 0;

private:
    struct Entry
    {
        std::uint64_t prefix;
        std::string chat;
    };

    void record(bool stored, const std::string &chat);

    std::list<Entry> order_;
    std::unordered_map<std::uint64_t, std::list<Entry>::iterator> positions_;
    std::list<CacheEvent> events_;
    std::uint64_t sequence_ = 0;
    std::uint64_t firstKept_ = 1;
    std::minstd_rand random_;
};

} // namespace jy::standins
