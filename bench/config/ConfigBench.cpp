#include "ConfigBench.h"

#include "jy_core/config/ConfigApply.h"
#include "jy_core/config/ConfigReplica.h"
#include "jy_core/config/DesiredStateWriter.h"

#include <algorithm>
#include <cstdlib>
#include <ctime>
#include <iostream>

namespace jy::bench {

namespace {

using std::chrono::microseconds;

constexpr int models = 5;

DesiredState makeState(std::size_t workspaces)
{
    DesiredState state;
    for (int i = 0; i < models; ++i) {
        const ModelId id("model-" + std::to_string(i));
        state.models[id] = {
            .id = id, .serve = VersionId("v1"), .versions = {VersionId("v1"), VersionId("v2")}};
    }
    for (int i = 0; i < 6; ++i) {
        const DomainId id("domain-" + std::to_string(i));
        state.domains[id] = {.id = id, .region = RegionId(i < 3 ? "north" : "south")};
    }
    state.services[ServiceId("desk")] = {.id = ServiceId("desk"),
                                         .protectedCalls = {{"POST", "/permits"}}};
    for (std::size_t i = 0; i < workspaces; ++i) {
        const WorkspaceId id("workspace-" + std::to_string(i));
        state.workspaces[id] = {.id = id,
                                .models = {ModelId("model-" + std::to_string(i % models))},
                                .services = {ServiceId("desk")}};
    }
    return state;
}

microseconds cpuNow()
{
    timespec time{};
    clock_gettime(CLOCK_THREAD_CPUTIME_ID, &time);
    return std::chrono::duration_cast<microseconds>(std::chrono::seconds(time.tv_sec)
                                                    + std::chrono::nanoseconds(time.tv_nsec));
}

microseconds median(std::vector<microseconds> times)
{
    std::nth_element(times.begin(), times.begin() + times.size() / 2, times.end());
    return times[times.size() / 2];
}

/** A KV service without faults; an apply needs one read and a few writes. */
struct MemoryKv
{
    std::map<std::string, KvValue> values;
    std::uint64_t lastIndex = 0;
    std::size_t writes = 0;
    std::size_t bytes = 0;
    std::vector<std::string> parts;

    std::optional<KvValue> read(const std::string &key) const
    {
        const auto found = values.find(key);
        return found == values.end() ? std::nullopt : std::optional(found->second);
    }

    std::uint64_t write(const ConfigApply::SwapKey &swap)
    {
        values[swap.key] = {swap.value, ++lastIndex};
        ++writes;
        bytes += swap.value.size();
        if (swap.key != configHeadKey)
            parts.push_back(swap.value);
        return lastIndex;
    }
};

void apply(MemoryKv &kv, const std::string &text, int number, const ConfigReplica &replica)
{
    const TimePoint now;
    auto created = ConfigApply::create({}, {.text = text, .requestId = std::to_string(number)},
                                       replica.snapshot(), {}, now);
    auto &machine = created.value();
    auto action = machine.start();
    while (!std::holds_alternative<ConfigApply::Finished>(action)) {
        if (const auto *read = std::get_if<ConfigApply::ReadKey>(&action))
            action = machine.onRead(kv.read(read->key), now);
        else
            action = machine.onSwap(kv.write(std::get<ConfigApply::SwapKey>(action)), now);
    }
    const auto &result = std::get<ConfigApply::Finished>(action).result;
    if (!result || !result.value().changed) {
        std::cerr << "bench: apply failed\n";
        std::abort();
    }
}

ConfigChangeCost measure(std::size_t workspaces, int repetitions)
{
    ConfigChangeCost cost{.workspaces = workspaces};
    auto state = makeState(workspaces);
    MemoryKv kv;
    ConfigReplica replica;
    std::vector<microseconds> applyTimes;
    std::vector<microseconds> adoptTimes;
    for (int i = 0; i <= repetitions; ++i) {
        auto changed = state.workspaces.begin();
        std::advance(changed, static_cast<std::size_t>(i) * 37 % workspaces);
        changed->second.weight += 1;
        const auto text = desiredStateText(state);
        kv.parts.clear();
        kv.writes = 0;
        kv.bytes = 0;
        const auto before = cpuNow();
        apply(kv, text, i, replica);
        const auto applied = cpuNow();
        const auto &head = kv.values[std::string(configHeadKey)].value;
        std::size_t transferred = head.size();
        for (const auto &part : kv.parts)
            transferred += part.size();
        const auto offered = cpuNow();
        replica.offer(head, std::move(kv.parts));
        const auto adopted = cpuNow();
        state.revision = 0;
        if (i == 0) {
            cost.bytesComplete = transferred;
            continue;
        }
        cost.bytesPerRouter = transferred;
        cost.bytesWritten = kv.bytes;
        cost.writes = kv.writes;
        applyTimes.push_back(applied - before);
        adoptTimes.push_back(adopted - offered);
    }
    cost.applyCpu = median(std::move(applyTimes));
    cost.adoptCpu = median(std::move(adoptTimes));
    return cost;
}

} // namespace

std::vector<ConfigChangeCost> measureConfigChanges(const std::vector<std::size_t> &workspaces,
                                                   int repetitions)
{
    std::vector<ConfigChangeCost> costs;
    costs.reserve(workspaces.size());
    for (const auto count : workspaces)
        costs.push_back(measure(count, repetitions));
    return costs;
}

double slopePerWorkspace(const std::vector<ConfigChangeCost> &costs,
                         double (*value)(const ConfigChangeCost &))
{
    double meanX = 0;
    double meanY = 0;
    const auto count = static_cast<double>(costs.size());
    for (const auto &cost : costs) {
        meanX += static_cast<double>(cost.workspaces) / count;
        meanY += value(cost) / count;
    }
    double covariance = 0;
    double variance = 0;
    for (const auto &cost : costs) {
        const auto x = static_cast<double>(cost.workspaces) - meanX;
        covariance += x * (value(cost) - meanY);
        variance += x * x;
    }
    return covariance / variance;
}

} // namespace jy::bench
