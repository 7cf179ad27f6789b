#include "jy_peer/gossip/DatagramCodec.h"

#include "jy_peer/generated/peer.pb.h"

#include <limits>

namespace jy {

namespace {

constexpr std::size_t longestText = 128;
constexpr std::size_t codeBytes = 16;
constexpr std::string_view sealDomain = "jy-datagram\n";

static_assert(static_cast<int>(MemberState::Left) == peer::LEFT);
static_assert(static_cast<int>(MemberState::Leaving) == peer::LEAVING);

void encode(const Endpoint &endpoint, peer::Endpoint *out)
{
    out->set_address(endpoint.address);
    out->set_port(endpoint.port);
}

void encode(const MemberInfo &member, peer::Member *out)
{
    out->set_id(member.id.value());
    out->set_domain(member.domain.value());
    out->set_region(member.region.value());
    if (member.gossip != Endpoint{})
        encode(member.gossip, out->mutable_gossip());
    if (member.rpc != Endpoint{})
        encode(member.rpc, out->mutable_rpc());
    if (member.caller != Endpoint{})
        encode(member.caller, out->mutable_caller());
    if (member.operations != Endpoint{})
        encode(member.operations, out->mutable_operations());
    out->set_incarnation(member.incarnation);
    out->set_state(static_cast<peer::MemberState>(member.state));
    out->set_applied_revision(member.appliedRevision);
}

void encode(const Piggyback &piggyback, peer::Piggyback *out)
{
    encode(piggyback.sender, out->mutable_sender());
    for (const auto &update : piggyback.updates)
        encode(update, out->add_updates());
    out->set_head_revision(piggyback.headRevision);
    out->mutable_stop_marks()->set_count(piggyback.stopMarks.count);
    out->mutable_stop_marks()->set_hash(piggyback.stopMarks.hash);
    out->mutable_hybrid_time()->set_wall_ms(piggyback.hybridTime.wallMs);
    out->mutable_hybrid_time()->set_counter(piggyback.hybridTime.counter);
    out->set_table_digest(piggyback.tableDigest);
}

template <class Message>
void encodePool(const PoolReport &report, Message *out)
{
    out->set_pool(report.pool);
    out->set_in_flight(report.inFlight);
    out->set_servers(report.servers);
    out->set_limit(report.limit);
    out->set_queued(report.queued);
}

struct BodyEncoder
{
    peer::Datagram &out;

