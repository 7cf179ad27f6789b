#pragma once

#include "jy_core/model/DesiredState.h"
#include "jy_core/versions/MoveTable.h"

namespace jy {

/** The version that serves a chat, and the move that covers the chat. */
struct SelectedVersion
{
    VersionId version;

    /** The move that covers the chat, whichever version was selected; empty if there is none. */
    MoveId move;
};

/**
 * Selects the version of a model for a chat from the desired state and the progress of its moves.
 *
 * A move of the workspace takes precedence over a move of the whole model.
 *
 * @param chatHash stable hash of the chat
 */
SelectedVersion selectVersion(const ModelSpec &model, const WorkspaceId &workspace,
                              std::uint64_t chatHash, const MoveTable &moveTable);

} // namespace jy
