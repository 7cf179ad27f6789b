#include "jy_core/orders/OrderPlanner.h"

namespace jy {

namespace {

/** Returns the version that an empty engine of a model should load. */
VersionId targetVersion(const ModelSpec &model, const MoveTable &moveTable)
{
    for (const auto &move : model.moves) {
        if (moveTable.effectiveRecord(move.id).state != MoveState::TakenBack)
            return move.to;
    }
    return model.serve;
}

} // namespace

std::vector<PlannedOrder> planOrders(const DesiredState &state, const MoveTable &moveTable,
                                     const std::vector<BackendServer> &servers)
{
    std::vector<PlannedOrder> orders;
    for (const auto &server : servers) {
        if (server.kind != ServerKind::Engine || server.leaving || !server.version.empty())
            continue;
        const auto model = state.models.find(server.model);
        if (model == state.models.end())
            continue;
        orders.push_back({server.id, server.model, targetVersion(model->second, moveTable),
                          model->second.weightBytes, server.checksFencing});
    }
    return orders;
}

} // namespace jy
