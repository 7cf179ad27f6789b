#pragma once

#include "jy_gateway/model/FleetChange.h"

#include <string_view>
#include <vector>

namespace jy {

/** Sorts instances by rendezvous hashing; each key gives another order. */
void sortByRank(std::string_view key, std::vector<RegisteredInstance> &instances);

/**
 * Selects the instances for a task that needs bandwidth: those with the widest links, in an order
 * by rendezvous hashing among equals. All instances with the same view select the same ones.
 *
 * @param purpose name of the task; instances with equal links are selected differently for each
 */
std::vector<RegisteredInstance>
widestInstances(std::string_view purpose, std::vector<RegisteredInstance> live, std::size_t count);

} // namespace jy
