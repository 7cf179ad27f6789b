#include "jy_peer/rpc/PeerServer.h"

#include "jy_peer/auth/CallAuthenticator.h"
#include "jy_peer/generated/peer.grpc.pb.h"
#include "jy_peer/rpc/CallMetadata.h"
#include "jy_runtime/fibers/FiberToken.h"

#include <boost/asio/post.hpp>
#include <grpcpp/grpcpp.h>

#include <atomic>
#include <thread>

namespace jy {

namespace {

/** Keepalive pings of clients are accepted at this interval. @see PeerClient.cpp */
constexpr int minPingIntervalMs = 5000;

/** gRPC threads only parse messages and post; the work is done on the loop. */
constexpr int maxGrpcThreads = 4;

std::string metadataValue(const grpc::CallbackServerContext &context, const char *name)
{
    const auto found = context.client_metadata().find(name);
    if (found == context.client_metadata().end())
        return {};
    return {found->second.data(), found->second.size()};
}

/** The generated service, with each call checked and passed to the loop. */
class LoopService final : public peer::Peer::CallbackService
{
public:
    LoopService(EventLoop &loop, std::shared_ptr<const KeyRing> keys, PeerHandlers handlers,
                std::size_t maxInProgress)
        : loop_(loop)
        , authenticator_(std::move(keys))
        , handlers_(std::move(handlers))
        , maxInProgress_(maxInProgress)
    { }

    grpc::ServerUnaryReactor *Reserve(grpc::CallbackServerContext *context,
                                      const peer::ReserveRequest *request,
                                      peer::ReserveReply *reply) override
    {
        return accept("Reserve", context, handlers_.reserve, request, reply);
    }

    grpc::ServerUnaryReactor *Release(grpc::CallbackServerContext *context,
                                      const peer::ReleaseRequest *request,
                                      peer::ReleaseReply *reply) override
    {
        return accept("Release", context, handlers_.release, request, reply);
    }

    grpc::ServerUnaryReactor *ReportInFlight(grpc::CallbackServerContext *context,
                                             const peer::InFlightReport *request,
                                             peer::InFlightReply *reply) override
    {
        return accept("ReportInFlight", context, handlers_.reportInFlight, request, reply);
    }

    grpc::ServerUnaryReactor *HandOff(grpc::CallbackServerContext *context,
                                      const peer::HandOffRequest *request,
                                      peer::HandOffReply *reply) override
    {
        return accept("HandOff", context, handlers_.handOff, request, reply);
    }

    grpc::ServerUnaryReactor *FetchConfig(grpc::CallbackServerContext *context,
                                          const peer::FetchConfigRequest *request,
                                          peer::FetchConfigReply *reply) override
    {
        return accept("FetchConfig", context, handlers_.fetchConfig, request, reply);
    }

    grpc::ServerUnaryReactor *ReportOutcomes(grpc::CallbackServerContext *context,
                                             const peer::OutcomeReport *request,
                                             peer::OutcomeReply *reply) override
    {
        return accept("ReportOutcomes", context, handlers_.reportOutcomes, request, reply);
    }

    grpc::ServerUnaryReactor *SpreadStopMarks(grpc::CallbackServerContext *context,
                                              const peer::StopMarks *request,
                                              peer::StopMarks *reply) override
    {
        return accept("SpreadStopMarks", context, handlers_.spreadStopMarks, request, reply);
    }

    grpc::ServerUnaryReactor *Claim(grpc::CallbackServerContext *context,
                                    const peer::ClaimRequest *request,
                                    peer::ClaimReply *reply) override
    {
        return accept("Claim", context, handlers_.claim, request, reply);
    }

    grpc::ServerUnaryReactor *RecordOutcome(grpc::CallbackServerContext *context,
                                            const peer::RecordOutcomeRequest *request,
                                            peer::RecordOutcomeReply *reply) override
    {
        return accept("RecordOutcome", context, handlers_.recordOutcome, request, reply);
    }

    void beginShutdown() { stopping_ = true; }

    PeerServerCounters counters() const { return {calls_, unauthenticated_, rejected_}; }

private:
    /** Runs on a thread of gRPC. Request and reply stay valid until the reactor finishes. */
    template <class Request, class Reply>
    grpc::ServerUnaryReactor *accept(std::string_view method, grpc::CallbackServerContext *context,
                                     const std::function<Reply(const Request &)> &handler,
                                     const Request *request, Reply *reply)
    {
        auto *reactor = context->DefaultReactor();
        const auto status = admit(method, *context, static_cast<bool>(handler));
        if (!status.ok()) {
            reactor->Finish(status);
            return reactor;
        }
        loop_.postFromOtherThread([this, &handler, request, reply, reactor] {
            *reply = handler(*request);
            --inProgress_;
            reactor->Finish(grpc::Status::OK);
        });
        return reactor;
    }

