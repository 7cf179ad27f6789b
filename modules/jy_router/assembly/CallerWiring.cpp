#include "jy_router/assembly/CallerWiring.h"

#include "jy_base/errors/ErrorTable.h"
#include "jy_base/hashing/StableHash.h"
#include "jy_router/caller/ProtectedCallBridge.h"
#include "jy_runtime/logging/Log.h"

#include <boost/uuid/random_generator.hpp>
#include <boost/uuid/uuid_io.hpp>

namespace jy {

namespace {

constexpr std::size_t lookupAddresses = 3;
constexpr std::size_t rankedServers = 3;

// Prefilling a long prompt again costs more than this wait for the server that has it cached.
constexpr std::chrono::milliseconds homeWait{200};

TimePoint now()
{
    return std::chrono::steady_clock::now();
}

WallTime wallNow()
{
    return std::chrono::system_clock::now();
}

/** Places that callers hold, with what their release needs. */
class PlaceBook
{
public:
    explicit PlaceBook(RouterContext &context)
        : context_(context)
    { }

    Result<Reservation> place(const PlaceCall &call)
    {
        PlaceRequest request;
        for (const auto &server : call.servers)
            request.candidates.push_back(server.id);
        request.workspace = call.context.workspace;
        request.chatHash = call.context.chatHash;
        request.priority = call.context.priority;
        request.deadline = call.context.deadline;
        if (!call.context.chat.empty())
            request.homeWait = homeWait;
        request.requestId = call.context.requestId.value();
        request.route = call.route;
        auto placed = context_.reservations->place(request);
        if (!placed)
            return failure(placed.error().kind, placed.error().message, placed.error().retryAfter);
        const auto *server = context_.directory.find(placed.value().server);
        if (server == nullptr) {
            context_.reservations->release(placed.value(), nullptr, call.route, {});
            return failure(ErrorKind::NoCapacity,
                           "server " + placed.value().server.value() + " left the instance list");
        }
        if (placed.value().displaced)
            recordDisplacement(call, placed.value());
        const auto key = placed.value().key;
        held_.emplace(key, placed.value());
        return Reservation{key, *server, call.route, call.context};
    }

    void release(const Reservation &reservation, const CallOutcome &outcome)
    {
        const auto found = held_.find(reservation.key);
        if (found == held_.end())
            return;
        const auto placed = found->second;
        held_.erase(found);
        const auto version = reservation.server.version.value();
        if (!outcome.hasSample) {
            context_.reservations->release(placed, nullptr, reservation.route, version);
            return;
        }
        RequestSample sample;
        sample.ok = !outcome.error;
        sample.firstToken = outcome.firstToken.value_or(std::chrono::milliseconds{0});
        sample.total = outcome.total;
        sample.cacheHit = outcome.cacheHit.value_or(false);
        context_.reservations->release(placed, &sample, reservation.route, version);
        countForMove(reservation, outcome, placed.cold);
    }

private:
    void recordDisplacement(const PlaceCall &call, const Placed &placed)
    {
        if (call.context.chat.empty())
            return;
        context_.events.record({.kind = "chat-displaced",
                                .fields = {{"chat", call.context.chat.value()},
                                           {"workspace", call.context.workspace.value()},
                                           {"home", placed.home.value()},
                                           {"server", placed.server.value()}}});
    }

    void countForMove(const Reservation &reservation, const CallOutcome &outcome, bool cold)
    {
        const auto state = context_.desiredState();
        if (!state || reservation.server.kind != ServerKind::Engine)
            return;
        const auto model = state->models.find(reservation.server.model);
        if (model == state->models.end())
            return;
        const auto selected = context_.moves->select(model->second, reservation.context.workspace,
                                                     reservation.context.chatHash);
        if (selected.move.empty())
            return;
        context_.moves->recordOutcome({selected.move, reservation.server.version, reservation.route,
                                       !outcome.error, outcome.cacheHit == false,
                                       outcome.firstToken.value_or(std::chrono::milliseconds{0}),
                                       cold});
    }

