#include "jy_router/operations/timeline/Collector.h"

#include "jy_runtime/events/EventJson.h"

#include <boost/fiber/fiber.hpp>
#include <boost/json/array.hpp>

#include <algorithm>

namespace jy {

namespace {

namespace json = boost::json;

struct RouterTarget
{
    std::string process;
    Endpoint operations;
};

std::string text(const json::object &object, std::string_view key)
{
    const auto *value = object.if_contains(key);
    return value && value->is_string() ? std::string(value->get_string()) : std::string();
}

std::uint64_t number(const json::object &object, std::string_view key)
{
    const auto *value = object.if_contains(key);
    return value && value->is_int64() ? static_cast<std::uint64_t>(value->get_int64()) : 0;
}

std::string query(const EventFilter &filter, std::uint64_t since)
{
    std::string target = "/ops/events?since=" + std::to_string(since);
    const auto add = [&target](std::string_view name, const std::string &value) {
        if (!value.empty())
            target += '&' + std::string(name) + '=' + percentEncode(value);
    };
    add("chat", filter.chat);
    add("server", filter.server);
    add("workspace", filter.workspace);
    add("move", filter.move);
    add("revision", filter.revision);
    add("kind", filter.kind);
    return target;
}

std::vector<RouterTarget> liveRouters(const json::value &status)
{
    std::vector<RouterTarget> targets;
    const auto *routers = status.is_object() ? status.get_object().if_contains("routers") : nullptr;
    if (!routers || !routers->is_array())
        return targets;
    for (const auto &router : routers->get_array()) {
        if (!router.is_object())
            continue;
        const auto &object = router.get_object();
        const auto state = text(object, "state");
        const auto endpoint = endpointFromString(text(object, "operations"));
        if (endpoint && state != "dead" && state != "left")
            targets.push_back({text(object, "id"), endpoint.value()});
    }
    return targets;
}

/** Adds the events of one response. @returns the position for the next one. */
Result<std::uint64_t> addPage(const json::value &page, ProcessEvents &process)
{
    const auto *object = page.if_object();
    const auto *events = object ? object->if_contains("events") : nullptr;
    if (!events || !events->is_array())
        return failure(ErrorKind::BackendFailed, "response holds no events");
    for (const auto &value : events->get_array()) {
        BOOST_OUTCOME_TRY(auto event, eventFromJson(value));
        process.events.push_back(std::move(event));
    }
    process.lost += number(*object, "lost");
    return number(*object, "next");
}

/** Reads pages until one is empty; events recorded meanwhile are included. */
Result<void> collectFrom(OperatorClient &client, const RouterTarget &target,
                         const EventFilter &filter, ProcessEvents &process)
{
    std::uint64_t since = 0;
    for (std::size_t before = process.events.size();; before = process.events.size()) {
        BOOST_OUTCOME_TRY(const auto page, client.getJson(target.operations, query(filter, since)));
        BOOST_OUTCOME_TRY(const auto next, addPage(page, process));
        if (process.events.size() == before || next <= since)
            return success();
        since = next;
    }
}

Result<std::vector<RouterTarget>> findRouters(OperatorClient &client,
                                              const std::vector<Endpoint> &seeds)
{
    Error last{ErrorKind::BadRequest, "no router given; use --router=ADDRESS:PORT"};
    for (const auto &seed : seeds) {
        const auto status = client.getJson(seed, "/ops/status");
        if (status)
            return liveRouters(status.value());
        last = status.error();
        last.message = toString(seed) + ": " + last.message;
    }
    return failure(last.kind, last.message);
}

} // namespace

Result<std::vector<ProcessEvents>>
collectEvents(OperatorClient &client, const std::vector<Endpoint> &seeds, const EventFilter &filter)
{
    BOOST_OUTCOME_TRY(const auto targets, findRouters(client, seeds));
    std::vector<ProcessEvents> processes(targets.size());
    std::vector<boost::fibers::fiber> fibers;
    for (std::size_t i = 0; i < targets.size(); ++i) {
        processes[i].process = targets[i].process;
        fibers.emplace_back([&client, &filter, &target = targets[i], &process = processes[i]] {
            if (const auto result = collectFrom(client, target, filter, process); !result)
                process.error = result.error().message;
        });
    }
    for (auto &fiber : fibers)
        fiber.join();
    return processes;
}

} // namespace jy
