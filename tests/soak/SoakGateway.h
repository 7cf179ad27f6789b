#pragma once

#include "Disturbances.h"

#include "common/ChildProcess.h"
#include "fault_proxy/ProxyLink.h"
#include "platform/GatewayAddresses.h"

#include <memory>
#include <string>

namespace jy::soak {

/** One gateway process; everything that it talks to is reached through links with faults. */
class SoakGateway
{
public:
    SoakGateway(EventLoop &loop, standins::FaultDice &dice, std::string id, std::string domain,
                const Endpoint &store);

    const platform::test::GatewayAddresses &place() const { return place_; }

    /** Addresses at which others reach it. */
    const Endpoint &callerAddress() const { return callerAddress_; }
    const Endpoint &controlAddress() const { return controlAddress_; }
    const Endpoint &peerAddress() const { return peerAddress_; }

    void start(const std::string &folder, const Endpoint &seed);

    bool started() const { return process != nullptr; }
    bool running() const { return process && process->running(); }

    /** Null before the first start. A gateway that was told to end keeps its ended process. */
    std::shared_ptr<bench::ChildProcess> process;

    /** Whether the soak itself ends this process, so that its end is no finding. */
    bool ending = false;

    std::shared_ptr<standins::ProxyLink> callerLink;
    std::shared_ptr<standins::ProxyLink> storeLink;
    std::shared_ptr<standins::ProxyLink> controlLink;
    std::shared_ptr<standins::ProxyLink> peerLink;

private:
    platform::test::GatewayAddresses place_;
    Endpoint callerAddress_;
    Endpoint controlAddress_;
    Endpoint peerAddress_;
    Endpoint storeAddress_;
};

} // namespace jy::soak
