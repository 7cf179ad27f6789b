#include "jy_core/config/DesiredStateReader.h"

#include "jy_core/config/DuplicateKeys.h"

#include <boost/json/monotonic_resource.hpp>
#include <boost/json/stream_parser.hpp>

#include <algorithm>
#include <limits>

namespace jy {

namespace {

namespace json = boost::json;
using namespace std::chrono_literals;

constexpr int maxConcurrencyBound = 100'000;
constexpr double maxLoadMultiple = 10.0;

// Invariant I4: a version that has not passed canary analysis serves at most 5 % of traffic.
constexpr double maxCanaryShare = 0.05;

// Attempt records are kept for this time regardless of the configured retention, so that raising
// the retention cannot admit a key whose record is already deleted.
// @see AttemptLedgerSettings::deleteAfter
constexpr std::chrono::milliseconds maxKeyRetention = 4h;
constexpr std::chrono::milliseconds minKeyRetention = 1min;

// Invariant I3 allows 5 s, which must cover callers that use a cached lookup.
constexpr std::chrono::milliseconds maxLookupLifetime = 5s;

template <class IdType>
std::vector<IdType> toIds(const std::vector<std::string> &names)
{
    std::vector<IdType> ids;
    ids.reserve(names.size());
    for (const auto &name : names)
        ids.emplace_back(name);
    return ids;
}

MoveSpec readMove(const std::string &id, const json::value &value, const std::string &path,
                  JsonReadContext &context)
{
    MoveSpec move;
    move.id = MoveId(id);
    std::string from;
    std::string to;
    std::string workspace;
    JsonFields fields(value, path, context);
    fields.required("from").required("to").required("finishBy");
    fields.identifier("from", from)
        .identifier("to", to)
        .time("finishBy", move.finishBy)
        .number("canaryShare", 0.0, maxCanaryShare, move.canaryShare, true)
        .identifier("workspace", workspace)
        .finish();
    move.from = VersionId(from);
    move.to = VersionId(to);
    if (!workspace.empty())
        move.workspace = WorkspaceId(workspace);
    return move;
}

ProtectedCall readProtectedCall(const json::value &value, const std::string &path,
                                JsonReadContext &context)
{
    ProtectedCall call;
    static const std::vector<std::string_view> methods{"POST", "PUT", "PATCH", "DELETE"};
    std::size_t method = 0;
    JsonFields fields(value, path, context);
    fields.required("method").required("pathPrefix");
    fields.choice("method", methods, method).text("pathPrefix", call.pathPrefix).finish();
    call.method = methods[method];
    if (value.is_object() && !call.pathPrefix.starts_with('/')) {
        const json::value found(call.pathPrefix);
        context.add(path + ".pathPrefix", &found, "a path that begins with /");
    }
    return call;
}

} // namespace

Result<json::value> parseConfigJson(std::string_view text)
{
    json::parse_options options;
    options.allow_comments = true;
    options.allow_trailing_commas = true;
    // A monotonic resource fits, because a document is read once and then freed as a whole.
    json::stream_parser parser(json::make_shared_resource<json::monotonic_resource>(), options);
    json::error_code error;
    const auto consumed = parser.write_some(text.data(), text.size(), error);
    if (!error && consumed < text.size())
        error = json::error::extra_data;
    if (!error)
        parser.finish(error);
    if (!error)
        return parser.release();
    const auto before = text.substr(0, consumed);
    const auto line = 1 + std::count(before.begin(), before.end(), '\n');
    return failure(ErrorKind::ConfigInvalid, error.message() + " at line " + std::to_string(line));
}

void readGlobal(const json::value &value, JsonReadContext &context, DesiredState &state)
{
    auto &global = state.global;
    JsonFields(value, "global", context)
        .milliseconds("lookupLifetimeMs", 100ms, maxLookupLifetime, global.lookupLifetime)
        .milliseconds("returnRampMs", 0ms, 1h, global.returnRamp)
        .milliseconds("queueTimeoutMs", 0ms, 1min, global.queueTimeout)
        .integer("queueLength", 0, 100'000, global.queueLength)
        .integer("coldStartLimit", 1, maxConcurrencyBound, global.coldStartLimit)
        .milliseconds("coldRampIntervalMs", 1ms, 10min, global.coldRampInterval)
        .number("retryShare", 0.0, 1.0, global.retryShare)
        .milliseconds("keyRetentionMs", minKeyRetention, maxKeyRetention, global.keyRetention)
        .count("weightBytesPerSecond", global.weightBytesPerSecond)
        .finish();
}

void readDomains(const json::value &value, JsonReadContext &context, DesiredState &state)
{
    readJsonMap(value, "domains", context, [&](const auto &id, const auto &entry, const auto &at) {
        DomainSpec domain;
        domain.id = DomainId(id);
        std::string region;
        std::size_t choice = 0;
        JsonFields fields(entry, at, context);
        fields.required("region");
        fields.identifier("region", region)
            .choice("state", {"in-service", "out", "returning"}, choice)
            .time("returnStart", domain.returnStart)
            .finish();
        domain.region = RegionId(region);
        domain.state = static_cast<DomainState>(choice);
        state.domains.insert_or_assign(domain.id, std::move(domain));
    });
}

void readModels(const json::value &value, JsonReadContext &context, DesiredState &state)
{
    readJsonMap(value, "models", context, [&](const auto &id, const auto &entry, const auto &at) {
        ModelSpec model;
        model.id = ModelId(id);
        std::string serve;
        std::vector<std::string> versions;
        JsonFields fields(entry, at, context);
        fields.required("serve").required("versions");
        fields.identifier("serve", serve)
            .identifiers("versions", versions)
            .map("moves",
                 [&](const auto &move, const auto &spec, const auto &path) {
                     model.moves.push_back(readMove(move, spec, path, context));
                 })
            .integer("maxConcurrency", 1, maxConcurrencyBound, model.maxConcurrency)
            .number("loadMultiple", 1.0, maxLoadMultiple, model.loadMultiple)
            .integer("loadFloor", 1, maxConcurrencyBound, model.loadFloor)
            .count("weightBytes", model.weightBytes)
            .finish();
        model.serve = VersionId(serve);
        model.versions = toIds<VersionId>(versions);
        // The order of JSON keys has no meaning. Sorting keeps the content hashes stable.
        std::sort(model.moves.begin(), model.moves.end(),
                  [](const auto &a, const auto &b) { return a.id < b.id; });
        state.models.insert_or_assign(model.id, std::move(model));
    });
}

void readServices(const json::value &value, JsonReadContext &context, DesiredState &state)
{
    readJsonMap(value, "services", context, [&](const auto &id, const auto &entry, const auto &at) {
        ServiceSpec service;
        service.id = ServiceId(id);
        JsonFields(entry, at, context)
            .array("protectedCalls",
                   [&](const auto &, const auto &call, const auto &path) {
                       service.protectedCalls.push_back(readProtectedCall(call, path, context));
                   })
            .integer("maxConcurrency", 1, maxConcurrencyBound, service.maxConcurrency)
            .finish();
        state.services.insert_or_assign(service.id, std::move(service));
    });
}

void readWorkspaces(const json::value &value, JsonReadContext &context, DesiredState &state)
{
    readJsonMap(value, "workspaces", context,
                [&](const auto &id, const auto &entry, const auto &at) {
                    WorkspaceSpec workspace;
                    workspace.id = WorkspaceId(id);
                    std::vector<std::string> models;
                    std::vector<std::string> services;
                    JsonFields(entry, at, context)
                        .identifiers("models", models)
                        .identifiers("services", services)
                        .number("weight", 0.0, 1e6, workspace.weight, true)
                        .finish();
                    workspace.models = toIds<ModelId>(models);
                    workspace.services = toIds<ServiceId>(services);
                    state.workspaces.insert_or_assign(workspace.id, std::move(workspace));
                });
}

ConfigIssues readDesiredState(std::string_view text, DesiredState &state)
{
    const auto root = parseConfigJson(text);
    if (!root)
        return {{"", root.error().message, "JSON with comments"}};
    JsonReadContext context;
    context.issues = findDuplicateKeys(text);
    const auto section = [&](auto read) {
        return [&context, &state, read](const std::string &, const json::value &value,
                                        const std::string &) { read(value, context, state); };
    };
    JsonFields(root.value(), "", context)
        .count("revision", state.revision)
        .object("global", section(readGlobal))
        .object("domains", section(readDomains))
        .object("models", section(readModels))
        .object("services", section(readServices))
        .object("workspaces", section(readWorkspaces))
        .finish();
    return std::move(context.issues);
}

Result<DesiredState> parseDesiredState(std::string_view text)
{
    DesiredState state;
    const auto issues = readDesiredState(text, state);
    if (!issues.empty())
        return boost::outcome_v2::failure(toError(issues));
    return state;
}

} // namespace jy
