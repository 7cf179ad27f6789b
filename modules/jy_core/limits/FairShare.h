#pragma once

#include "jy_base/ids/Ids.h"

#include <map>
#include <vector>

namespace jy {

/** Demand of one workspace for a saturated resource. */
struct ShareDemand
{
    double demand = 0;
    double weight = 1;
};

/**
 * Weighted max-min fair allocation: no workspace gets more than its demand, and the remaining
 * capacity is divided by weight among the unsatisfied ones.
 *
 * @returns the allocation of each demand, in the same order
 */
std::vector<double> maxMinShares(const std::vector<ShareDemand> &demands, double capacity);

/** Counts the requests in flight of each workspace. */
class FairShare
{
public:
    void start(const WorkspaceId &workspace);
    void finish(const WorkspaceId &workspace);
    int inFlight(const WorkspaceId &workspace) const;
    std::size_t workspaces() const { return inFlight_.size(); }

    /** Requests in flight per unit of weight; the workspace with the least is served next. */
    double usage(const WorkspaceId &workspace, double weight) const;

private:
    std::map<WorkspaceId, int> inFlight_;
};

} // namespace jy
