#pragma once

#include "jy_base/ids/Ids.h"

#include <map>
#include <vector>

namespace jy {

/** What one workspace wants of a saturated resource. */
struct ShareDemand
{
    double demand = 0;
    double weight = 1;
};

/**
 * Weighted max-min fair allocation: no workspace gets more than it asks for, and what is left is
 * divided by weight among those that want more.
 *
 * @returns the allocation of each demand, in the same order
 */
std::vector<double> maxMinShares(const std::vector<ShareDemand> &demands, double capacity);

/** Requests in flight by workspace, normalised by weight. */
class FairShare
{
public:
    void start(const WorkspaceId &workspace);
    void finish(const WorkspaceId &workspace);
    int inFlight(const WorkspaceId &workspace) const;
    std::size_t workspaces() const { return inFlight_.size(); }

    /** Requests in flight per unit of weight; the lowest is served next. */
    double usage(const WorkspaceId &workspace, double weight) const;

private:
    std::map<WorkspaceId, int> inFlight_;
};

} // namespace jy
