#include "SoakFleet.h"

#include "platform/JsonReader.h"
#include "platform/WireNames.h"

#include <boost/json/serialize.hpp>

#include <utility>

namespace jy::soak {

namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;
using Clock = std::chrono::steady_clock;
namespace wire = platform::wire;

constexpr int modelServers = 4;
constexpr int plainServers = 2;
constexpr seconds startBound{12};
constexpr milliseconds checkPeriod{200};

// The directory may list a dead gateway for the stable window of 4 s plus 3 s.
constexpr seconds directoryBound{7};

std::string domainOf(int number)
{
    return number % 2 == 0 ? "a" : "b";
}

std::string route(const std::string &prefix, const std::string &kind, const std::string &service,
                  int servers, bool resumable = false)
{
    return R"({"name":")" + prefix + R"(","host":"h","prefix":")" + prefix + R"(","route_kind":")"
        + kind + R"(","service":")" + service + R"(","timeout_ms":2500,"max_attempts":)"
        + std::to_string(servers) + (resumable ? R"(,"stream_resume":true)" : "")
        + (service == "model" ? R"(,"sticky":true)" : "") + '}';
}

} // namespace

SoakFleet::SoakFleet(EventLoop &loop, const SoakSettings &settings, Ledger::Report report)
    : ledger(disturbances, {}, std::move(report))
    , store(loop)
    , duties(loop)
    , loop_(loop)
    , settings_(settings)
    , dice_(settings.seed)
    , client_(HttpClient::create(loop, {.connectTimeout = milliseconds(300)}))
{
    store.rewrite = [this](const std::string &key, std::string value) {
        return replaceAddresses(key, std::move(value));
    };
    for (int i = 0; i < settings.gateways; ++i)
        gateways.emplace_back(loop, dice_, "g" + std::to_string(i + 1), domainOf(i),
                              store.endpoint());
    const SoakServerSettings shared{loop, store, ledger, dice_, settings.seed};
    for (int i = 0; i < modelServers + plainServers; ++i)
        servers.push_back(std::make_unique<SoakServer>(
            shared, i + 1, i < modelServers ? "model" : "plain", domainOf(i)));
}

SoakFleet::~SoakFleet()
{
    for (auto &gateway : gateways)
        gateway.process.reset();
}

bool SoakFleet::start()
{
    writeConfig();
    const auto starting = disturbances.begin("servers", Origin::Fault, Clock::now());
    for (auto &server : servers)
        server->start(false);
    for (auto &gateway : gateways)
        startGateway(gateway);
    const auto deadline = Clock::now() + startBound;
    while (!allReady() && Clock::now() < deadline)
        EventLoop::sleepFor(checkPeriod);
    EventLoop::sleepFor(SoakServer::coldTime);
    disturbances.end(starting, Clock::now());
    return allReady();
}

void SoakFleet::startGateway(SoakGateway &gateway)
{
    gateway.start(settings_.folder, gateways.front().controlAddress(), duties.endpoint());
    endedAt_.erase(gateway.place().id);
}

void SoakFleet::writeConfig()
{
    config_ = {config_.version + 7, Clock::now()};
    const auto number = std::to_string(config_.version);
    store.put(std::string(wire::configKey),
              R"({"version":)" + number + R"(,"routes":[)" + route("/safe/", "safe", "plain", 2)
                  + ',' + route("/unsafe/", "unsafe", "plain", 2) + ','
                  + route("/stream/", "stream", "model", 2, true) + ','
                  + route("/plain-stream/", "stream", "model", 2) + ','
                  + route("/v" + number + '/', "safe", "plain", 2)
                  + R"(],"services":[{"name":"plain","cold_start_s":2,"cold_per_s":4},)"
                    R"({"name":"model","cold_start_s":2,"cold_per_s":4}],"limits":{},)"
                    R"("tenants":[{"name":"w1","api_keys":["key-1","key-)"
                  + number + R"("]},{"name":"w2","api_keys":["key-2"]}]})");
}

std::string SoakFleet::replaceAddresses(const std::string &key, std::string value) const
{
    const auto object = platform::parseObject(value);
    for (const auto &gateway : gateways) {
        if (!object || !key.ends_with('/' + gateway.place().id))
            continue;
        auto changed = *object;
        changed["caller"] = toString(gateway.callerAddress());
        changed["peer"] = toString(gateway.peerAddress());
        changed["control"] = toString(gateway.controlAddress());
        return boost::json::serialize(changed);
    }
    return value;
}

const SoakGateway *SoakFleet::gatewayAt(const Endpoint &address) const
{
    for (const auto &gateway : gateways) {
        if (gateway.callerAddress() == address || gateway.place().caller == address)
            return &gateway;
    }
    return nullptr;
}

std::vector<Endpoint> SoakFleet::resolveAddresses(std::mt19937_64 &random)
{
    // Callers try up to three instances, for one second each.
    for (int attempt = 0; attempt < 3; ++attempt) {
        const auto &asked =
            gateways[std::uniform_int_distribution<std::size_t>(0, gateways.size() - 1)(random)];
        const auto sent = Clock::now();
        const auto response = client_->request(
            asked.place().directory,
            {.target = std::string(wire::resolvePath) + "?name=h&zone=" + asked.place().domain},
            seconds(1));
        const auto body = response ? platform::parseObject(response.value().body) : std::nullopt;
        const auto *list = body ? platform::JsonReader(*body).array("addresses") : nullptr;
        if (!list || list->empty())
            continue;
        std::vector<Endpoint> addresses;
        for (const auto &entry : *list) {
            const auto endpoint = endpointFromString(std::string(entry.as_string()));
            const auto *named = endpoint ? gatewayAt(endpoint.value()) : nullptr;
            if (!named)
                continue;
            addresses.push_back(endpoint.value());
            const auto ended = endedAt_.find(named->place().id);
            if (ended != endedAt_.end() && sent > ended->second + directoryBound
                && disturbances.undisturbed(asked.place().id, sent - startBound, sent)
                && disturbances.undisturbed("store", sent - startBound, sent))
                ledger.note("DRAIN",
                            "directory of " + asked.place().id + " names " + named->place().id
                                + ", which has exited");
        }
        return addresses;
    }
    return {};
}

bool SoakFleet::ready(const SoakGateway &gateway)
{
    const auto response = client_->request(
        gateway.place().readiness, {.target = std::string(wire::readinessPath)}, seconds(1));
    return response && response.value().status == 200;
}

bool SoakFleet::allReady()
{
    return std::ranges::all_of(gateways, [this](const auto &gateway) { return ready(gateway); });
}

void SoakFleet::watch()
{
    for (const auto &violation : std::exchange(duties.violations, {}))
        ledger.note("ONE", violation);
    for (auto &gateway : gateways) {
        if (!gateway.started() || gateway.running() || endedAt_.contains(gateway.place().id))
            continue;
        endedAt_[gateway.place().id] = Clock::now();
        if (!gateway.ending)
            ledger.note("ENDED", gateway.place().id + " exited unexpectedly");
    }
}

void SoakFleet::endAllFaults()
{
    store.setDown(false);
    for (auto &gateway : gateways) {
        for (const auto &link :
             {gateway.callerLink, gateway.storeLink, gateway.controlLink, gateway.peerLink})
            link->rules = {};
        if (gateway.running())
            gateway.process->resume();
        else
            startGateway(gateway);
    }
    for (auto &server : servers) {
        server->link->rules = {};
        server->misbehavior = {};
        if (!server->running())
            server->start(false);
        else
            server->writeEntry();
    }
    disturbances.endAll(Clock::now());
}

} // namespace jy::soak
