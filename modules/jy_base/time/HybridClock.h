#pragma once

#include "jy_base/time/TimeTypes.h"

#include <cstdint>

namespace jy {

/** Timestamp of a hybrid logical clock; ordered by wall time, then by counter. */
struct HybridTime
{
    /** Wall-clock part, milliseconds since the Unix epoch. */
    std::int64_t wallMs = 0;

    /** Orders events that share a millisecond. */
    std::uint32_t counter = 0;

    auto operator<=>(const HybridTime &) const = default;
};

/**
 * Hybrid logical clock: a timestamp that never goes back and that follows the happens-before
 * relation between processes.
 *
 * Source: Kulkarni et al., "Logical Physical Clocks", 2014.
 */
class HybridClock
{
public:
    /** Returns the timestamp of a local event. @param wall the current wall-clock time. */
    HybridTime tick(WallTime wall);

    /** Merges a timestamp received from a peer. @returns the timestamp of the receive event. */
    HybridTime receive(HybridTime remote, WallTime wall);

private:
    HybridTime last_;
};

} // namespace jy
