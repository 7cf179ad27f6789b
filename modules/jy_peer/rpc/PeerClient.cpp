#include "jy_peer/rpc/PeerClient.h"

#include "jy_base/time/TimeTypes.h"
#include "jy_peer/auth/CallAuthenticator.h"
#include "jy_peer/generated/peer.grpc.pb.h"
#include "jy_peer/rpc/CallMetadata.h"
#include "jy_runtime/fibers/FiberToken.h"

#include <boost/asio/post.hpp>
#include <grpcpp/grpcpp.h>

#include <map>

namespace jy {

namespace {

// gRPC's defaults (1 s, growing to 120 s) would keep a restarted peer unreachable for too long.
constexpr int firstReconnectMs = 100;
constexpr int largestReconnectMs = 2000;

// Finds connections to a host that vanished without closing them; used only during calls.
constexpr int keepaliveMs = 10000;
constexpr int keepaliveTimeoutMs = 2000;

constexpr std::chrono::milliseconds rejectedRetryAfter{100};

grpc::ChannelArguments channelArguments(const PeerClientSettings &settings)
{
    grpc::ChannelArguments arguments;
    arguments.SetInt(GRPC_ARG_INITIAL_RECONNECT_BACKOFF_MS, firstReconnectMs);
    arguments.SetInt(GRPC_ARG_MIN_RECONNECT_BACKOFF_MS, firstReconnectMs);
    arguments.SetInt(GRPC_ARG_MAX_RECONNECT_BACKOFF_MS, largestReconnectMs);
    arguments.SetInt(GRPC_ARG_KEEPALIVE_TIME_MS, keepaliveMs);
    arguments.SetInt(GRPC_ARG_KEEPALIVE_TIMEOUT_MS, keepaliveTimeoutMs);
    // A repeated call is the caller's decision.
    arguments.SetInt(GRPC_ARG_ENABLE_RETRIES, 0);
    arguments.SetInt(GRPC_ARG_ENABLE_HTTP_PROXY, 0);
    arguments.SetInt(GRPC_ARG_SERVICE_CONFIG_DISABLE_RESOLUTION, 1);
    // The global pool would keep connections open after their channel is closed.
    arguments.SetInt(GRPC_ARG_USE_LOCAL_SUBCHANNEL_POOL, 1);
    arguments.SetMaxReceiveMessageSize(static_cast<int>(settings.maxReplyBytes));
    return arguments;
}

std::string target(const Endpoint &endpoint)
{
    const bool isV6 = endpoint.address.find(':') != std::string::npos;
    return (isV6 ? "ipv6:" : "ipv4:") + hostAndPort(endpoint);
}

Error toError(const grpc::Status &status, std::string_view method, const Endpoint &to)
{
    const bool rejected = status.error_code() == grpc::StatusCode::RESOURCE_EXHAUSTED;
    return {ErrorKind::PeerUnreachable,
            std::string(method) + " at " + toString(to) + " failed: " + status.error_message(),
            rejected ? rejectedRetryAfter : std::chrono::milliseconds{0}};
}

// HTTP/2 frames, headers and authentication of one call on an open channel, both directions.
constexpr std::uint64_t callOverheadBytes = 400;

} // namespace

struct PeerClient::State
{
    struct Channel
    {
        std::shared_ptr<peer::Peer::Stub> stub;
        TimePoint lastUsed;
        int inUse = 0;
    };

    State(EventLoop &eventLoop, std::shared_ptr<const KeyRing> keys, InstanceId id,
          PeerClientSettings clientSettings)
        : loop(eventLoop)
        , authenticator(std::move(keys))
        , self(std::move(id))
        , settings(clientSettings)
    { }

    Channel &channel(const Endpoint &to);
    void closeIdle();

    /** @param start starts the call on the callback interface of the stub */
    template <class Reply, class Request, class Start>
    Result<Reply> call(const Endpoint &to, std::string_view method, const Request &request,
                       Timeout timeout, Start start);

