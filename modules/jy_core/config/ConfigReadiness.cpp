#include "jy_core/config/ConfigReadiness.h"

#include <algorithm>

namespace jy {

void ConfigReadiness::onKvAnswered(std::uint64_t revision)
{
    kvAnswered_ = true;
    kvDown_ = false;
    onRevisionHeard(revision);
}

void ConfigReadiness::beginPeerRound(const std::vector<InstanceId> &peers)
{
    pending_ = {peers.begin(), peers.end()};
    answers_ = 0;
    roundComplete_ = false;
}

void ConfigReadiness::onPeerAnswered(const InstanceId &peer, std::uint64_t revision)
{
    onRevisionHeard(revision);
    if (pending_.erase(peer) == 0)
        return;
    ++answers_;
    roundComplete_ = pending_.empty();
}

void ConfigReadiness::onPeerFailed(const InstanceId &peer)
{
    if (pending_.erase(peer) != 0)
        roundComplete_ = pending_.empty() && answers_ > 0;
}

void ConfigReadiness::onRevisionHeard(std::uint64_t revision)
{
    highest_ = std::max(highest_, revision);
}

void ConfigReadiness::reset()
{
    *this = {};
}

bool ConfigReadiness::update(std::uint64_t held)
{
    const bool asked = kvAnswered_ || (kvDown_ && roundComplete_);
    if (asked && held > 0 && held >= highest_)
        ready_ = true;
    return ready_;
}

} // namespace jy
