#include "jy_router/operations/OperatorJson.h"

#include "jy_core/config/DesiredStateWriter.h"
#include "jy_core/config/WallTimeText.h"

#include <boost/json/array.hpp>

#include <algorithm>

namespace jy {

namespace {

namespace json = boost::json;

json::object toJson(const RouterStatus &router)
{
    return {{"id", router.id.value()},
            {"domain", router.domain.value()},
            {"region", router.region.value()},
            {"state", router.state},
            {"applied_revision", router.appliedRevision},
            {"operations", toString(router.operations)}};
}

json::object toJson(const OwnedServerStatus &server)
{
    return {{"id", server.id.value()}, {"domain", server.domain.value()},
            {"target", server.target}, {"version", server.version.value()},
            {"state", server.state},   {"in_flight", server.inFlight},
            {"limit", server.limit},   {"bound", server.bound},
            {"queued", server.queued}};
}

json::object toJson(const DomainStatus &domain)
{
    return {{"id", domain.id.value()},         {"region", domain.region.value()},
            {"state", toString(domain.state)}, {"live_routers", domain.liveRouters},
            {"servers", domain.servers},       {"admitted_share", domain.admittedShare}};
}

json::object toJson(const MoveStatus &move)
{
    return {{"id", move.id.value()},
            {"model", move.model.value()},
            {"from", move.from.value()},
            {"to", move.to.value()},
            {"state", move.state},
            {"reason", move.reason},
            {"share", move.share},
            {"finish_by", wallTimeText(move.finishBy)},
            {"coordinator", move.coordinator.value()}};
}

json::object toJson(const CandidateExplanation &candidate)
{
    return {{"server", candidate.server.value()},
            {"domain", candidate.domain.value()},
            {"owner", candidate.owner.value()},
            {"eligible", candidate.eligible},
            {"reason", candidate.reason}};
}

json::array toJson(const std::vector<std::string> &texts)
{
    return json::array(texts.begin(), texts.end());
}

template <class Item>
json::array toArray(const std::vector<Item> &items)
{
    json::array array;
    for (const auto &item : items)
        array.push_back(toJson(item));
    return array;
}

} // namespace

json::object toJson(const FleetStatus &status)
{
    int live = 0;
    json::array lagging;
    for (const auto &router : status.routers) {
        if (router.state != "alive" && router.state != "suspect")
            continue;
        ++live;
        if (router.appliedRevision < status.revision)
            lagging.emplace_back(router.id.value());
    }
    return {{"instance", status.instance.value()},
            {"ready", status.ready},
            {"shutting_down", status.shuttingDown},
            {"revision", status.revision},
            {"head_revision", status.headRevision},
            {"kv_reachable", status.kvReachable},
            {"live_routers", live},
            {"in_force_on", live - static_cast<int>(lagging.size())},
            {"lagging", std::move(lagging)},
            {"routers", toArray(status.routers)},
            {"owned_servers", toArray(status.ownedServers)},
            {"domains", toArray(status.domains)},
            {"moves", toArray(status.moves)},
            {"stop_marks", toJson(status.stopMarks)},
            {"warnings", toJson(status.warnings)}};
}

json::object toJson(const ChatExplanation &explanation)
{
    return {{"model", explanation.model.value()},
            {"version", explanation.version.value()},
            {"version_reason", explanation.versionReason},
            {"move", explanation.move.value()},
            // A 64-bit number would lose digits in readers that use doubles.
            {"chat_hash", std::to_string(explanation.chatHash)},
            {"home", explanation.home.value()},
            {"exception", explanation.exception.value()},
            {"candidates", toArray(explanation.candidates)},
            {"problem", explanation.problem}};
}

json::object toJson(const ServerExplanation &explanation)
{
    json::object object{{"server", explanation.server.value()},
                        {"domain", explanation.domain.value()},
                        {"owner", explanation.owner.value()},
                        {"owner_operations", toString(explanation.ownerOperations)},
                        {"owned_here", explanation.ownedHere},
                        {"reasons", toJson(explanation.reasons)}};
    if (explanation.ownedHere) {
        object["in_flight"] = explanation.inFlight;
        object["limit"] = explanation.limit;
        object["bound"] = explanation.bound;
        object["queued"] = explanation.queued;
        object["cold"] = explanation.cold;
        object["recovering"] = explanation.recovering;
    }
    return object;
}

} // namespace jy
