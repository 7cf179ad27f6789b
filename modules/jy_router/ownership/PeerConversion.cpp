#include "jy_router/ownership/PeerConversion.h"

#include "jy_base/errors/ErrorTable.h"

#include <string>

namespace jy {

namespace {

std::uint32_t milliseconds(Duration duration)
{
    const auto count = std::chrono::ceil<std::chrono::milliseconds>(duration).count();
    return count > 0 ? static_cast<std::uint32_t>(count) : 0;
}

} // namespace

peer::Failure toProto(const Error &error, const InstanceId &owner)
{
    peer::Failure failure;
    failure.set_kind(std::string(answerFor(error.kind).name));
    failure.set_message(error.message);
    failure.set_retry_after_ms(milliseconds(error.retryAfter));
    failure.set_owner(owner.value());
    return failure;
}

Error fromProto(const peer::Failure &failure)
{
    return {errorKindFromName(failure.kind()).value_or(ErrorKind::Internal), failure.message(),
            std::chrono::milliseconds(failure.retry_after_ms())};
}

peer::ReservationId toProto(const ReservationKey &key)
{
    peer::ReservationId id;
    id.set_owner(key.owner.value());
    id.set_owner_incarnation(key.incarnation);
    id.set_sequence(key.sequence);
    return id;
}

ReservationKey fromProto(const peer::ReservationId &id)
{
    return {InstanceId(id.owner()), id.owner_incarnation(), id.sequence()};
}

peer::InFlight toProto(const HeldReservation &held)
{
    peer::InFlight inFlight;
    *inFlight.mutable_reservation() = toProto(held.key);
    inFlight.set_server(held.server.value());
    inFlight.set_workspace(held.workspace.value());
    return inFlight;
}

HeldReservation fromProto(const peer::InFlight &inFlight, const InstanceId &holder)
{
    return {fromProto(inFlight.reservation()), ServerId(inFlight.server()),
            WorkspaceId(inFlight.workspace()), holder};
}

peer::Outcome toProto(const RequestSample &sample)
{
    peer::Outcome outcome;
    outcome.set_ok(sample.ok);
    outcome.set_has_first_token(sample.firstToken > Duration::zero());
    outcome.set_first_token_ms(milliseconds(sample.firstToken));
    outcome.set_total_ms(milliseconds(sample.total));
    outcome.set_cache_hit(sample.cacheHit);
    return outcome;
}

RequestSample fromProto(const peer::Outcome &outcome)
{
    RequestSample sample{.ok = outcome.ok(),
                         .total = std::chrono::milliseconds(outcome.total_ms()),
                         .cacheHit = outcome.cache_hit()};
    if (outcome.has_first_token())
        sample.firstToken = std::chrono::milliseconds(outcome.first_token_ms());
    return sample;
}

peer::HandOffServer toProto(const HandOffState &state)
{
    peer::HandOffServer server;
    server.set_server(state.server.value());
    for (const auto &held : state.inFlight) {
        *server.add_in_flight() = toProto(held);
        server.add_holders(held.holder.value());
    }
    server.set_limit(state.limit);
    server.set_cold(state.cold);
    server.set_start_identity(state.startIdentity);
    server.set_baseline_first_token_ms(state.baselineFirstTokenMs);
    for (const auto &item : state.exceptions) {
        auto *exception = server.add_exceptions();
        exception->set_chat_hash(item.chatHash);
        exception->set_server(item.server.value());
    }
    return server;
}

HandOffState fromProto(const peer::HandOffServer &server)
{
    HandOffState state{.server = ServerId(server.server()),
                       .limit = server.limit(),
                       .cold = server.cold(),
                       .startIdentity = server.start_identity(),
                       .baselineFirstTokenMs = server.baseline_first_token_ms()};
    const int count = std::min(server.in_flight_size(), server.holders_size());
    for (int i = 0; i < count; ++i)
        state.inFlight.push_back(fromProto(server.in_flight(i), InstanceId(server.holders(i))));
    for (const auto &exception : server.exceptions())
        state.exceptions.push_back({exception.chat_hash(), ServerId(exception.server())});
    return state;
}

} // namespace jy