    EventLoop &loop;
    CallAuthenticator authenticator;
    InstanceId self;
    PeerClientSettings settings;
    std::map<Endpoint, Channel> channels;
    PeerClientCounters counters;
};

PeerClient::State::Channel &PeerClient::State::channel(const Endpoint &to)
{
    auto &entry = channels[to];
    if (!entry.stub) {
        entry.stub = peer::Peer::NewStub(grpc::CreateCustomChannel(
            target(to), grpc::InsecureChannelCredentials(), channelArguments(settings)));
    }
    entry.lastUsed = std::chrono::steady_clock::now();
    return entry;
}

void PeerClient::State::closeIdle()
{
    const auto now = std::chrono::steady_clock::now();
    std::erase_if(channels, [&](const auto &item) {
        return item.second.inUse == 0 && now - item.second.lastUsed > settings.idleTimeout;
    });
}

template <class Reply, class Request, class Start>
Result<Reply> PeerClient::State::call(const Endpoint &to, std::string_view method,
                                      const Request &request, Timeout timeout, Start start)
{
    closeIdle();
    ++counters.calls;
    const auto now = std::chrono::system_clock::now();
    const auto credentials = authenticator.sign(method, self, now);
    grpc::ClientContext context;
    context.set_deadline(now + timeout);
    context.AddMetadata(call_metadata::keyId, credentials.keyId);
    context.AddMetadata(call_metadata::time, credentials.timeMs);
    context.AddMetadata(call_metadata::peer, credentials.peer);
    context.AddMetadata(call_metadata::code, credentials.code);

    auto &used = channel(to);
    ++used.inUse;
    Reply reply;
    grpc::Status status;
    detail::FiberCompletion<> finished;
    // The deadline makes gRPC run the callback in any case, so this frame outlives the call.
    start(*used.stub->async(), &context, &request, &reply, [&](grpc::Status result) {
        status = std::move(result);
        boost::asio::post(loop.io(), [&finished] { finished.complete({}); });
    });
    finished.wait();
    --used.inUse;
    used.lastUsed = std::chrono::steady_clock::now();
    counters.bytes += request.ByteSizeLong() + reply.ByteSizeLong() + callOverheadBytes;
    if (status.ok())
        return reply;
    ++counters.failures;
    return boost::outcome_v2::failure(toError(status, method, to));
}

PeerClient::PeerClient(std::unique_ptr<State> state)
    : state_(std::move(state))
{ }

PeerClient::PeerClient(PeerClient &&other) noexcept = default;
PeerClient &PeerClient::operator=(PeerClient &&other) noexcept = default;
PeerClient::~PeerClient() = default;

PeerClient PeerClient::create(EventLoop &loop, std::shared_ptr<const KeyRing> keys, InstanceId self,
                              PeerClientSettings settings)
{
    return PeerClient(std::make_unique<State>(loop, std::move(keys), std::move(self), settings));
}

Result<peer::ReserveReply> PeerClient::reserve(const Endpoint &to,
                                               const peer::ReserveRequest &request, Timeout timeout)
{
    return state_->call<peer::ReserveReply>(
        to, "Reserve", request, timeout,
        [](auto &stub, auto... arguments) { stub.Reserve(std::move(arguments)...); });
}

Result<peer::ReleaseReply> PeerClient::release(const Endpoint &to,
                                               const peer::ReleaseRequest &request, Timeout timeout)
{
    return state_->call<peer::ReleaseReply>(
        to, "Release", request, timeout,
        [](auto &stub, auto... arguments) { stub.Release(std::move(arguments)...); });
}

Result<peer::InFlightReply>
PeerClient::reportInFlight(const Endpoint &to, const peer::InFlightReport &request, Timeout timeout)
{
    return state_->call<peer::InFlightReply>(
        to, "ReportInFlight", request, timeout,
        [](auto &stub, auto... arguments) { stub.ReportInFlight(std::move(arguments)...); });
}

Result<peer::HandOffReply> PeerClient::handOff(const Endpoint &to,
                                               const peer::HandOffRequest &request, Timeout timeout)
{
    return state_->call<peer::HandOffReply>(
        to, "HandOff", request, timeout,
        [](auto &stub, auto... arguments) { stub.HandOff(std::move(arguments)...); });
}

Result<peer::FetchConfigReply> PeerClient::fetchConfig(const Endpoint &to,
                                                       const peer::FetchConfigRequest &request,
                                                       Timeout timeout)
{
    return state_->call<peer::FetchConfigReply>(
        to, "FetchConfig", request, timeout,
        [](auto &stub, auto... arguments) { stub.FetchConfig(std::move(arguments)...); });
}

Result<peer::OutcomeReply>
PeerClient::reportOutcomes(const Endpoint &to, const peer::OutcomeReport &request, Timeout timeout)
{
    return state_->call<peer::OutcomeReply>(
        to, "ReportOutcomes", request, timeout,
        [](auto &stub, auto... arguments) { stub.ReportOutcomes(std::move(arguments)...); });
}

Result<peer::StopMarks> PeerClient::spreadStopMarks(const Endpoint &to,
                                                    const peer::StopMarks &request, Timeout timeout)
{
    return state_->call<peer::StopMarks>(
        to, "SpreadStopMarks", request, timeout,
        [](auto &stub, auto... arguments) { stub.SpreadStopMarks(std::move(arguments)...); });
}

Result<peer::ClaimReply> PeerClient::claim(const Endpoint &to, const peer::ClaimRequest &request,
                                           Timeout timeout)
{
    return state_->call<peer::ClaimReply>(
        to, "Claim", request, timeout,
        [](auto &stub, auto... arguments) { stub.Claim(std::move(arguments)...); });
}

Result<peer::RecordOutcomeReply>
PeerClient::recordOutcome(const Endpoint &to, const peer::RecordOutcomeRequest &request,
                          Timeout timeout)
{
    return state_->call<peer::RecordOutcomeReply>(
        to, "RecordOutcome", request, timeout,
        [](auto &stub, auto... arguments) { stub.RecordOutcome(std::move(arguments)...); });
}

void PeerClient::closeIdleChannels()
{
    state_->closeIdle();
}

PeerClientCounters PeerClient::counters() const
{
    auto counters = state_->counters;
    counters.openChannels = state_->channels.size();
    return counters;
}

} // namespace jy
