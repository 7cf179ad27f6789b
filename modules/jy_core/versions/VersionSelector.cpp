#include "jy_core/versions/VersionSelector.h"

#include "jy_core/versions/VersionMove.h"

namespace jy {

namespace {

const MoveSpec *coveringMove(const ModelSpec &model, const WorkspaceId &workspace)
{
    const MoveSpec *general = nullptr;
    for (const auto &move : model.moves) {
        if (move.workspace && *move.workspace == workspace)
            return &move;
        if (!move.workspace)
            general = &move;
    }
    return general;
}

} // namespace

SelectedVersion selectVersion(const ModelSpec &model, const WorkspaceId &workspace,
                              std::uint64_t chatHash, const MoveTable &moveTable)
{
    const auto *move = coveringMove(model, workspace);
    if (move == nullptr)
        return {model.serve, {}};
    const auto record = moveTable.effectiveRecord(move->id);
    const bool moved = chatUsesNewVersion(move->id, chatHash, record.share);
    return {moved ? move->to : move->from, move->id};
}

} // namespace jy
