#pragma once

#include "jy_gateway/placement/PromptCacheIndex.h"

#include <chrono>
#include <cstdint>
#include <unordered_map>
#include <vector>

namespace jy {

/**
 * Decides which prompt prefixes are worth a copy between engines of a contended service, and bounds
 * the copies from one engine.
 *
 * A copy takes time of both engines. It pays off only for prefixes that further requests will use.
 */
class PromptCopyLimit
{
public:
    /** Time for which a request counts; engines keep an unused prefix for as long. */
    static constexpr std::chrono::seconds useLifetime = PromptCacheIndex::lifetime;

    /** Earlier requests with a prefix after which it counts as shared by several. */
    static constexpr std::size_t minEarlierUses = 2;

    /** Maximum number of concurrent copies from one engine by this instance. */
    static constexpr std::size_t maxCopiesPerSource = 2;

    /** Longest time for which a prefix counts as cached at the server that a request of this
     * instance was sent to, before its response starts. */
    static constexpr std::chrono::milliseconds pendingLifetime{2000};

    /** Maximum number of prefixes whose uses are counted. */
    static constexpr std::size_t maxPrompts = PromptCacheIndex::maxPrompts;

    /** Records that a request with the prefix was sent to a server. */
    void recordUse(std::uint64_t affinity, const ServerId &server, TimePoint now);

    /**
     * Whether several requests have shared the prefix recently.
     *
     * @param holders number of servers that are known to have it cached; each one has processed a
     *        request of this or another instance
     */
    bool isShared(std::uint64_t affinity, std::size_t holders, TimePoint now) const;

    /** @returns the server that processes the prefix since the last request of this instance, empty
     * if there is none or too long ago */
    ServerId pendingServer(std::uint64_t affinity, TimePoint now) const;

    /** Whether fewer than maxCopiesPerSource copies from the server are under way. */
    bool mayCopyFrom(const ServerId &source, TimePoint now) const;

    /** Records a copy that is expected to end at @p end. */
    void copyStarted(const ServerId &source, TimePoint end, TimePoint now);

private:
    struct Use
    {
        std::size_t count = 0;
        TimePoint last;
        ServerId server;
    };

    std::unordered_map<std::uint64_t, Use> uses_;
    std::unordered_map<ServerId, std::vector<TimePoint>> copyEnds_;
};

} // namespace jy
