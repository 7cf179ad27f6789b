#pragma once

#include "common/ChildProcess.h"
#include "common/FleetSpec.h"

#include "jy_base/jy_base.h"
#include "jy_http/jy_http.h"

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace jy::bench {

/**
 * Routers and stand-ins as real processes on loopback ports. Every process ends with this object.
 *
 * All calls suspend the calling fiber; a call that fails throws std::runtime_error.
 */
class Fleet
{
public:
    using Json = boost::json::object;
    using Millis = std::chrono::milliseconds;

    /** Bearer key of the operator API. */
    static constexpr const char *operatorSecret = "bench-operator-secret-0001";

    /** @param logFolder receives settings files and one log per process */
    Fleet(EventLoop &loop, FleetSpec spec, std::uint64_t seed, std::string logFolder);
    ~Fleet();

    /** Starts the key-value service, instance list, weight store and fault proxy. */
    void startPlatform();

    /** Starts engines and services and lists them. */
    void startServers();

    /** Starts engines that hold no version yet, in the first failure domain. */
    void startSpareEngines(int count);

    void startRouter(int router);

    /** Everything above, the first desired state, and ready routers. Throws after @p timeout. */
    void start(Millis timeout = Millis(20000));

    // Routers
    std::string settingsFile(int router) const
    {
        return logFolder_ + '/' + routerId(router) + ".json";
    }
    int routerCount() const { return spec_.routers; }
    ChildProcess &router(int number) { return *routers_.at(number); }
    Endpoint callerEndpoint(int router) const { return {"127.0.0.1", routerPort(router, 0)}; }
    Endpoint operatorEndpoint(int router) const { return {"127.0.0.1", routerPort(router, 3)}; }
    bool routerReady(int router);
    Json routerStatus(int router);
    int routerDomain(int router) const { return spec_.domainOf(router, spec_.routers); }

    // Desired state
    const Json &desiredState() const { return desiredState_; }

    /** Applies a desired state through a router. @returns its revision. */
    std::uint64_t apply(const Json &state, int router = 0);

    /** Sets one field of the desired state by its path, such as {"domains", "a", "state"}. */
    std::uint64_t applyChange(const std::vector<std::string> &path, const boost::json::value &value,
                              int router = 0);

    /** Time until every running router has a revision in force; nothing after @p timeout. */
    std::optional<Millis> waitInForce(std::uint64_t revision, Millis timeout);

    // Stand-ins
    Endpoint proxiedKv() const { return {"127.0.0.1", port(proxiedKvPort)}; }
    Json control(std::uint16_t port, const std::string &path, const Json &change = {});
    Json kv(const Json &change = {}) { return control(port(kvPort), "/control", change); }
    Json instances(const Json &change = {})
    {
        return control(port(instancesPort), "/control", change);
    }
    Json service(const Json &change = {}) { return control(port(servicePort), "/control", change); }
    Json serviceRuns() { return control(port(servicePort), "/control/runs"); }
    void fault(const std::string &link, const Json &rules);

    /** Changes one engine, or all for -1. */
    void engine(int engine, const Json &change);
    std::vector<Json> engineCounts();
    std::string engineId(int engine) const { return "engine-" + std::to_string(engine); }
    int engineDomain(int engine) const { return spec_.domainOf(engine, spec_.engines); }
    int engineCount() const { return spec_.engines; }
    Endpoint engineEndpoint(int engine) const { return {"127.0.0.1", port(enginePorts + engine)}; }

    int domainCount() const { return static_cast<int>(spec_.domains.size()); }
    const std::string &domainName(int domain) const
    {
        return spec_.domains[static_cast<std::size_t>(domain)];
    }

    /** Ends all engines and routers of a failure domain at once. */
    void killDomain(int domain);
    void restartDomain(int domain);

    // Load
    std::unique_ptr<ChildProcess> startLoad(const std::string &name,
                                            const std::vector<std::string> &flags);
    Json finishLoad(ChildProcess &load, const std::string &name, Millis timeout = Millis(60000));

    /** Polls @p condition. @returns the time it took, or nothing after @p timeout. */
    static std::optional<Millis> waitUntil(const std::function<bool()> &condition, Millis timeout);

    HttpClient &http() { return *http_; }
    const FleetSpec &spec() const { return spec_; }

private:
    // Offsets from the first port of the fleet.
    static constexpr int kvPort = 0;
    static constexpr int instancesPort = 1;
    static constexpr int weightsPort = 2;
    static constexpr int proxyPort = 3;
    static constexpr int proxiedKvPort = 4;
    static constexpr int proxiedInstancesPort = 5;
    static constexpr int routerPorts = 10;
    static constexpr int portsPerRouter = 4;
    static constexpr int engineControlPorts = 50;
    static constexpr int enginePorts = 60;
    static constexpr int servicePort = 90;
    static constexpr int proxiedEnginePorts = 100;
    static constexpr int portCount = 130;

    static std::string routerId(int router) { return "router-" + std::to_string(router); }
    std::uint16_t port(int offset) const { return static_cast<std::uint16_t>(basePort_ + offset); }
    std::uint16_t routerPort(int router, int which) const
    {
        return port(routerPorts + router * portsPerRouter + which);
    }

    std::unique_ptr<ChildProcess> startProgram(const std::string &program, const std::string &log,
                                               const std::vector<std::string> &flags);
    void startEngines(int domain);
    void startEngineGroup(int group, int first, int count, const std::string &version);

    /** Spare engines form the group after those of the domains. */
    const std::string &groupDomain(int group) const
    {
        return domainName(group < domainCount() ? group : 0);
    }
    Json proxySettings() const;
    Json routerSettings(int router) const;
    Json call(const Endpoint &endpoint, const std::string &method, const std::string &path,
              const std::string &body, bool asOperator = false);
    void waitForPort(int offset);
    std::vector<int> enginesOf(int domain) const;

    FleetSpec spec_;
    std::uint64_t seed_;
    std::string logFolder_;
    int basePort_ = 0;
    std::uint64_t nextRequest_ = 1;
    Json desiredState_;
    std::unique_ptr<HttpClient> http_;
    std::map<std::string, std::unique_ptr<ChildProcess>> platform_;
    std::map<int, std::unique_ptr<ChildProcess>> engines_;
    std::map<int, std::unique_ptr<ChildProcess>> routers_;
};

} // namespace jy::bench
