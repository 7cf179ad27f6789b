#include "jy_core/config/ConfigReadiness.h"

#include <algorithm>

namespace jy {

void ConfigReadiness::onKvResponse(std::uint64_t revision)
{
    kvResponded_ = true;
    kvDown_ = false;
    onRevisionLearned(revision);
}

void ConfigReadiness::beginPeerRound(const std::vector<InstanceId> &peers)
{
    pending_ = {peers.begin(), peers.end()};
    responses_ = 0;
    roundComplete_ = false;
}

void ConfigReadiness::onPeerResponse(const InstanceId &peer, std::uint64_t revision)
{
    onRevisionLearned(revision);
    if (pending_.erase(peer) == 0)
        return;
    ++responses_;
    roundComplete_ = pending_.empty();
}

void ConfigReadiness::onPeerFailed(const InstanceId &peer)
{
    if (pending_.erase(peer) != 0)
        roundComplete_ = pending_.empty() && responses_ > 0;
}

void ConfigReadiness::onRevisionLearned(std::uint64_t revision)
{
    highestKnown_ = std::max(highestKnown_, revision);
}

void ConfigReadiness::reset()
{
    *this = {};
}

bool ConfigReadiness::update(std::uint64_t held)
{
    const bool queried = kvResponded_ || (kvDown_ && roundComplete_);
    if (queried && held > 0 && held >= highestKnown_)
        ready_ = true;
    return ready_;
}

} // namespace jy
