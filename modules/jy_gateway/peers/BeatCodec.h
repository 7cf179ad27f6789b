#pragma once

#include "jy_gateway/peers/PeerTable.h"

#include <string>
#include <string_view>

namespace jy {

/** Largest datagram that a usual link carries unfragmented, with room for headers, in bytes. */
constexpr std::size_t maxBeatBytes = 1400;

/** Serializes a beat. Servers that do not fit are left out, those with the least use first. */
std::string encodeBeat(const InstanceBeat &beat);

/** @returns BadRequest for bytes that are no beat. */
Result<InstanceBeat> decodeBeat(std::string_view bytes);

} // namespace jy
