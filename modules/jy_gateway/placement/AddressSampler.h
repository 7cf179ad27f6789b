#pragma once

#include "jy_gateway/model/FleetChange.h"

#include <cstdint>
#include <vector>

namespace jy {

/**
 * Chooses the instances whose addresses a response of the directory contains.
 *
 * Callers pick one of the addresses at random for each connection, so the number of callers of an
 * instance is proportional to the number of responses that contain it. Each instance is therefore
 * sampled with a probability proportional to its capacity. The sample depends only on the caller
 * and the instances: every instance gives a caller the same response, and it changes little when
 * instances join or leave, so callers keep their connections. This balances many callers over
 * instances of different sizes, also when callers move between failure domains.
 */
class AddressSampler
{
public:
    /** Maximum number of addresses in a response; the platform's callers read 64. */
    static constexpr std::size_t maxAddresses = 64;

    /** Minimum number of addresses, if as many instances are ready, so that a caller can avoid
     * failed ones. */
    static constexpr std::size_t minAddresses = 6;

    /** Expected number of addresses in a large fleet; low enough that random samples rarely exceed
     * the maximum. */
    static constexpr double expectedAddresses = 44;

    /**
     * Relative weight of instances in the failure domain of the caller. It is small, so that the
     * domain is not overloaded when all callers are in it, and a caller has addresses left when the
     * domain loses power.
     */
    static constexpr double localWeight = 1.5;

    /**
     * @param ready instances that accept callers
     * @param caller hash that identifies the caller
     * @param domain failure domain of the caller; may be empty or unknown
     */
    static std::vector<Endpoint> choose(const std::vector<RegisteredInstance> &ready,
                                        std::uint64_t caller, const DomainId &domain);

    /** Capacity of an instance for callers, in thousandths of a core. */
    static double capacity(const RegisteredInstance &instance);
};

} // namespace jy
