#pragma once

#include "FaultRules.h"

#include <cstdint>
#include <memory>
#include <string>

namespace boost::asio {
class io_context;
}

namespace jy::standins {

/** Counts of one proxied port since the start. */
struct LinkCounters
{
    std::uint64_t sessions = 0;
    std::uint64_t bytesForward = 0;
    std::uint64_t bytesBackward = 0;
    std::uint64_t faults = 0;
};

/** One proxied port of the loopback interface. */
class ProxyLink
{
public:
    virtual ~ProxyLink() = default;

    /** Applies rules that also concern open connections, such as a reset. */
    virtual void rulesChanged() = 0;

    FaultRules rules;
    LinkCounters counters;
};

/** Binds a port; throws boost::system::system_error when it is in use. */
std::shared_ptr<ProxyLink> createTcpLink(boost::asio::io_context &io, std::uint16_t listenPort,
                                         std::uint16_t targetPort, FaultDice &dice);
std::shared_ptr<ProxyLink> createUdpLink(boost::asio::io_context &io, std::uint16_t listenPort,
                                         std::uint16_t targetPort, FaultDice &dice);

} // namespace jy::standins
