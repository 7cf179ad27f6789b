#pragma once

#include "jy_core/membership/MembershipMessages.h"

#include <cstddef>

namespace jy {

/** Largest datagram on the wire; below the smallest usual MTU minus tunnel headers. */
constexpr std::size_t maxDatagramBytes = 1200;

/** Reserved for the key id (at most 32 bytes), the authentication code and their framing. */
constexpr std::size_t sealBytes = 64;

/** Upper bound of the encoded size of a member entry, including its framing. */
std::size_t encodedSizeBound(const MemberInfo &member);

/** Upper bound of the encoded size of a datagram before sealing. */
std::size_t encodedSizeBound(const Datagram &datagram);

} // namespace jy