    grpc::Status admit(std::string_view method, const grpc::CallbackServerContext &context,
                       bool hasHandler)
    {
        ++calls_;
        const CallCredentials credentials{metadataValue(context, call_metadata::keyId),
                                          metadataValue(context, call_metadata::time),
                                          metadataValue(context, call_metadata::peer),
                                          metadataValue(context, call_metadata::code)};
        const auto caller =
            authenticator_.verify(method, credentials, std::chrono::system_clock::now());
        if (!caller) {
            ++unauthenticated_;
            return {grpc::StatusCode::UNAUTHENTICATED, caller.error().message};
        }
        if (!hasHandler)
            return {grpc::StatusCode::UNIMPLEMENTED, "no handler"};
        if (stopping_) {
            ++rejected_;
            return {grpc::StatusCode::UNAVAILABLE, "shutting down"};
        }
        if (++inProgress_ > maxInProgress_) {
            --inProgress_;
            ++rejected_;
            return {grpc::StatusCode::RESOURCE_EXHAUSTED, "too many calls in progress"};
        }
        return grpc::Status::OK;
    }

    EventLoop &loop_;
    CallAuthenticator authenticator_;
    PeerHandlers handlers_;
    const std::size_t maxInProgress_;
    std::atomic<std::size_t> inProgress_ = 0;
    std::atomic<std::uint64_t> calls_ = 0;
    std::atomic<std::uint64_t> unauthenticated_ = 0;
    std::atomic<std::uint64_t> rejected_ = 0;
    std::atomic<bool> stopping_ = false;
};

} // namespace

struct PeerServer::State
{
    State(EventLoop &eventLoop, std::shared_ptr<const KeyRing> keys, PeerHandlers handlers,
          const PeerServerSettings &settings)
        : loop(eventLoop)
        , service(eventLoop, std::move(keys), std::move(handlers), settings.maxInProgress)
    { }

    EventLoop &loop;
    LoopService service;
    std::unique_ptr<grpc::Server> server;
    Endpoint local;
};

Result<PeerServer> PeerServer::create(EventLoop &loop, const Endpoint &endpoint,
                                      std::shared_ptr<const KeyRing> keys, PeerHandlers handlers,
                                      PeerServerSettings settings)
{
    auto state = std::make_unique<State>(loop, std::move(keys), std::move(handlers), settings);
    grpc::ServerBuilder builder;
    int port = 0;
    builder.AddListeningPort(hostAndPort(endpoint), grpc::InsecureServerCredentials(), &port);
    builder.RegisterService(&state->service);
    builder.SetMaxReceiveMessageSize(static_cast<int>(settings.maxRequestBytes));
    // A port in use must be an error, not a second listener that takes half of the calls.
    builder.AddChannelArgument(GRPC_ARG_ALLOW_REUSEPORT, 0);
    builder.AddChannelArgument(GRPC_ARG_HTTP2_MIN_RECV_PING_INTERVAL_WITHOUT_DATA_MS,
                               minPingIntervalMs);
    grpc::ResourceQuota quota("jy_peer");
    quota.SetMaxThreads(maxGrpcThreads);
    builder.SetResourceQuota(quota);
    state->server = builder.BuildAndStart();
    if (!state->server || port == 0) {
        return failure(ErrorKind::SettingsInvalid,
                       "cannot listen for peers on " + toString(endpoint));
    }
    state->local = {endpoint.address, static_cast<std::uint16_t>(port)};
    return PeerServer(std::move(state));
}

PeerServer::PeerServer(std::unique_ptr<State> state)
    : state_(std::move(state))
{ }

PeerServer::PeerServer(PeerServer &&other) noexcept = default;

PeerServer &PeerServer::operator=(PeerServer &&other) noexcept
{
    std::swap(state_, other.state_);
    return *this;
}

PeerServer::~PeerServer()
{
    if (state_)
        shutdown(std::chrono::milliseconds{0});
}

void PeerServer::shutdown(std::chrono::milliseconds grace)
{
    if (!state_->server)
        return;
    state_->service.beginShutdown();
    detail::FiberCompletion<> finished;
    // grpc::Server::Shutdown() blocks until the handlers have ended, and those need the loop.
    std::thread waiter([&] {
        state_->server->Shutdown(std::chrono::system_clock::now() + grace);
        boost::asio::post(state_->loop.io(), [&] { finished.complete({}); });
    });
    finished.wait();
    waiter.join();
    state_->server.reset();
}

const Endpoint &PeerServer::localEndpoint() const
{
    return state_->local;
}

PeerServerCounters PeerServer::counters() const
{
    return state_->service.counters();
}

} // namespace jy
