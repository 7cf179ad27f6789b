#pragma once

#include "jy_gateway/model/FleetChange.h"

#include <cstdint>
#include <vector>

namespace jy {

/**
 * Chooses the instances in an answer of the directory.
 *
 * Callers pick one of the addresses at random for each connection, so an instance gets callers
 * in proportion to the number of answers that name it. Each instance is therefore named with a
 * probability in proportion to what it can carry. The draw depends on the caller and the instance
 * only: every instance gives a caller the same answer, and it changes little when instances join or
 * leave, so callers keep their connections. Answers the load of many callers before instances of
 * different sizes, and callers that move between failure domains.
 */
class AddressSampler
{
public:
    /** Addresses in one answer. The platform's callers read 64. */
    static constexpr std::size_t maxAddresses = 64;

    /** Named whatever the draw, if as many are ready, so that a caller can avoid failed ones. */
    static constexpr std::size_t minAddresses = 6;

    /** Expected number of addresses of a large fleet; leaves room for luck below the maximum. */
    static constexpr double usualAddresses = 44;

    /**
     * Weight of instances in the domain of the caller. Small, so that they still carry the load
     * when all callers are in one domain, and a caller has others left when it loses power.
     */
    static constexpr double localWeight = 1.5;

    /**
     * @param ready instances that take callers
     * @param caller hash of what identifies the caller
     * @param domain failure domain of the caller; may be empty or unknown
     */
    static std::vector<Endpoint> choose(const std::vector<RegisteredInstance> &ready,
                                        std::uint64_t caller, const DomainId &domain);

    /** What is left of an instance for callers, in thousandths of a core. */
    static double capacity(const RegisteredInstance &instance);
};

} // namespace jy
