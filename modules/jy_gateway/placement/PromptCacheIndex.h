#pragma once

#include "jy_base/ids/Ids.h"
#include "jy_base/time/TimeTypes.h"

#include <cstdint>
#include <deque>
#include <optional>
#include <unordered_map>
#include <utility>
#include <vector>

namespace jy {

/** A backend server that has a prompt prefix cached. */
struct PromptCacheLocation
{
    ServerId server;

    /** When a request with the prefix was last known to be answered there. */
    TimePoint used;
};

/** One prefix at one server, as instances tell each other. */
struct CachedPrompt
{
    /** See PromptCacheIndex::keyOf(). */
    std::uint32_t prompt = 0;
    ServerId server;

    bool operator==(const CachedPrompt &) const = default;
};

/**
 * Which backend servers have which shared prompt prefixes cached, from the answers of all
 * instances.
 *
 * The rendezvous home of a prefix changes with the list of servers, and prefixes spill from it, so
 * that a hash alone does not tell where a prefix is cached. Each instance tells the others which
 * server has read which prefix, and again while the prefix stays in use. A pair
 * that somebody has told lately is not repeated, so the volume follows the number of prefixes in
 * use and not that of requests.
 */
class PromptCacheIndex
{
public:
    /** Time for which an engine usually keeps a prefix that nobody uses. */
    static constexpr std::chrono::seconds lifetime{20};

    /** Time after which a pair that is still in use is told again; one repetition may be lost. */
    static constexpr std::chrono::seconds repeatAfter{9};

    /** Prefixes that are remembered; a fleet uses some thousands at a time. */
    static constexpr std::size_t maxPrompts = 16384;

    /** Servers remembered for one prefix. */
    static constexpr std::size_t maxHolders = 8;

    /** Pairs that wait to be told; more than heartbeats carry in a second. */
    static constexpr std::size_t maxUpdates = 64;

    /** @param affinity see promptAffinity() */
    static std::uint32_t keyOf(std::uint64_t affinity);

    /** A server has begun to answer a request with the prefix to this instance. */
    void answered(std::uint64_t affinity, std::int64_t tokens, const ServerId &server,
                  TimePoint now);

    /** Another instance of the own group told a pair. */
    void addFromPeer(const CachedPrompt &pair, TimePoint now);

    /** A report about another group contained a pair. */
    void addFromGroup(const CachedPrompt &pair, TimePoint now);

    /** Servers that have the prefix, as far as known. */
    std::vector<PromptCacheLocation> find(std::uint64_t affinity, TimePoint now) const;

    /** What the others should hear, each pair once: first what nobody has told, and the longest
     * prefixes first. */
    std::vector<CachedPrompt> takeUpdates(std::size_t most);

    /** What other groups should hear of the own one, the latest first; each pair is handed out
     * once.
     */
    std::vector<CachedPrompt> takeGroupUpdates(std::size_t most);

    std::size_t size() const { return prompts_.size(); }

private:
    struct Entry
    {
        PromptCacheLocation holder;

        /** When any instance last told this pair. */
        std::optional<TimePoint> told;
    };

    struct Update
    {
        CachedPrompt pair;
        std::int64_t tokens = 0;

        /** Nobody told this pair before. */
        bool isNew = false;

        auto urgency() const { return std::pair(isNew, tokens); }
    };

    /** @returns null when there is no room */
    Entry *entryFor(std::uint32_t prompt, const ServerId &server, TimePoint now);
    void addUpdate(Update update);
    void addGroupUpdate(const CachedPrompt &pair);

    std::unordered_map<std::uint32_t, std::vector<Entry>> prompts_;
    std::vector<Update> updates_;
    std::deque<CachedPrompt> groupUpdates_;
};

} // namespace jy