    RouterContext &context_;
    std::map<ReservationKey, Placed> held_;
};

Result<std::vector<BackendServer>> serversOf(const RouterContext &context,
                                             const Result<std::vector<ServerId>> &ranked)
{
    if (!ranked)
        return failure(ranked.error().kind, ranked.error().message, ranked.error().retryAfter);
    std::vector<BackendServer> servers;
    for (const auto &id : ranked.value()) {
        if (const auto *server = context.directory.find(id))
            servers.push_back(*server);
    }
    return servers;
}

/** Routers for a query, best first; the server decides unless the query names no model. */
std::vector<InstanceId> routersFor(const RouterContext &context, const LookupQuery &query,
                                   std::size_t count)
{
    const auto state = context.desiredState();
    if (!state)
        return {};
    const auto chatHash = stableHash(query.chat.value());
    ServerId server(query.workspace.value());
    RegionId region = context.settings.instance.region;
    if (!query.model.empty()) {
        const auto ranked = context.directory.candidates({.workspace = query.workspace,
                                                          .model = query.model,
                                                          .chatHash = chatHash,
                                                          .maxCount = 1},
                                                         now(), wallNow());
        if (ranked) {
            server = ranked.value().front();
            region = context.directory.find(server)->region;
        }
    }
    return context.ownership.lookupOrder(server, region, *state, count);
}

Result<LookupAnswer> lookup(const RouterContext &context, const LookupQuery &query)
{
    const auto state = context.desiredState();
    if (!state)
        return failure(ErrorKind::NotReady, "no desired state is in force yet",
                       std::chrono::milliseconds{500});
    if (!state->workspaces.contains(query.workspace))
        return failure(ErrorKind::UnknownWorkspace,
                       "workspace \"" + query.workspace.value() + "\" is not configured");
    if (!query.model.empty() && !state->models.contains(query.model))
        return failure(ErrorKind::UnknownModel,
                       "model \"" + query.model.value() + "\" is not configured");
    LookupAnswer answer;
    answer.lifetime = state->global.lookupLifetime;
    answer.revision = state->revision;
    for (const auto &router : routersFor(context, query, lookupAddresses)) {
        if (const auto info = context.member(router))
            answer.addresses.push_back(info->caller);
    }
    if (answer.addresses.empty())
        return failure(ErrorKind::NoCapacity, "no router in service takes new work",
                       std::chrono::milliseconds{1000});
    return answer;
}

std::optional<Endpoint> routerElsewhere(const RouterContext &context, const CallContext &call)
{
    for (const auto &router :
         routersFor(context, {call.workspace, {}, call.chat}, lookupAddresses)) {
        if (router == context.self())
            continue;
        if (const auto info = context.member(router))
            return info->caller;
    }
    return std::nullopt;
}

void finished(RouterContext &context, const CallRecord &record)
{
    const std::string outcome =
        record.error ? std::string(answerFor(record.error->kind).name) : "ok";
    context.metrics
        .counter("jy_requests_total", "Finished caller requests.",
                 {{"route", record.route}, {"outcome", outcome}})
        .add();
    context.metrics
        .histogram("jy_request_seconds", "Duration of caller requests.", {{"route", record.route}})
        .observe(record.duration);
    logEvent(record.error ? LogLevel::Warn : LogLevel::Debug, "request-done",
             {{"request", record.context.requestId},
              {"workspace", record.context.workspace},
              {"chat", record.context.chat},
              {"route", record.route},
              {"outcome", outcome},
              {"attempts", record.attempts},
              {"duration_ms", record.duration}});
    if (!record.error)
        return;
    context.events.record({.kind = "request-refused",
                           .fields = {{"request", record.context.requestId.value()},
                                      {"chat", record.context.chat.value()},
                                      {"workspace", record.context.workspace.value()},
                                      {"kind", outcome},
                                      {"reason", record.error->message}}});
}

std::optional<Error> refusal(const RouterContext &context)
{
    if (!context.settled || !context.config->ready())
        return Error{ErrorKind::NotReady, "this router does not know the current fleet state yet",
                     std::chrono::milliseconds{500}};
    return std::nullopt;
}

} // namespace

CallerDependencies callerDependencies(RouterContext &context)
{
    const auto places = std::make_shared<PlaceBook>(context);
    CallerDependencies hooks;
    hooks.client = context.http;
    hooks.engines = context.engines.get();
    hooks.desiredState = [&context] { return context.desiredState(); };
    hooks.ready = [&context] { return context.ready(); };
    hooks.refusal = [&context] { return refusal(context); };
    hooks.ownDomainOut = [&context] { return context.domainOut(context.settings.instance.domain); };
    hooks.routerElsewhere = [&context](const auto &call) { return routerElsewhere(context, call); };
    hooks.lookup = [&context](const auto &query) { return lookup(context, query); };
    hooks.rankEngines = [&context](const CallContext &call, const ModelId &model) {
        return serversOf(context,
                         context.directory.candidates({.workspace = call.workspace,
                                                       .model = model,
                                                       .chatHash = call.chatHash,
                                                       .maxCount = rankedServers},
                                                      now(), wallNow()));
    };
    hooks.rankServices = [&context](const CallContext &call, const ServiceId &service) {
        const auto key = stableHash(call.requestId.value());
        return serversOf(
            context,
            context.directory.serviceCandidates(service, key, rankedServers, now(), wallNow()));
    };
    hooks.place = [places](const PlaceCall &call) { return places->place(call); };
    hooks.release = [places](const Reservation &reservation, const CallOutcome &outcome) {
        places->release(reservation, outcome);
    };
    hooks.recordFirstAttempt = [&context] { context.retryBudget.recordAttempt(now()); };
    hooks.tryRetry = [&context] { return context.retryBudget.tryRetry(now()); };
    hooks.protectedCall = [&context](const ProtectedCallInput &input,
                                     const std::function<Result<HttpResponse>()> &send) {
        return callOnce(*context.protectedCalls, input, send);
    };
    hooks.metricsText = [&context] { return context.metrics.prometheusText(); };
    hooks.newRequestId = [generator = std::make_shared<boost::uuids::random_generator>()] {
        return RequestId(boost::uuids::to_string((*generator)()));
    };
    hooks.finished = [&context](const CallRecord &record) { finished(context, record); };
    return hooks;
}

} // namespace jy
