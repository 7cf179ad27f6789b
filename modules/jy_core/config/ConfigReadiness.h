#pragma once

#include "jy_base/ids/Ids.h"

#include <cstdint>
#include <set>
#include <vector>

namespace jy {

/**
 * Decides when a starting or resumed router may serve: it holds the highest revision that the KV
 * service names or, while the KV service is down, the highest that any peer of a complete round of
 * questions names. Serving with an older revision would revert an accepted configuration for the
 * callers of this router.
 *
 * A round asks all peers known at its start and ends when each has answered or failed; at least
 * one must answer. A fleet without any configuration is not ready.
 */
class ConfigReadiness
{
public:
    /** The KV service names @p revision; 0 when it holds no head. */
    void onKvAnswered(std::uint64_t revision);

    /** The KV service did not answer. */
    void onKvUnavailable() { kvDown_ = true; }

    /** Starts a round of questions; answers of earlier rounds stay valid as lower bounds. */
    void beginPeerRound(const std::vector<InstanceId> &peers);
    void onPeerAnswered(const InstanceId &peer, std::uint64_t revision);
    void onPeerFailed(const InstanceId &peer);

    /** A revision learned in passing, for example by gossip. Never satisfies the rule by itself. */
    void onRevisionHeard(std::uint64_t revision);

    /** Starts over after a pause of the process. */
    void reset();

    /** Whether the rule is satisfied; stays true until reset(). @param held revision in force */
    bool update(std::uint64_t held);

    bool ready() const { return ready_; }
    std::uint64_t highestNamed() const { return highest_; }

private:
    bool kvAnswered_ = false;
    bool kvDown_ = false;
    bool roundComplete_ = false;
    bool ready_ = false;
    std::uint64_t highest_ = 0;
    std::size_t answers_ = 0;
    std::set<InstanceId> pending_;
};

} // namespace jy
