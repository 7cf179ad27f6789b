#pragma once

#include "jy_core/model/DesiredState.h"

#include <cstdint>

namespace jy {

/**
 * Whether a failure domain takes new work of a chat.
 *
 * A returning domain takes a share of the chats that grows linearly from 0 to 1 over the ramp. The
 * share is selected by a stable hash, so a chat that has returned stays, and every router selects
 * the same chats.
 */
bool domainAdmits(const DomainSpec &domain, std::chrono::milliseconds returnRamp,
                  std::uint64_t chatHash, WallTime wallNow);

} // namespace jy
