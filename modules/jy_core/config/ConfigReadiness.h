#pragma once

#include "jy_base/ids/Ids.h"

#include <cstdint>
#include <set>
#include <vector>

namespace jy {

/**
 * Decides when a router that starts or resumes may serve: when it holds the highest revision that
 * the KV service reports or, while the KV service is down, the highest that the peers report in a
 * complete round of queries. Serving with an older revision would revert an accepted configuration
 * for the callers of this router.
 *
 * A round queries all peers known at its start and ends when each has responded or failed; at least
 * one must respond. A fleet without any configuration is not ready.
 */
class ConfigReadiness
{
public:
    /** The KV service reported @p revision; 0 when it holds no head. */
    void onKvResponse(std::uint64_t revision);

    /** The KV service did not respond. */
    void onKvUnavailable() { kvDown_ = true; }

    /** Starts a round of queries. Responses of earlier rounds remain valid as lower bounds. */
    void beginPeerRound(const std::vector<InstanceId> &peers);
    void onPeerResponse(const InstanceId &peer, std::uint64_t revision);
    void onPeerFailed(const InstanceId &peer);

    /** A revision is known from another source, such as gossip. It raises the revision that must be
     *  held, but never makes the router ready by itself. */
    void onRevisionLearned(std::uint64_t revision);

    /** Starts again after a pause of the process. */
    void reset();

    /** Whether the router may serve; stays true until reset(). @param held revision in force */
    bool update(std::uint64_t held);

    bool ready() const { return ready_; }
    /** The highest revision known so far. */
    std::uint64_t highestKnown() const { return highestKnown_; }

private:
    bool kvResponded_ = false;
    bool kvDown_ = false;
    bool roundComplete_ = false;
    bool ready_ = false;
    std::uint64_t highestKnown_ = 0;
    std::size_t responses_ = 0;
    std::set<InstanceId> pending_;
};

} // namespace jy
