#pragma once

#include "jy_gateway/adapter/SharedStore.h"
#include "jy_gateway/model/FleetChange.h"

#include <optional>

namespace jy {

/** Key of an instance's own entry in the shared store. */
std::string instanceKey(const InstanceId &id);

/** Value of that entry: a JSON object with the addresses and the failure domain. */
std::string encodeInstance(const RegisteredInstance &instance);

/** @returns nothing for the keys of other things; an unreadable entry counts as removed. */
std::optional<FleetChange> decodeInstance(const StoreItem &item);

} // namespace jy