    void operator()(const Announce &) const { out.mutable_announce(); }
    void operator()(const Ping &body) const { out.mutable_ping()->set_sequence(body.sequence); }
    void operator()(const Ack &body) const { out.mutable_ack()->set_sequence(body.sequence); }
    void operator()(const PingRequest &body) const
    {
        auto *request = out.mutable_ping_request();
        request->set_sequence(body.sequence);
        encode(body.target, request->mutable_target());
        request->set_target_id(body.targetId.value());
    }
    void operator()(const SyncRequest &body) const
    {
        out.mutable_sync_request()->set_after(body.after.value());
    }
    void operator()(const SyncPage &body) const
    {
        out.mutable_sync_page()->set_after(body.after.value());
        out.mutable_sync_page()->set_next(body.next.value());
    }
    void operator()(const PoolReport &body) const { encodePool(body, out.mutable_pool_report()); }
    void operator()(const PoolTotals &body) const
    {
        encodePool(body.sum, out.mutable_pool_totals());
    }
};

bool decode(const peer::Endpoint &in, Endpoint &out)
{
    if (in.port() > std::numeric_limits<std::uint16_t>::max() || in.address().size() > longestText)
        return false;
    out = {in.address(), static_cast<std::uint16_t>(in.port())};
    return true;
}

bool decode(const peer::Member &in, MemberInfo &out)
{
    if (in.id().empty() || in.id().size() > longestText || in.domain().size() > longestText
        || in.region().size() > longestText || !peer::MemberState_IsValid(in.state())) {
        return false;
    }
    out.id = InstanceId(in.id());
    out.domain = DomainId(in.domain());
    out.region = RegionId(in.region());
    out.incarnation = in.incarnation();
    out.state = static_cast<MemberState>(in.state());
    out.appliedRevision = in.applied_revision();
    return decode(in.gossip(), out.gossip) && decode(in.rpc(), out.rpc)
        && decode(in.caller(), out.caller) && decode(in.operations(), out.operations);
}

bool decode(const peer::Piggyback &in, Piggyback &out)
{
    if (!decode(in.sender(), out.sender))
        return false;
    out.updates.resize(static_cast<std::size_t>(in.updates_size()));
    for (int i = 0; i < in.updates_size(); ++i) {
        if (!decode(in.updates(i), out.updates[static_cast<std::size_t>(i)]))
            return false;
    }
    out.headRevision = in.head_revision();
    out.stopMarks = {in.stop_marks().count(), in.stop_marks().hash()};
    out.hybridTime = {in.hybrid_time().wall_ms(), in.hybrid_time().counter()};
    out.tableDigest = in.table_digest();
    return true;
}

template <class Message>
PoolReport decodePool(const Message &in)
{
    return {in.pool(), in.in_flight(), in.servers(), in.limit(), in.queued()};
}

bool decodeBody(const peer::Datagram &in, Datagram &out)
{
    switch (in.body_case()) {
    case peer::Datagram::kAnnounce:
        out.body = Announce{};
        return true;
    case peer::Datagram::kPing:
        out.body = Ping{in.ping().sequence()};
        return true;
    case peer::Datagram::kAck:
        out.body = Ack{in.ack().sequence()};
        return true;
    case peer::Datagram::kPingRequest: {
        PingRequest body{
            in.ping_request().sequence(), {}, InstanceId(in.ping_request().target_id())};
        const bool valid = decode(in.ping_request().target(), body.target);
        out.body = std::move(body);
        return valid;
    }
    case peer::Datagram::kSyncRequest:
        out.body = SyncRequest{InstanceId(in.sync_request().after())};
        return true;
    case peer::Datagram::kSyncPage:
        out.body = SyncPage{InstanceId(in.sync_page().after()), InstanceId(in.sync_page().next())};
        return true;
    case peer::Datagram::kPoolReport:
        out.body = decodePool(in.pool_report());
        return true;
    case peer::Datagram::kPoolTotals:
        out.body = PoolTotals{decodePool(in.pool_totals())};
        return true;
    case peer::Datagram::BODY_NOT_SET:
        return false;
    }
    return false;
}

std::string sealedText(const std::string &keyId, const std::string &payload)
{
    return std::string(sealDomain).append(keyId).append("\n").append(payload);
}

} // namespace

std::string encodeDatagram(const Datagram &datagram)
{
    peer::Datagram message;
    encode(datagram.piggyback, message.mutable_piggyback());
    std::visit(BodyEncoder{message}, datagram.body);
    return message.SerializeAsString();
}

Result<Datagram> decodeDatagram(std::string_view bytes)
{
    peer::Datagram message;
    Datagram datagram;
    if (!message.ParseFromArray(bytes.data(), static_cast<int>(bytes.size()))
        || !decode(message.piggyback(), datagram.piggyback) || !decodeBody(message, datagram)) {
        return failure(ErrorKind::BadRequest, "the datagram is malformed");
    }
    return datagram;
}

Result<std::string> sealDatagram(const KeyRing &keys, const std::string &payload)
{
    const auto keyId = keys.sealingKeyId();
    BOOST_OUTCOME_TRY(const auto code, keys.code(keyId, sealedText(keyId, payload)));
    peer::SealedDatagram sealed;
    sealed.set_key_id(keyId);
    sealed.set_payload(payload);
    sealed.set_mac(code.data(), codeBytes);
    return sealed.SerializeAsString();
}

Result<std::string> openDatagram(const KeyRing &keys, std::string_view bytes)
{
    peer::SealedDatagram sealed;
    if (!sealed.ParseFromArray(bytes.data(), static_cast<int>(bytes.size())))
        return failure(ErrorKind::BadRequest, "the sealed datagram is malformed");
    if (!keys.verify(sealed.key_id(), sealedText(sealed.key_id(), sealed.payload()), sealed.mac()))
        return failure(ErrorKind::Unauthenticated, "the code of the datagram is not valid");
    return std::move(*sealed.mutable_payload());
}

} // namespace jy
