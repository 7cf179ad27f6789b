#pragma once

#include "jy_core/ledger/LedgerTypes.h"
#include "jy_peer/generated/peer.pb.h"

namespace jy {

peer::Failure toProto(const Error &error, const InstanceId &owner = {});

/** An unknown kind, sent by a newer release, becomes Internal. */
Error fromProto(const peer::Failure &failure);

peer::ReservationId toProto(const ReservationKey &key);
ReservationKey fromProto(const peer::ReservationId &id);

peer::InFlight toProto(const HeldReservation &held);

/** @param holder the sender of the report that contains the entry */
HeldReservation fromProto(const peer::InFlight &inFlight, const InstanceId &holder);

peer::Outcome toProto(const RequestSample &sample);
RequestSample fromProto(const peer::Outcome &outcome);

peer::HandOffServer toProto(const HandOffState &state);
HandOffState fromProto(const peer::HandOffServer &server);

} // namespace jy
