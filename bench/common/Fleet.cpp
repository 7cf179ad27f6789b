#include "common/Fleet.h"

#include "jy_runtime/jy_runtime.h"

#include <boost/asio/ip/tcp.hpp>

#include <algorithm>
#include <fstream>
#include <stdexcept>
#include <unistd.h>

namespace jy::bench {

namespace {

using boost::json::array;
using boost::json::object;

constexpr std::chrono::milliseconds callTimeout{3000};
constexpr std::chrono::milliseconds pollPeriod{20};
constexpr std::chrono::milliseconds startTimeout{10000};

// Below the range from which the system takes ports of outgoing connections.
constexpr int firstBasePort = 20000;
constexpr int portBlocks = 80;

std::string local(int port)
{
    return "127.0.0.1:" + std::to_string(port);
}

std::string flag(const std::string &name, std::int64_t value)
{
    return "--" + name + '=' + std::to_string(value);
}

bool isFree(boost::asio::io_context &io, int port)
{
    using boost::asio::ip::tcp;
    boost::system::error_code error;
    tcp::acceptor acceptor(io, tcp::v4());
    acceptor.set_option(tcp::acceptor::reuse_address(true), error);
    acceptor.bind({boost::asio::ip::address_v4::loopback(), static_cast<std::uint16_t>(port)},
                  error);
    return !error;
}

int findPortBlock(boost::asio::io_context &io, int count)
{
    for (int attempt = 0; attempt < portBlocks; ++attempt) {
        const int base = firstBasePort + (getpid() + attempt) % portBlocks * count;
        int port = base;
        while (port < base + count && isFree(io, port))
            ++port;
        if (port == base + count)
            return base;
    }
    throw std::runtime_error("no free block of loopback ports");
}

void mergeInto(object &target, const object &changes)
{
    for (const auto &[name, value] : changes) {
        if (value.is_object() && target[name].is_object())
            mergeInto(target[name].as_object(), value.as_object());
        else
            target[name] = value;
    }
}

} // namespace

Fleet::Fleet(EventLoop &loop, FleetSpec spec, std::uint64_t seed, std::string logFolder)
    : spec_(std::move(spec))
    , seed_(seed)
    , logFolder_(std::move(logFolder))
    , basePort_(findPortBlock(loop.io(), portCount))
    , desiredState_(spec_.desiredState)
    , http_(HttpClient::create(loop, {}))
{ }

Fleet::~Fleet() = default;

std::unique_ptr<ChildProcess> Fleet::startProgram(const std::string &program,
                                                  const std::string &log,
                                                  const std::vector<std::string> &flags)
{
    return std::make_unique<ChildProcess>(JY_BINARY_DIR "/" + program, flags,
                                          logFolder_ + '/' + log + ".log");
}

void Fleet::waitForPort(int offset)
{
    const auto answers = [&] {
        return http_->request({"127.0.0.1", port(offset)}, {.target = "/control"}, callTimeout)
            .has_value();
    };
    if (!waitUntil(answers, startTimeout))
        throw std::runtime_error("a stand-in did not start; see " + logFolder_);
}

void Fleet::startPlatform()
{
    const std::string settings = logFolder_ + "/proxy.json";
    std::ofstream(settings) << boost::json::serialize(proxySettings());
    const auto start = [&](const std::string &program, int offset, std::vector<std::string> more) {
        more.push_back(flag("port", port(offset)));
        platform_[program] = startProgram(program, program, more);
    };
    start("standin_kv", kvPort, {});
    start("standin_instances", instancesPort, {});
    start("standin_weights", weightsPort, {});
    start("fault_proxy", proxyPort,
          {"--settings=" + settings, flag("seed", static_cast<std::int64_t>(seed_))});
    for (const int offset : {kvPort, instancesPort, weightsPort, proxyPort})
        waitForPort(offset);
}

Fleet::Json Fleet::proxySettings() const
{
    array links;
    const auto add = [&](const std::string &name, int listen, int target) {
        links.push_back(object{{"name", name},
                               {"protocol", "tcp"},
                               {"listen", port(listen)},
                               {"target", port(target)}});
    };
    add("kv", proxiedKvPort, kvPort);
    add("instances", proxiedInstancesPort, instancesPort);
    for (int i = 0; spec_.proxyEngines && i < spec_.engines; ++i)
        add(engineId(i), proxiedEnginePorts + i, enginePorts + i);
    return object{{"links", links}};
}

std::vector<int> Fleet::enginesOf(int domain) const
{
    std::vector<int> found;
    for (int i = 0; i < spec_.engines; ++i) {
        if (engineDomain(i) == domain)
            found.push_back(i);
    }
    return found;
}

void Fleet::startEngines(int domain)
{
    const std::vector<int> members = enginesOf(domain);
    startEngineGroup(domain, members.front(), static_cast<int>(members.size()), "v1");
}

void Fleet::startSpareEngines(int count)
{
    startEngineGroup(domainCount(), spec_.engines, count, "");
}

void Fleet::startEngineGroup(int group, int first, int count, const std::string &version)
{
    engines_[group] = startProgram(
        "standin_engine", "engines-" + std::to_string(group),
        {flag("port", port(enginePorts + first)), flag("count", count),
         flag("control_port", port(engineControlPorts + group)), flag("first_id", first),
         "--model=" + spec_.model, "--model_version=" + version, "--domain=" + groupDomain(group),
         "--region=" + spec_.region, "--knobs=" + boost::json::serialize(spec_.engineKnobs),
         flag("instances_port", port(instancesPort)),
         flag("listed_port_offset", spec_.proxyEngines ? proxiedEnginePorts - enginePorts : 0),
         flag("weights_port", port(weightsPort))});
    waitForPort(engineControlPorts + group);
}

void Fleet::startServers()
{
    std::string domains;
    for (int domain = 0; domain < domainCount(); ++domain) {
        startEngines(domain);
        domains += (domain == 0 ? "" : ",") + domainName(domain);
    }
    platform_["standin_service"] =
        startProgram("standin_service", "standin_service",
                     {flag("port", port(servicePort)), flag("count", spec_.services),
                      "--service=" + spec_.service, "--domains=" + domains,
                      "--region=" + spec_.region, flag("instances_port", port(instancesPort))});
    waitForPort(servicePort);
}

Fleet::Json Fleet::routerSettings(int router) const
{
    array seeds;
    for (int i = 0; i < std::min(3, spec_.routers); ++i)
        seeds.push_back(boost::json::string(local(routerPort(i, 2))));
    const auto endpoints = [&](int offset) {
        return object{{"endpoints", array{boost::json::string(local(port(offset)))}}};
    };
    const object peerKey{{"id", "k1"}, {"secret", "bench-peer-secret-0001"}};
    const object operatorKey{{"name", "bench"}, {"secret", operatorSecret}};
    object settings{{"instance",
                     object{{"id", routerId(router)},
                            {"domain", domainName(routerDomain(router))},
                            {"region", spec_.region}}},
                    {"listen",
                     object{{"caller", local(routerPort(router, 0))},
                            {"rpc", local(routerPort(router, 1))},
                            {"gossip", local(routerPort(router, 2))},
                            {"operations", local(routerPort(router, 3))}}},
                    {"seeds", seeds},
                    {"kv", endpoints(proxiedKvPort)},
                    {"instanceList", endpoints(proxiedInstancesPort)},
                    {"weightStore", endpoints(weightsPort)},
                    {"peerKeys", object{{"sealWith", "k1"}, {"keys", array{peerKey}}}},
                    {"operatorKeys", array{operatorKey}}};
    mergeInto(settings, spec_.routerSettings);
    return settings;
}

void Fleet::startRouter(int router)
{
    const std::string settings = settingsFile(router);
    std::ofstream(settings) << boost::json::serialize(routerSettings(router));
    routers_[router] = startProgram("jyrouter", routerId(router), {"--settings=" + settings});
    const object meta{{"domain", domainName(routerDomain(router))},
                      {"region", spec_.region},
                      {"rpc_port", std::to_string(routerPort(router, 1))},
                      {"gossip_port", std::to_string(routerPort(router, 2))},
                      {"operations_port", std::to_string(routerPort(router, 3))}};
    control(port(instancesPort), "/control/instances/jyrouter/" + routerId(router),
            object{{"Address", "127.0.0.1"}, {"Port", routerPort(router, 0)}, {"Meta", meta}});
}

void Fleet::start(Millis timeout)
{
    startPlatform();
    startServers();
    for (int i = 0; i < spec_.routers; ++i)
        startRouter(i);
    std::string reason;
    const auto applied = [&] {
        try {
            apply(desiredState_);
            return true;
        } catch (const std::exception &error) {
            reason = error.what();
            return false;
        }
    };
    if (!waitUntil(applied, timeout))
        throw std::runtime_error("the first desired state was not accepted: " + reason);
    const auto ready = [&] {
        return std::all_of(routers_.begin(), routers_.end(),
                           [&](const auto &entry) { return routerReady(entry.first); });
    };
    if (!waitUntil(ready, timeout))
        throw std::runtime_error("the routers did not become ready; see " + logFolder_);
}

void Fleet::killDomain(int domain)
{
    engines_.erase(domain);
    for (int i = 0; i < spec_.routers; ++i) {
        if (routerDomain(i) == domain)
            routers_.erase(i);
    }
}

void Fleet::restartDomain(int domain)
{
    startEngines(domain);
    for (int i = 0; i < spec_.routers; ++i) {
        if (routerDomain(i) == domain)
            startRouter(i);
    }
}

std::optional<Fleet::Millis> Fleet::waitUntil(const std::function<bool()> &condition,
                                              Millis timeout)
{
    const TimePoint start = std::chrono::steady_clock::now();
    while (true) {
        const bool holds = condition();
        const auto passed =
            std::chrono::duration_cast<Millis>(std::chrono::steady_clock::now() - start);
        if (holds)
            return passed;
        if (passed >= timeout)
            return std::nullopt;
        EventLoop::sleepFor(pollPeriod);
    }
}

Fleet::Json Fleet::call(const Endpoint &endpoint, const std::string &method,
                        const std::string &path, const std::string &body, bool asOperator)
{
    HttpRequest request{.method = method, .target = path};
    request.body = body;
    if (asOperator) {
        request.headers.set("Authorization", "Bearer " + std::string(operatorSecret));
        request.headers.set("X-Request-Id",
                            "bench-" + std::to_string(getpid()) + '-'
                                + std::to_string(nextRequest_++));
    }
    const auto response = http_->request(endpoint, request, callTimeout);
    if (!response)
        throw std::runtime_error(path + ": " + response.error().message);
    if (response.value().status >= 300)
        throw std::runtime_error(path + ": " + response.value().body);
    const auto json = boost::json::parse(response.value().body);
    return json.is_object() ? json.as_object() : object{{"value", json}};
}

Fleet::Json Fleet::control(std::uint16_t port, const std::string &path, const Json &change)
{
    return call({"127.0.0.1", port}, change.empty() ? "GET" : "PUT", path,
                change.empty() ? "" : boost::json::serialize(change));
}

void Fleet::fault(const std::string &link, const Json &rules)
{
    control(port(proxyPort), "/links/" + link, rules);
}

void Fleet::engine(int engine, const Json &change)
{
    for (const auto &[domain, process] : engines_) {
        const std::uint16_t controlPort = port(engineControlPorts + domain);
        if (engine < 0)
            control(controlPort, "/engines/all", change);
        else if (engineDomain(engine) == domain)
            control(controlPort, "/engines/" + std::to_string(engine - enginesOf(domain).front()),
                    change);
    }
}

std::vector<Fleet::Json> Fleet::engineCounts()
{
    std::vector<Json> counts;
    for (const auto &[domain, process] : engines_) {
        const Json answer = control(port(engineControlPorts + domain), "/engines");
        for (const auto &engine : answer.at("value").as_array()) {
            counts.push_back(engine.as_object());
            counts.back()["domain"] = groupDomain(domain);
        }
    }
    return counts;
}

bool Fleet::routerReady(int router)
{
    const auto response =
        http_->request(operatorEndpoint(router), {.target = "/readyz"}, callTimeout);
    return response && response.value().status == 200;
}

Fleet::Json Fleet::routerStatus(int router)
{
    return call(operatorEndpoint(router), "GET", "/ops/status", "", true);
}

std::uint64_t Fleet::apply(const Json &state, int router)
{
    const Json answer =
        call(operatorEndpoint(router), "PUT", "/ops/config", boost::json::serialize(state), true);
    desiredState_ = state;
    return answer.at("revision").to_number<std::uint64_t>();
}

std::uint64_t Fleet::applyChange(const std::vector<std::string> &path,
                                 const boost::json::value &value, int router)
{
    Json state = desiredState_;
    object *parent = &state;
    for (std::size_t i = 0; i + 1 < path.size(); ++i) {
        boost::json::value &next = (*parent)[path[i]];
        if (!next.is_object())
            next = object{};
        parent = &next.as_object();
    }
    (*parent)[path.back()] = value;
    return apply(state, router);
}

std::optional<Fleet::Millis> Fleet::waitInForce(std::uint64_t revision, Millis timeout)
{
    const auto inForceOn = [&](int router) {
        try {
            return routerStatus(router).at("revision").to_number<std::uint64_t>() >= revision;
        } catch (const std::exception &) {
            return false;
        }
    };
    const auto inForce = [&] {
        return std::all_of(routers_.begin(), routers_.end(), [&](const auto &entry) {
            return !entry.second->running() || inForceOn(entry.first);
        });
    };
    return waitUntil(inForce, timeout);
}

std::unique_ptr<ChildProcess> Fleet::startLoad(const std::string &name,
                                               const std::vector<std::string> &flags)
{
    std::string routers;
    for (const auto &[number, process] : routers_)
        routers += (routers.empty() ? "" : ",") + toString(callerEndpoint(number));
    std::string workspaces;
    for (const auto &[workspace, spec] : desiredState_.at("workspaces").as_object())
        workspaces += (workspaces.empty() ? "" : ",") + std::string(workspace);
    std::vector<std::string> all{"--routers=" + routers,
                                 "--workspaces=" + workspaces,
                                 "--model=" + spec_.model,
                                 "--service=" + spec_.service,
                                 flag("seed", static_cast<std::int64_t>(seed_)),
                                 "--output=" + logFolder_ + '/' + name + ".load.json"};
    // Later flags win, so that a scenario can replace the defaults.
    all.insert(all.end(), flags.begin(), flags.end());
    return startProgram("loadgen", name, all);
}

Fleet::Json Fleet::finishLoad(ChildProcess &load, const std::string &name, Millis timeout)
{
    if (load.waitForExit(timeout) != 0)
        throw std::runtime_error("the load generator failed; see " + logFolder_);
    std::ifstream file(logFolder_ + '/' + name + ".load.json");
    const std::string text{std::istreambuf_iterator<char>(file), {}};
    return boost::json::parse(text).as_object();
}

} // namespace jy::bench
