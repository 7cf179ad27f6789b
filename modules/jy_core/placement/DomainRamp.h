#pragma once

#include "jy_core/model/DesiredState.h"

#include <cstdint>

namespace jy {

/**
 * Whether a failure domain accepts new work of a chat.
 *
 * A returning domain accepts a share of the chats that grows linearly from 0 to 1 over the ramp. A
 * stable hash selects the chats, so an admitted chat stays admitted, and every router admits the
 * same chats.
 */
bool domainAdmits(const DomainSpec &domain, std::chrono::milliseconds returnRamp,
                  std::uint64_t chatHash, WallTime wallNow);

} // namespace jy
