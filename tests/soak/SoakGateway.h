#pragma once

#include "Disturbances.h"

#include "common/ChildProcess.h"
#include "fault_proxy/ProxyLink.h"
#include "platform/GatewayAddresses.h"

#include <memory>
#include <string>

namespace jy::soak {

/** One gateway process; its connections pass through proxy links that can inject faults. */
class SoakGateway
{
public:
    SoakGateway(EventLoop &loop, standins::FaultDice &dice, std::string id, std::string domain,
                const Endpoint &store);

    const platform::test::GatewayAddresses &place() const { return place_; }

    /** Addresses of the proxy links in front of the gateway. */
    const Endpoint &callerAddress() const { return callerAddress_; }
    const Endpoint &controlAddress() const { return controlAddress_; }
    const Endpoint &peerAddress() const { return peerAddress_; }

    void start(const std::string &folder, const Endpoint &seed, const Endpoint &dutyApi);

    bool started() const { return process != nullptr; }
    bool running() const { return process && process->running(); }

    /** Null before the first start; kept after the process has exited. */
    std::shared_ptr<bench::ChildProcess> process;

    /** Whether the soak itself stops this process, so that its exit is not a finding. */
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
