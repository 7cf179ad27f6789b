#include "jy_core/config/DesiredStateWriter.h"

#include "jy_core/config/JsonText.h"
#include "jy_core/config/WallTimeText.h"

#include <boost/json/array.hpp>

namespace jy {

namespace {

namespace json = boost::json;

template <class IdType>
json::array toArray(const std::vector<IdType> &ids)
{
    json::array array;
    for (const auto &id : ids)
        array.emplace_back(id.value());
    return array;
}

json::object toJson(const MoveSpec &move)
{
    json::object object{{"from", move.from.value()},
                        {"to", move.to.value()},
                        {"finishBy", wallTimeText(move.finishBy)},
                        {"canaryShare", move.canaryShare}};
    if (move.workspace)
        object.emplace("workspace", move.workspace->value());
    return object;
}

void appendSection(std::string &text, std::string_view name, const json::object &entries)
{
    text += ",\n  \"" + std::string(name) + "\": {";
    const char *separator = "\n";
    for (const auto &[key, value] : entries) {
        text += separator;
        text += "    " + jsonText(json::value(key)) + ": " + jsonText(value);
        separator = ",\n";
    }
    text += entries.empty() ? "}" : "\n  }";
}

} // namespace

std::string_view toString(DomainState state)
{
    switch (state) {
    case DomainState::InService:
        return "in-service";
    case DomainState::Out:
        return "out";
    case DomainState::Returning:
        return "returning";
    }
    return "out";
}

json::object toJson(const GlobalSpec &global)
{
    return {{"lookupLifetimeMs", global.lookupLifetime.count()},
            {"returnRampMs", global.returnRamp.count()},
            {"queueTimeoutMs", global.queueTimeout.count()},
            {"queueLength", global.queueLength},
            {"coldStartLimit", global.coldStartLimit},
            {"coldRampIntervalMs", global.coldRampInterval.count()},
            {"retryShare", global.retryShare},
            {"keyRetentionMs", global.keyRetention.count()},
            {"weightBytesPerSecond", global.weightBytesPerSecond}};
}

json::object toJson(const DomainSpec &domain)
{
    json::object object{{"region", domain.region.value()}, {"state", toString(domain.state)}};
    if (domain.returnStart != WallTime{})
        object.emplace("returnStart", wallTimeText(domain.returnStart));
    return object;
}

json::object toJson(const ModelSpec &model)
{
    json::object object{
        {"serve", model.serve.value()},           {"versions", toArray(model.versions)},
        {"maxConcurrency", model.maxConcurrency}, {"loadMultiple", model.loadMultiple},
        {"loadFloor", model.loadFloor},           {"weightBytes", model.weightBytes}};
    json::object moves;
    for (const auto &move : model.moves)
        moves.emplace(move.id.value(), toJson(move));
    if (!moves.empty())
        object.emplace("moves", std::move(moves));
    return object;
}

json::object toJson(const ServiceSpec &service)
{
    json::array calls;
    for (const auto &call : service.protectedCalls)
        calls.push_back(json::object{{"method", call.method}, {"pathPrefix", call.pathPrefix}});
    return {{"protectedCalls", std::move(calls)}, {"maxConcurrency", service.maxConcurrency}};
}

json::object toJson(const WorkspaceSpec &workspace)
{
    return {{"models", toArray(workspace.models)},
            {"services", toArray(workspace.services)},
            {"weight", workspace.weight}};
}

std::string desiredStateText(const DesiredState &state)
{
    std::string text = "{\n  \"revision\": " + std::to_string(state.revision);
    appendSection(text, "global", toJson(state.global));
    appendSection(text, "domains", toJson(state.domains));
    appendSection(text, "models", toJson(state.models));
    appendSection(text, "services", toJson(state.services));
    appendSection(text, "workspaces", toJson(state.workspaces));
    return text + "\n}\n";
}

} // namespace jy
