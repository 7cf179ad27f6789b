#include "jy_core/membership/DatagramSize.h"

namespace jy {

namespace {

// Protobuf encodes a field as a one-byte tag and a length or varint. A length below 16 KiB takes at
// most 2 bytes, a 64-bit varint at most 10.
constexpr std::size_t lengthBytes = 3;
constexpr std::size_t varintBytes = 11;
constexpr std::size_t smallVarintBytes = 6;

std::size_t sizeBound(const std::string &text)
{
    return text.empty() ? 0 : text.size() + lengthBytes;
}

std::size_t sizeBound(const Endpoint &endpoint)
{
    if (endpoint == Endpoint{})
        return 0;
    constexpr std::size_t portBytes = 4;
    return lengthBytes + sizeBound(endpoint.address) + portBytes;
}

struct BodySize
{
    std::size_t operator()(const Announce &) const { return 0; }
    std::size_t operator()(const Ping &) const { return varintBytes; }
    std::size_t operator()(const Ack &) const { return varintBytes; }
    std::size_t operator()(const PingRequest &body) const
    {
        return varintBytes + sizeBound(body.target) + sizeBound(body.targetId.value());
    }
    std::size_t operator()(const SyncRequest &body) const { return sizeBound(body.after.value()); }
    std::size_t operator()(const SyncPage &body) const
    {
        return sizeBound(body.after.value()) + sizeBound(body.next.value());
    }
    std::size_t operator()(const PoolReport &body) const
    {
        return sizeBound(body.pool) + 4 * smallVarintBytes;
    }
    std::size_t operator()(const PoolTotals &body) const { return (*this)(body.sum); }
};

} // namespace

std::size_t encodedSizeBound(const MemberInfo &member)
{
    constexpr std::size_t stateBytes = 2;
    return lengthBytes + sizeBound(member.id.value()) + sizeBound(member.domain.value())
        + sizeBound(member.region.value()) + sizeBound(member.gossip) + sizeBound(member.rpc)
        + sizeBound(member.caller) + sizeBound(member.operations) + varintBytes + stateBytes
        + varintBytes;
}

std::size_t encodedSizeBound(const Datagram &datagram)
{
    constexpr std::size_t digestBytes = lengthBytes + smallVarintBytes + 9;
    constexpr std::size_t hybridTimeBytes = 15;
    constexpr std::size_t tableDigestBytes = 9;
    std::size_t bytes = lengthBytes + encodedSizeBound(datagram.piggyback.sender) + varintBytes
        + digestBytes + hybridTimeBytes + tableDigestBytes;
    for (const auto &update : datagram.piggyback.updates)
        bytes += encodedSizeBound(update);
    return bytes + lengthBytes + std::visit(BodySize{}, datagram.body);
}

} // namespace jy
