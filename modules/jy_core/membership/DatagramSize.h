#pragma once

#include "jy_core/membership/MembershipMessages.h"

#include <cstddef>

namespace jy {

/** Largest datagram on the wire; fits the smallest common MTU after tunnel headers. */
constexpr std::size_t maxDatagramBytes = 1200;

/** Bytes reserved for the key id (at most 32), the authentication code and their framing. */
constexpr std::size_t sealBytes = 64;

/** Upper bound of the encoded size of a member entry, including its framing. */
std::size_t encodedSizeBound(const MemberInfo &member);

/** Upper bound of the encoded size of a datagram without its authentication data. */
std::size_t encodedSizeBound(const Datagram &datagram);

} // namespace jy
