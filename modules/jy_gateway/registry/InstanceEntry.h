#pragma once

#include "jy_gateway/adapter/SharedStore.h"
#include "jy_gateway/model/FleetChange.h"

#include <optional>

namespace jy {

/** Key of the entry of an instance in the shared store. */
std::string instanceKey(const InstanceId &id);

/** Encodes the value of the entry: a JSON object with the addresses, capacity and failure domain.
 */
std::string encodeInstance(const RegisteredInstance &instance);

/**
 * Decodes the entry of an instance. A malformed entry counts as removed.
 *
 * @returns nothing if the key does not belong to an instance
 */
std::optional<FleetChange> decodeInstance(const StoreItem &item);

} // namespace jy
