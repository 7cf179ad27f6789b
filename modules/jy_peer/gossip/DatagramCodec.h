#pragma once

#include "jy_base/errors/Error.h"
#include "jy_core/membership/MembershipMessages.h"
#include "jy_peer/auth/KeyRing.h"

#include <string>
#include <string_view>

namespace jy {

/** Encodes a datagram as a jy.peer.Datagram. */
std::string encodeDatagram(const Datagram &datagram);

/** @returns BadRequest for bytes that are no datagram or hold a value out of range. */
Result<Datagram> decodeDatagram(std::string_view bytes);

/** Adds the authentication code: a jy.peer.SealedDatagram. */
Result<std::string> sealDatagram(const KeyRing &keys, const std::string &payload);

/** @returns the payload; BadRequest for malformed bytes, Unauthenticated for a wrong code. */
Result<std::string> openDatagram(const KeyRing &keys, std::string_view bytes);

} // namespace jy
