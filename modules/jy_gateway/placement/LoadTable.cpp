#include "jy_gateway/placement/LoadTable.h"

namespace jy {

void LoadTable::finish(const ServerId &server)
{
    const auto found = own_.find(server);
    if (found != own_.end() && --found->second == 0)
        own_.erase(found);
}

void LoadTable::setPeerLoad(const InstanceId &instance, LoadByServer load, TimePoint now)
{
    peers_[instance] = {std::move(load), now};
}

int LoadTable::own(const ServerId &server) const
{
    const auto found = own_.find(server);
    return found == own_.end() ? 0 : found->second;
}

int LoadTable::total(const ServerId &server, TimePoint now) const
{
    int sum = own(server);
    for (const auto &[instance, peer] : peers_) {
        if (now - peer.received > maxAge)
            continue;
        const auto found = peer.load.find(server);
        if (found != peer.load.end())
            sum += found->second;
    }
    return sum;
}

} // namespace jy
