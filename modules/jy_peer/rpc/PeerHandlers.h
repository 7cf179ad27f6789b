#pragma once

#include "jy_peer/generated/peer.pb.h"

#include <functional>

namespace jy {

/**
 * Answers to the calls of other routers, one function for each call of peer.proto.
 *
 * Each runs in its own fiber on the loop and may suspend. The caller is authenticated. A missing
 * function answers UNIMPLEMENTED.
 */
struct PeerHandlers
{
    std::function<peer::ReserveReply(const peer::ReserveRequest &)> reserve;
    std::function<peer::ReleaseReply(const peer::ReleaseRequest &)> release;
    std::function<peer::InFlightReply(const peer::InFlightReport &)> reportInFlight;
    std::function<peer::HandOffReply(const peer::HandOffRequest &)> handOff;
    std::function<peer::FetchConfigReply(const peer::FetchConfigRequest &)> fetchConfig;
    std::function<peer::OutcomeReply(const peer::OutcomeReport &)> reportOutcomes;
    std::function<peer::StopMarks(const peer::StopMarks &)> spreadStopMarks;
    std::function<peer::ClaimReply(const peer::ClaimRequest &)> claim;
    std::function<peer::RecordOutcomeReply(const peer::RecordOutcomeRequest &)> recordOutcome;
};

} // namespace jy
