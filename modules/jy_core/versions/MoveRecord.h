#pragma once

#include "jy_base/errors/Error.h"
#include "jy_base/ids/Ids.h"
#include "jy_base/time/TimeTypes.h"

#include <cstdint>
#include <string>
#include <string_view>

namespace jy {

/** State of a version move; see section 7 of the design page. */
enum class MoveState {
    Planned,
    Loading, /**< waits for an engine that runs the new version */
    Judging, /**< the canary share is at the new version */
    Moving, /**< the share grows step by step */
    Done,
    TakenBack, /**< rolled back: no new work for the new version */
};

std::string_view toString(MoveState state);

/** The recorded progress of one move; written to the KV service by compare-and-swap. */
struct MoveRecord
{
    MoveId move;

    /** Grows with each recorded step; of two records the higher one is valid. */
    std::uint64_t sequence = 0;

    MoveState state = MoveState::Planned;

    /** Share of chats at the new version, 0 to 1. */
    double share = 0.0;

    /** Why the move is in this state. */
    std::string reason;

    /** When the state or the share changed last. */
    WallTime changedAt;

    bool operator==(const MoveRecord &) const = default;
};

/** @returns the JSON text stored under the record's key. */
std::string toJson(const MoveRecord &record);

/** Reads the JSON text of toJson(). Error: BadRequest that names the missing or wrong field. */
Result<MoveRecord> parseMoveRecord(std::string_view text);

} // namespace jy
