#pragma once

#include "jy_gateway/placement/ServerHealth.h"

namespace jy {

/** Decides which beats carry addresses and evidence: every ninth one, and one after each failure.
 */
class BeatRhythm
{
public:
    /**
     * Beats from one complete beat to the next. Keeps a fleet of 90 instances below 14 KB/s each;
     * in a fleet of that size evidence is then renewed every 4.9 s.
     */
    static constexpr int completeBeatEvery = 9;

    /** @param evidence what this instance saw of the backend servers by now */
    bool nextIsBrief(const EvidenceByServer &evidence);

private:
    int briefBeats_ = completeBeatEvery;
    double failuresTold_ = 0;
};

} // namespace jy
