#include "jy_runtime/settings/RouterSettings.h"

#include "jy_runtime/settings/Settings.h"

#include <algorithm>
#include <map>
#include <set>

namespace jy {

namespace {

using enum Presence;
using Range = SettingRange<std::int64_t>;

// Shorter secrets could be found by brute force.
constexpr std::size_t minSecretSize = 16;

constexpr Range shortTime{1, 60'000};
constexpr Range longTime{1, 3'600'000};

template <class Items, class Name>
bool allDifferent(const Items &items, Name name)
{
    std::set<std::string> seen;
    return std::all_of(items.begin(), items.end(),
                       [&](const auto &item) { return seen.insert(name(item)).second; });
}

} // namespace

void InstanceSettings::describe(SettingsVisitor &visitor)
{
    visitor.id({"id", "Name of this instance, unique in the fleet.", Required}, id);
    visitor.id({"domain", "Failure domain of this instance.", Required}, domain);
    visitor.id({"region", "Region of the failure domain.", Required}, region);
}

void ListenSettings::describe(SettingsVisitor &visitor)
{
    visitor.endpoint({"caller", "Caller API; TCP.", Required}, caller);
    visitor.endpoint({"rpc", "Calls between routers; TCP.", Required}, rpc);
    visitor.endpoint({"gossip", "Probes between routers; UDP.", Required}, gossip);
    visitor.endpoint({"operations", "Operator API; TCP.", Required}, operations);
    const std::set<Endpoint> tcp{caller, rpc, operations};
    visitor.rule("operations", caller.port == 0 || tcp.size() == 3,
                 "different from caller and rpc, and those different from each other");
}

void KvSettings::describe(SettingsVisitor &visitor)
{
    visitor.endpoints({"endpoints", "Servers of the KV service, tried in order.", Required},
                      endpoints, 1);
    visitor.duration({"requestTimeoutMs", "Longest time of one call."}, requestTimeout, shortTime);
    visitor.duration({"watchWaitMs", "Longest time of one watch."}, watchWait, longTime);
}

void InstanceListSettings::describe(SettingsVisitor &visitor)
{
    visitor.endpoints({"endpoints", "Servers of the instance list, tried in order.", Required},
                      endpoints, 1);
    visitor.text({"routerService", "Name of the routers in the list."}, routerService);
    visitor.texts({"backendServices", "Names of the backend servers in the list."}, backendServices,
                  1);
    visitor.duration({"requestTimeoutMs", "Longest time of one call."}, requestTimeout, shortTime);
    visitor.duration({"watchWaitMs", "Longest time of one watch."}, watchWait, longTime);
}

void WeightStoreSettings::describe(SettingsVisitor &visitor)
{
    visitor.endpoints(
        {"endpoints", "Servers of the weight store; empty: use the rate in the desired state."},
        endpoints, 0);
    visitor.duration({"requestTimeoutMs", "Longest time of one call."}, requestTimeout, shortTime);
}

void EngineSettings::describe(SettingsVisitor &visitor)
{
    visitor.flag({"checkFencing", "Engines reject a command with a stale fencing token."},
                 checkFencing);
    visitor.duration({"guardIntervalMs",
                      "Time before the end of the command lease at which its holder stops "
                      "sending commands."},
                     guardInterval, shortTime);
    visitor.duration({"commandFlightMs", "Longest time from sending a command to its effect."},
                     commandFlight, longTime);
    visitor.duration({"commandLeaseMs", "Length of the command lease."}, commandLease, longTime);
    visitor.rule("guardIntervalMs", guardInterval < commandLease, "less than commandLeaseMs");
}

void PeerKeySettings::describe(SettingsVisitor &visitor)
{
    visitor.text({"id", "Name of the key, sent with each message.", Required}, id);
    visitor.secret({"secret", "Shared by all routers.", Required}, secret, minSecretSize);
}

void PeerKeysSettings::describe(SettingsVisitor &visitor)
{
    visitor.text({"sealWith", "Id of the key that seals outgoing messages.", Required}, sealWith);
    visitor.structures({"keys", "Keys that open incoming messages.", Required}, keys, 1);
    const auto sealing = [this](const PeerKeySettings &key) { return key.id == sealWith; };
    visitor.rule("sealWith", keys.empty() || std::any_of(keys.begin(), keys.end(), sealing),
                 "the id of one of keys");
    visitor.rule("keys", allDifferent(keys, [](const auto &key) { return key.id; }),
                 "different ids");
}

void OperatorKeySettings::describe(SettingsVisitor &visitor)
{
    visitor.text({"name", "Holder of the key; the author of the holder's changes.", Required},
                 name);
    visitor.secret({"secret", "Bearer token of the holder.", Required}, secret, minSecretSize);
}

void TimingSettings::describe(SettingsVisitor &visitor)
{
    visitor.duration({"probePeriodMs", "Time between two probes of other routers."}, probePeriod,
                     shortTime);
    visitor.duration({"probeTimeoutMs", "Time after which indirect probes start."}, probeTimeout,
                     shortTime);
    visitor.duration({"suspicionTimeoutMs", "Time from suspecting a router to declaring it dead."},
                     suspicionTimeout, shortTime);
    visitor.duration({"reportIntervalMs", "Time between two in-flight reports to an owner."},
                     reportInterval, shortTime);
    visitor.duration({"reservationExpiryMs",
                      "Time without a report after which the reservations of a failed router end."},
                     reservationExpiry, shortTime);
    visitor.duration({"rpcTimeoutMs", "Longest time of one call to another router."}, rpcTimeout,
                     shortTime);
    visitor.duration({"connectTimeoutMs", "Longest time to connect to a backend server."},
                     connectTimeout, shortTime);
    visitor.duration({"requestTimeoutMs", "Deadline of a request that does not set one."},
                     requestTimeout, longTime);
    visitor.duration(
        {"claimBatchWindowMs", "Time during which claims are collected into one write."},
        claimBatchWindow, {1, 1000});
    visitor.duration(
        {"shutdownDeadlineMs", "Time after SIGTERM at which remaining requests are interrupted."},
        shutdownDeadline, longTime);
    visitor.rule("probeTimeoutMs", probeTimeout < probePeriod, "less than probePeriodMs");
    visitor.rule("reservationExpiryMs", reservationExpiry >= 2 * reportInterval,
                 "at least twice reportIntervalMs");
}

void LimitSettings::describe(SettingsVisitor &visitor)
{
    visitor.number(
        {"memoryMb",
         "Memory in MB; callers may make the router hold two fifths of it, message bodies a "
         "quarter."},
        memoryMb, {16, 1'048'576});
    visitor.count({"maxConnections", "Caller connections; further ones are refused."},
                  maxConnections, {1, 1'000'000});
    visitor.count({"maxHeaderBytes", "Largest request header."}, maxHeaderBytes,
                  {1024, 1024 * 1024});
    visitor.count({"maxBodyBytes", "Largest request body."}, maxBodyBytes,
                  {1024, 256 * 1024 * 1024});
    visitor.count({"indirectProbes", "Routers asked to probe one that did not respond."},
                  indirectProbes, {1, 16});
    visitor.count({"eventBufferEvents", "Events kept for the timeline."}, eventBufferEvents,
                  {16, 1'000'000});
    visitor.count({"maxExceptionsPerServer", "Displaced chats remembered per owned server."},
                  maxExceptionsPerServer, {16, 10'000'000});
    visitor.number(
        {"minRetriesPerSecond", "Retries allowed per second regardless of the number of requests."},
        minRetriesPerSecond, {0, 1000});
    constexpr double bytesPerMb = 1024 * 1024;
    constexpr double bodyShare = 0.25;
    visitor.rule("maxBodyBytes",
                 static_cast<double>(maxBodyBytes) <= memoryMb * bytesPerMb * bodyShare,
                 "at most a quarter of memoryMb");
}

void RouterSettings::describe(SettingsVisitor &visitor)
{
    visitor.structure({"instance", "Identity of this router."}, instance);
    visitor.structure({"listen", "Addresses of this router, announced to callers and routers."},
                      listen);
    visitor.endpoints(
        {"seeds", "Gossip endpoints of a few routers, used until the instance list has been read."},
        seeds, 0);
    visitor.structure({"kv", "The KV service."}, kv);
    visitor.structure({"instanceList", "The instance list."}, instanceList);
    visitor.structure({"weightStore", "The weight store."}, weightStore);
    visitor.structure({"engines", "Command protocol of the engines."}, engines);
    visitor.structure({"peerKeys", "Keys between routers; reread on SIGHUP."}, peerKeys);
    visitor.structures({"operatorKeys", "Keys of the operator API; reread on SIGHUP.", Required},
                       operatorKeys, 1);
    visitor.rule("operatorKeys",
                 allDifferent(operatorKeys, [](const auto &key) { return key.name; })
                     && allDifferent(operatorKeys, [](const auto &key) { return key.secret; }),
                 "different names and secrets");
    visitor.structure({"timings", "Periods and timeouts."}, timings);
    visitor.structure({"limits", "Bounds on memory and traffic."}, limits);
    visitor.choice({"logLevel", "Minimum level of the lines logged."}, logLevel,
                   {"debug", "info", "warn", "error"});
}

LogLevel logLevelFromName(const std::string &name)
{
    static const std::map<std::string, LogLevel> levels{{"debug", LogLevel::Debug},
                                                        {"info", LogLevel::Info},
                                                        {"warn", LogLevel::Warn},
                                                        {"error", LogLevel::Error}};
    return levels.at(name);
}

std::string routerSettingsPage()
{
    return "# Settings reference\n\n"
           "The settings file of `jyrouter` is JSON with `//` and `/* */` comments and trailing "
           "commas. Unknown keys are errors. `jyrouter --check` reports all errors of a file at "
           "once, and `jyrouter --print-settings` prints the effective values. This page is "
           "generated: `jyctl reference settings > docs/operations/settings.md`.\n\n"
        + settingsTable<RouterSettings>();
}

} // namespace jy
