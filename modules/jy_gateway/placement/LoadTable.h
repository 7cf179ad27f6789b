#pragma once

#include "jy_base/ids/Ids.h"
#include "jy_base/time/TimeTypes.h"

#include <map>

namespace jy {

/** Requests in flight by backend server. */
using LoadByServer = std::map<ServerId, int>;

/**
 * Load of the backend servers: own requests in flight, exactly, and those of the other instances
 * as of their last beat.
 */
class LoadTable
{
public:
    /** Beats older than this are ignored. */
    static constexpr std::chrono::milliseconds maxAge{6000};

    void start(const ServerId &server) { ++own_[server]; }
    void finish(const ServerId &server);

    /** Replaces what another instance reported. */
    void setPeerLoad(const InstanceId &instance, LoadByServer load, TimePoint now);
    void forgetPeer(const InstanceId &instance) { peers_.erase(instance); }

    /** Requests in flight at a server from this instance. */
    int own(const ServerId &server) const;

    /** Requests in flight at a server from all instances, as far as known. */
    int total(const ServerId &server, TimePoint now) const;

    const LoadByServer &own() const { return own_; }

private:
    struct PeerLoad
    {
        LoadByServer load;
        TimePoint received;
    };

    LoadByServer own_;
    std::map<InstanceId, PeerLoad> peers_;
};

} // namespace jy
