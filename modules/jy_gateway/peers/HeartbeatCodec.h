#pragma once

#include "jy_gateway/peers/PeerTable.h"

#include <cstdint>
#include <functional>
#include <string>
#include <string_view>

namespace jy {

/** Largest heartbeat in bytes: with headers it fits into one frame of a link with an MTU of 1,500.
 */
constexpr std::size_t maxHeartbeatBytes = 1400;

/** Largest group report in bytes; it takes three fragments on a link with an MTU of 1,500. */
constexpr std::size_t maxReportBytes = 4000;

/**
 * Serializes a heartbeat or a group report.
 *
 * Servers that do not fit are omitted, those with the fewest failures and requests first.
 */
std::string encodeHeartbeat(const Heartbeat &heartbeat);

/** Hash that identifies a server in heartbeats, in place of its longer id. */
std::uint32_t serverHash(const ServerId &server);

/** Finds a server by its serverHash(). Returns null for an unknown hash. */
using ServerByHash = std::function<const ServerId *(std::uint32_t hash)>;

/** Finds an instance by its peerHash(). Returns null for an unknown hash. */
using InstanceByHash = std::function<const InstanceId *(std::uint32_t hash)>;

/**
 * Parses a heartbeat or a group report.
 *
 * Servers that @p findServer does not know are omitted: their entries have not been read yet.
 *
 * @returns BadRequest if the bytes are not a valid heartbeat, UnknownTarget for a brief heartbeat
 * or a report from an instance that @p findInstance does not know
 */
Result<Heartbeat> decodeHeartbeat(std::string_view bytes, const ServerByHash &findServer,
                                  const InstanceByHash &findInstance);

} // namespace jy
