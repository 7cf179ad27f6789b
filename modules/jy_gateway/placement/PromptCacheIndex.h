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

    /** When the server was last known to respond to a request with the prefix. */
    TimePoint lastUsed;
};

/** One prefix that is cached at one server, as exchanged between instances. */
struct CachedPrompt
{
    /** See PromptCacheIndex::keyOf(). */
    std::uint32_t prompt = 0;
    ServerId server;

    bool operator==(const CachedPrompt &) const = default;
};

/**
 * Index of the shared prompt prefixes that backend servers have cached, built from the responses to
 * the requests of all instances.
 *
 * The rendezvous home of a prefix changes with the list of servers, and requests spill from it, so
 * the hash alone does not determine where a prefix is cached. Each instance reports to the others
 * which server has processed which prefix, and repeats the report while the prefix is in use. Pairs
 * of prefix and server that any instance reported recently are not reported again, so the number of
 * reports grows with that of prefixes in use, not with that of requests.
 */
class PromptCacheIndex
{
public:
    /** Time for which an engine usually keeps an unused prefix. */
    static constexpr std::chrono::seconds lifetime{20};

    /** Time after which a pair that is still in use is reported again. Less than half of the
     * lifetime, so that one lost report does no harm. */
    static constexpr std::chrono::seconds repeatInterval{9};

    /** Maximum number of prefixes in the index; a fleet uses some thousands at a time. */
    static constexpr std::size_t maxPrompts = 16384;

    /** Maximum number of servers kept for one prefix. */
    static constexpr std::size_t maxServersPerPrompt = 8;

    /** Maximum number of pairs waiting to be reported; heartbeats carry fewer in a second. */
    static constexpr std::size_t maxUpdates = 64;

    /** Shortens a hash for reports. @param affinity see promptAffinity() */
    static std::uint32_t keyOf(std::uint64_t affinity);

    /** Adds the server of a request of this instance with the prefix; called when its response
     * starts. */
    void addFromResponse(std::uint64_t affinity, std::int64_t tokens, const ServerId &server,
                         TimePoint now);

    /** Adds a pair that another instance of the same group reported. */
    void addFromPeer(const CachedPrompt &pair, TimePoint now);

    /** Adds a pair from the report of another group. */
    void addFromGroup(const CachedPrompt &pair, TimePoint now);

    /** @returns the servers that are known to have the prefix cached */
    std::vector<PromptCacheLocation> find(std::uint64_t affinity, TimePoint now) const;

    /** Removes and returns pairs to report to the other instances: those that no instance has
     * reported first, and among these the longest prefixes first. */
    std::vector<CachedPrompt> takeUpdates(std::size_t maxCount);

    /** Returns the latest pairs of the own group to report to other groups, the newest first, and
     * drops the rest. */
    std::vector<CachedPrompt> takeGroupUpdates(std::size_t maxCount);

    std::size_t size() const { return prompts_.size(); }

private:
    struct Entry
    {
        PromptCacheLocation location;

        /** When any instance last reported this pair. */
        std::optional<TimePoint> lastReported;
    };

    struct Update
    {
        CachedPrompt pair;
        std::int64_t tokens = 0;

        /** No instance has reported this pair before. */
        bool isNew = false;

        auto priority() const { return std::pair(isNew, tokens); }
    };

    /** Finds or creates the entry of a pair. @returns null if the index is full */
    Entry *entryFor(std::uint32_t prompt, const ServerId &server, TimePoint now);
    void addUpdate(Update update);
    void addGroupUpdate(const CachedPrompt &pair);

    std::unordered_map<std::uint32_t, std::vector<Entry>> prompts_;
    std::vector<Update> updates_;
    std::deque<CachedPrompt> groupUpdates_;
};

} // namespace jy
