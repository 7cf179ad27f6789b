#pragma once

#include "jy_gateway/peers/PeerTable.h"

#include <cstdint>
#include <functional>
#include <string>
#include <string_view>

namespace jy {

/** Largest datagram that a usual link carries unfragmented, with room for headers, in bytes. */
constexpr std::size_t maxHeartbeatBytes = 1400;

/** Largest report in bytes; three fragments on a link of 1,500 bytes. */
constexpr std::size_t maxReportBytes = 4000;

/** Serializes a heartbeat. Servers that do not fit are left out, those with the fewest requests
 * first. */
std::string encodeHeartbeat(const Heartbeat &heartbeat);

/** What heartbeats carry instead of the id of a server. */
std::uint32_t serverHash(const ServerId &server);

/** Finds a server by its serverHash(); null for an unknown one. */
using ServerByHash = std::function<const ServerId *(std::uint32_t hash)>;

/** Finds an instance by its peerHash(); null for an unknown one. */
using InstanceByHash = std::function<const InstanceId *(std::uint32_t hash)>;

/**
 * Servers that @p findServer does not know are left out: their entries have not been read yet.
 *
 * @returns BadRequest for bytes that are no heartbeat, UnknownTarget for a brief heartbeat of an
 * instance that @p findInstance does not know
 */
Result<Heartbeat> decodeHeartbeat(std::string_view bytes, const ServerByHash &findServer,
                                  const InstanceByHash &findInstance);

} // namespace jy
