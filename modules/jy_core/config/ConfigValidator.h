#pragma once

#include "jy_core/config/ConfigIssue.h"
#include "jy_core/model/DesiredState.h"

namespace jy {

/**
 * Checks the rules that concern more than one value, such as references between entries, and the
 * deadlines of moves.
 *
 * - Workspaces refer to existing models and services. Moves and "serve" refer to listed versions of
 *   the model. A move for a workspace refers to an existing one that uses the model.
 * - A move starts at the version that serves and ends at another one. Move ids are unique in all
 *   models, because they are KV keys. A model has at most one move for all workspaces and at most
 *   one per workspace, and a move for a workspace has the same target as one for all.
 * - The deadline of a move is in the future, unless @p inForce has the same move already: a file
 *   that still lists a finished move can be applied again.
 * - At least one of the listed failure domains accepts work.
 *
 * @param inForce the state that the file would replace, or null for the first one
 * @returns all issues; empty for a valid state
 */
ConfigIssues validateDesiredState(const DesiredState &state, WallTime now,
                                  const DesiredState *inForce);

/**
 * Sets the ramp start of returning domains that have none: the start in force while the domain is
 * already returning, otherwise @p now. Applying the same file again does not restart a ramp.
 */
void completeReturnStarts(DesiredState &state, WallTime now, const DesiredState *inForce);

} // namespace jy
