#pragma once

#include "jy_gateway/adapter/SharedStore.h"
#include "jy_gateway/model/FleetChange.h"

#include <optional>
#include <string>

namespace jy {

/** Store key of the progress of a service's rollout. */
std::string rolloutProgressKey(const ServiceId &service);

std::string encodeRolloutProgress(const RolloutProgress &progress);

/**
 * Decodes the progress of a rollout. Unknown fields are ignored.
 *
 * @returns nothing for other keys, for the removal of a progress, and for values that cannot be
 * read, among them phases of a later build
 */
std::optional<RolloutProgress> decodeRolloutProgress(const StoreItem &item);

std::string_view toString(RolloutPhase phase);

} // namespace jy
