#include "jy_router/assembly/OperatorWiring.h"

#include "jy_base/errors/ErrorTable.h"
#include "jy_base/hashing/StableHash.h"
#include "jy_core/config/ConfigValidator.h"
#include "jy_core/config/DesiredStateReader.h"
#include "jy_core/config/DesiredStateWriter.h"
#include "jy_core/placement/DomainRamp.h"

#include <absl/strings/str_cat.h>

#include <algorithm>

namespace jy {

namespace {

constexpr std::size_t explainedCandidates = 8;

// Chats sampled to show which share of them a returning domain takes.
constexpr int rampSamples = 100;

TimePoint now()
{
    return std::chrono::steady_clock::now();
}

WallTime wallNow()
{
    return std::chrono::system_clock::now();
}

std::string stateName(MemberState state)
{
    switch (state) {
    case MemberState::Alive:
        return "alive";
    case MemberState::Suspect:
        return "suspect";
    case MemberState::Dead:
        return "dead";
    case MemberState::Leaving:
        return "leaving";
    case MemberState::Left:
        return "left";
    }
    return "dead";
}

std::string stateName(const OwnedServerView &view, const BackendServer *server)
{
    if (server != nullptr && server->leaving)
        return "leaving";
    if (view.closed)
        return "unreachable";
    if (view.recovering)
        return "recovering";
    return view.cold ? "cold" : "ready";
}

std::vector<RouterStatus> routerStatus(const RouterContext &context)
{
    std::vector<RouterStatus> routers;
    for (const auto &member : context.membership->membership().members())
        routers.push_back({member.id, member.domain, member.region, stateName(member.state),
                           member.appliedRevision, member.operations});
    return routers;
}

std::vector<OwnedServerStatus> ownedStatus(const RouterContext &context)
{
    std::vector<OwnedServerStatus> servers;
    for (const auto &view : context.owner->ledger().views(now())) {
        const auto *server = context.directory.find(view.server);
        OwnedServerStatus status;
        status.id = view.server;
        status.state = stateName(view, server);
        status.inFlight = view.inFlight;
        status.limit = view.limit;
        status.bound = view.bound;
        status.queued = view.queued;
        if (server != nullptr) {
            status.domain = server->domain;
            status.version = server->version;
            status.target = server->kind == ServerKind::Engine ? server->model.value()
                                                               : server->service.value();
        }
        servers.push_back(std::move(status));
    }
    return servers;
}

double admittedShare(const DesiredState &state, const DomainSpec &domain)
{
    int admitted = 0;
    for (int sample = 0; sample < rampSamples; ++sample) {
        const auto hash = stableHash(std::to_string(sample));
        admitted += domainAdmits(domain, state.global.returnRamp, hash, wallNow()) ? 1 : 0;
    }
    return static_cast<double>(admitted) / rampSamples;
}

std::vector<DomainStatus> domainStatus(const RouterContext &context, const DesiredState &state)
{
    std::vector<DomainStatus> domains;
    const auto live = context.membership->membership().liveRouters();
    const auto servers = context.directory.servers();
    for (const auto &[id, spec] : state.domains) {
        const auto inDomain = [&id = id](const auto &entry) { return entry.domain == id; };
        DomainStatus status;
        status.id = id;
        status.region = spec.region;
        status.state = spec.state;
        status.liveRouters = static_cast<int>(std::count_if(live.begin(), live.end(), inDomain));
        status.servers = static_cast<int>(std::count_if(
            servers.begin(), servers.end(), [&](const auto *server) { return inDomain(*server); }));
        status.admittedShare = admittedShare(state, spec);
        domains.push_back(std::move(status));
    }
    return domains;
}

std::vector<MoveStatus> moveStatus(const RouterContext &context, const DesiredState &state)
{
    std::vector<MoveStatus> moves;
    for (const auto &[id, model] : state.models) {
        for (const auto &move : model.moves) {
            const auto record = context.moves->moveTable().effectiveRecord(move.id);
            moves.push_back({move.id, id, move.from, move.to, std::string(toString(record.state)),
                             record.reason, record.share, move.finishBy,
                             context.chosenRouter("jy/moves/" + move.id.value())});
        }
    }
    return moves;
}

std::vector<std::string> stopMarkTexts(const MoveTable &moveTable)
{
    std::vector<std::string> texts;
    for (const auto &mark : moveTable.marks())
        texts.push_back(absl::StrCat("move ", mark.move.value(), " version ", mark.version.value(),
                                     " found by ", mark.foundBy.value(), ": ", mark.reason));
    return texts;
}

std::vector<std::string> warnings(const RouterContext &context)
{
    std::vector<std::string> texts;
    for (const auto &[pool, totals] : context.poolTotals) {
        if (totals.limit > 0 && totals.inFlight + totals.queued >= totals.limit)
            texts.push_back(absl::StrCat("pool ", pool, " has no spare capacity: ", totals.inFlight,
                                         " in flight and ", totals.queued, " queued at a limit of ",
                                         totals.limit));
    }
    return texts;
}

FleetStatus fleetStatus(const RouterContext &context)
{
    const auto config = context.config->status();
    FleetStatus status;
    status.instance = context.self();
    status.ready = context.ready();
    status.shuttingDown = context.leaving;
    status.revision = config.revision;
    status.headRevision = config.headRevision;
    status.kvReachable = config.kvAvailable;
    status.routers = routerStatus(context);
    status.ownedServers = ownedStatus(context);
    status.stopMarks = stopMarkTexts(context.moves->moveTable());
    status.warnings = warnings(context);
    if (const auto state = context.desiredState()) {
        status.domains = domainStatus(context, *state);
        status.moves = moveStatus(context, *state);
    }
    return status;
}

ModelId modelOf(const DesiredState &state, const ChatQuestion &question)
{
    if (!question.model.empty())
        return question.model;
    const auto workspace = state.workspaces.find(question.workspace);
    if (workspace == state.workspaces.end() || workspace->second.models.size() != 1)
        return {};
    return workspace->second.models.front();
}

CandidateExplanation explainCandidate(const RouterContext &context, const BackendServer &server,
                                      std::uint64_t chatHash)
{
    CandidateExplanation candidate;
    candidate.server = server.id;
    candidate.domain = server.domain;
    candidate.owner = context.ownership.owner(server.id, server.region);
    if (const auto refusal = context.directory.refusal(server.id, chatHash, now(), wallNow())) {
        candidate.eligible = false;
        candidate.reason = std::string(answerFor(*refusal).name);
    }
    return candidate;
}

void explainVersion(const RouterContext &context, const ModelSpec &model,
                    const WorkspaceId &workspace, ChatExplanation &explanation)
{
    const auto selected = context.moves->select(model, workspace, explanation.chatHash);
    explanation.version = selected.version;
    explanation.move = selected.move;
    if (selected.move.empty()) {
        explanation.versionReason = "the model serves this version";
        return;
    }
    const auto record = context.moves->moveTable().effectiveRecord(selected.move);
    explanation.versionReason =
        absl::StrCat("move ", selected.move.value(), " is ", std::string(toString(record.state)),
                     " at share ", record.share, ": ", record.reason);
}

/** The latest place that this router recorded for a displaced chat. */
ServerId recordedException(const RouterContext &context, const ChatId &chat)
{
    const auto page = context.events.since(0, {.chat = chat.value(), .kind = "chat-displaced"});
    if (page.events.empty())
        return {};
    const auto *server = page.events.back().field("server");
    return server == nullptr ? ServerId() : ServerId(*server);
}

Result<ChatExplanation> explainChat(const RouterContext &context, const ChatQuestion &question)
{
    const auto state = context.desiredState();
    if (!state)
        return failure(ErrorKind::NotReady, "no desired state is in force yet");
    ChatExplanation explanation;
    explanation.model = modelOf(*state, question);
    explanation.chatHash = stableHash(question.chat.value());
    const auto model = state->models.find(explanation.model);
    if (model == state->models.end())
        return failure(ErrorKind::UnknownModel,
                       "name a model that workspace \"" + question.workspace.value() + "\" uses");
    explainVersion(context, model->second, question.workspace, explanation);
    explanation.exception = recordedException(context, question.chat);
    const auto ranked = context.directory.candidates({.workspace = question.workspace,
                                                      .model = explanation.model,
                                                      .chatHash = explanation.chatHash,
                                                      .maxCount = explainedCandidates},
                                                     now(), wallNow());
    if (!ranked) {
        explanation.problem = ranked.error().message;
        return explanation;
    }
    explanation.home = ranked.value().front();
    for (const auto &id : ranked.value())
        explanation.candidates.push_back(
            explainCandidate(context, *context.directory.find(id), explanation.chatHash));
    return explanation;
}

Result<ServerExplanation> explainServer(const RouterContext &context, const ServerId &id)
{
    const auto *server = context.directory.find(id);
    if (server == nullptr)
        return failure(ErrorKind::UnknownTarget,
                       "server \"" + id.value() + "\" is not in the instance list");
    ServerExplanation explanation;
    explanation.server = id;
    explanation.domain = server->domain;
    explanation.owner = context.ownership.owner(id, server->region);
    if (const auto owner = context.member(explanation.owner))
        explanation.ownerOperations = owner->operations;
    if (server->leaving)
        explanation.reasons.emplace_back("the instance list shows it as leaving");
    if (context.domainOut(server->domain))
        explanation.reasons.push_back("failure domain " + server->domain.value() + " is out");
    if (context.directory.health(id, now()) == ServerHealth::Down)
        explanation.reasons.emplace_back("its probes fail");
    for (const auto &view : context.owner->ledger().views(now())) {
        if (view.server != id)
            continue;
        explanation.ownedHere = true;
        explanation.inFlight = view.inFlight;
        explanation.limit = view.limit;
        explanation.bound = view.bound;
        explanation.queued = view.queued;
        explanation.cold = view.cold;
        explanation.recovering = view.recovering;
    }
    return explanation;
}

Result<ConfigDocument> configDocument(const RouterContext &context)
{
    const auto state = context.desiredState();
    if (!state)
        return failure(ErrorKind::NotReady, "no desired state is in force yet");
    return ConfigDocument{.revision = state->revision, .text = desiredStateText(*state)};
}

/** Number of engines that would have to load the new version of a move. */
int enginesToLoad(const RouterContext &context, const ModelId &model)
{
    const auto servers = context.directory.servers();
    return static_cast<int>(std::count_if(servers.begin(), servers.end(), [&](const auto *server) {
        return server->kind == ServerKind::Engine && server->model == model
            && server->version.empty();
    }));
}

/** Whether a move is already in force, so that its plan need not be checked again. */
bool moveInForce(const DesiredState *inForce, const ModelId &model, const MoveSpec &move)
{
    if (inForce == nullptr)
        return false;
    const auto found = inForce->models.find(model);
    if (found == inForce->models.end())
        return false;
    const auto &moves = found->second.moves;
    return std::find(moves.begin(), moves.end(), move) != moves.end();
}

/** Warnings about the moves that a file adds; an error when a deadline cannot be met. */
Result<std::vector<std::string>> planWarnings(const RouterContext &context,
                                              const DesiredState &wanted)
{
    std::vector<std::string> warnings;
    const auto inForce = context.desiredState();
    for (const auto &[id, model] : wanted.models) {
        for (const auto &move : model.moves) {
            if (moveInForce(inForce.get(), id, move))
                continue;
            const auto plan = checkLoadPlan(move, model.weightBytes, enginesToLoad(context, id),
                                            wanted.global.weightBytesPerSecond, wallNow());
            if (!plan)
                return failure(plan.error().kind, plan.error().message);
            if (plan.value().warning)
                warnings.push_back(*plan.value().warning);
        }
    }
    return warnings;
}

Result<ApplyResult> applyFile(RouterContext &context, const ApplyRequest &request)
{
    const auto wanted = parseDesiredState(request.text);
    if (!wanted)
        return failure(wanted.error().kind, wanted.error().message);
    const auto inForce = context.desiredState();
    const auto issues = validateDesiredState(wanted.value(), wallNow(), inForce.get());
    if (!issues.empty())
        return failure(ErrorKind::ConfigInvalid, toError(issues).message);
    auto warnings = planWarnings(context, wanted.value());
    if (!warnings)
        return failure(warnings.error().kind, warnings.error().message);
    if (request.checkOnly)
        return ApplyResult{inForce ? inForce->revision : 0, std::move(warnings.value())};
    auto applied = context.config->apply(
        {.text = request.text, .requestId = request.requestId, .author = request.author});
    if (!applied)
        return failure(applied.error().kind, applied.error().message, applied.error().retryAfter);
    return ApplyResult{applied.value().revision, std::move(warnings.value())};
}

Readiness readiness(const RouterContext &context)
{
    if (context.leaving)
        return {false, "shutting down"};
    if (!context.settled)
        return {false, "membership has not settled yet"};
    if (!context.config->ready())
        return {false, "the current configuration is not known yet"};
    return {true, {}};
}

} // namespace

OperatorApi::Dependencies operatorDependencies(RouterContext &context, OperatorKeys &keys)
{
    OperatorApi::Dependencies hooks{
        .keys = keys, .events = context.events, .metrics = context.metrics};
    hooks.incarnation = context.incarnation;
    hooks.readiness = [&context] { return readiness(context); };
    hooks.status = [&context] { return fleetStatus(context); };
    hooks.explainChat = [&context](const ChatQuestion &question) {
        return explainChat(context, question);
    };
    hooks.explainServer = [&context](const ServerId &server) {
        return explainServer(context, server);
    };
    hooks.config = [&context] { return configDocument(context); };
    hooks.apply = [&context](const ApplyRequest &request) { return applyFile(context, request); };
    return hooks;
}

} // namespace jy
