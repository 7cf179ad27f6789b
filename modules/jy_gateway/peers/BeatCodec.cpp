#include "jy_gateway/peers/BeatCodec.h"

#include "jy_gateway/peers/generated/beat.pb.h"

#include <algorithm>

namespace jy {

namespace {

// Room that one load entry takes besides the id of the server.
constexpr std::size_t loadEntryBytes = 12;

// Room for the fields of a beat other than its loads.
constexpr std::size_t fixedBytes = 240;

} // namespace

std::string encodeBeat(InstanceBeat beat)
{
    wire::Beat message;
    message.set_instance(beat.instance.id.value());
    message.set_incarnation(beat.incarnation);
    message.set_sequence(beat.sequence);
    message.set_caller_endpoint(toString(beat.instance.caller));
    message.set_peer_endpoint(toString(beat.instance.peer));
    message.set_control_endpoint(toString(beat.instance.control));
    message.set_link_mbps(static_cast<std::uint32_t>(std::max(0, beat.instance.linkMbps)));
    message.set_domain(beat.instance.domain.value());
    message.set_ready(beat.ready);
    std::vector<std::pair<ServerId, ServerUse>> entries(beat.use.begin(), beat.use.end());
    std::ranges::sort(entries, std::ranges::greater(),
                      [](const auto &entry) { return entry.second.inFlight; });
    std::size_t used = fixedBytes;
    for (const auto &[server, use] : entries) {
        used += server.value().size() + loadEntryBytes;
        if (used > maxBeatBytes)
            break;
        auto *load = message.add_loads();
        load->set_server(server.value());
        load->set_in_flight(static_cast<std::uint32_t>(std::max(0, use.inFlight)));
        load->set_waiting(static_cast<std::uint32_t>(std::max(0, use.waiting)));
    }
    return message.SerializeAsString();
}

Result<InstanceBeat> decodeBeat(std::string_view bytes)
{
    wire::Beat message;
    if (!message.ParseFromArray(bytes.data(), static_cast<int>(bytes.size()))
        || message.instance().empty())
        return failure(ErrorKind::BadRequest, "the datagram is no beat");
    InstanceBeat beat;
    beat.instance.id = InstanceId(message.instance());
    BOOST_OUTCOME_TRY(beat.instance.caller, endpointFromString(message.caller_endpoint()));
    BOOST_OUTCOME_TRY(beat.instance.peer, endpointFromString(message.peer_endpoint()));
    BOOST_OUTCOME_TRY(beat.instance.control, endpointFromString(message.control_endpoint()));
    beat.instance.linkMbps = static_cast<int>(message.link_mbps());
    beat.instance.domain = DomainId(message.domain());
    beat.incarnation = message.incarnation();
    beat.sequence = message.sequence();
    beat.ready = message.ready();
    for (const auto &load : message.loads())
        beat.use[ServerId(load.server())] = {static_cast<int>(load.in_flight()),
                                             static_cast<int>(load.waiting())};
    return beat;
}

} // namespace jy
