#pragma once

#include "jy_base/errors/Error.h"
#include "jy_base/ids/Ids.h"
#include "jy_base/time/TimeTypes.h"

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace jy {

/** State of a version move. @see section 7 of the design page */
enum class MoveState {
    Planned,
    Loading, /**< waiting for an engine that runs the new version */
    Judging, /**< the canary share uses the new version while it is analysed */
    Moving, /**< the share of the new version increases step by step */
    Done,
    TakenBack, /**< rolled back: the new version gets no new work */
};

std::string_view toString(MoveState state);

/** Parses the text written by toString(). @returns nothing for any other text. */
std::optional<MoveState> moveStateFromName(std::string_view name);

/** Progress of one move, written to the KV service by compare-and-swap. */
struct MoveRecord
{
    MoveId move;

    /** Increases with each recorded step; of two records the one with the higher number wins. */
    std::uint64_t sequence = 0;

    MoveState state = MoveState::Planned;

    /** Share of chats that use the new version, 0 to 1. */
    double share = 0.0;

    /** Why the move is in this state. */
    std::string reason;

    /** When the state or the share changed last. */
    WallTime changedAt;

    bool operator==(const MoveRecord &) const = default;
};

/** @returns the JSON text stored under the record's key. */
std::string toJson(const MoveRecord &record);

/**
 * Parses the JSON text written by toJson().
 *
 * @returns the record, or BadRequest if a field is missing, has a wrong type or is out of range
 */
Result<MoveRecord> parseMoveRecord(std::string_view text);

} // namespace jy
