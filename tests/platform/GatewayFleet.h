#pragma once

#include "GatewayAddresses.h"
#include "StandinStore.h"

#include "common/ChildProcess.h"
#include "jy_http/HttpTestServer.h"

#include <gtest/gtest.h>

#include <algorithm>
#include <cstdlib>
#include <deque>
#include <filesystem>
#include <fstream>
#include <iostream>

namespace jy::platform::test {

using std::chrono::milliseconds;
using std::chrono::seconds;
using Clock = std::chrono::steady_clock;

// Time limits set by the platform: removing a dead instance from the directory, applying a
// configuration, and becoming ready after a start.
inline constexpr seconds directoryBound{6};
inline constexpr seconds configBound{2};
inline constexpr seconds startBound{12};

inline bool within(std::chrono::milliseconds time, const std::function<bool()> &condition)
{
    const auto deadline = Clock::now() + time;
    while (Clock::now() < deadline) {
        if (condition())
            return true;
        EventLoop::sleepFor(milliseconds(50));
    }
    return condition();
}

/** Gateway processes with a stand-in store and a scripted backend server. */
class GatewayFleet
{
public:
    struct Instance
    {
        GatewayAddresses addresses;
        std::unique_ptr<bench::ChildProcess> process;
    };

    explicit GatewayFleet(EventLoop &loop)
        : store(loop)
        , loop_(loop)
        , client_(HttpClient::create(loop, {.connectTimeout = milliseconds(300)}))
    {
        std::string pattern = std::filesystem::temp_directory_path() / "jygateway-XXXXXX";
        folder_ = ::mkdtemp(pattern.data());
    }

    ~GatewayFleet()
    {
        if (testing::Test::HasFailure())
            printLogsOfExited();
        instances.clear();
        if (backend_)
            backend_->stop();
        std::filesystem::remove_all(folder_);
    }

    void start(std::size_t count)
    {
        for (std::size_t i = 0; i < count; ++i)
            startOne();
    }

    Instance &startOne()
    {
        auto &instance = instances.emplace_back();
        instance.addresses =
            GatewayAddresses::create(loop_, "g" + std::to_string(instances.size()));
        writeSettings(instance, {instances.front().addresses.control});
        instance.process = std::make_unique<bench::ChildProcess>(
            JY_BINARY_DIR "/jygateway",
            std::vector<std::string>{"--settings=" + file(instance, ".json")},
            file(instance, ".log"));
        return instance;
    }

    /** Writes the settings file of an instance that has been started. */
    void writeSettings(const Instance &instance, const std::vector<Endpoint> &seeds)
    {
        instance.addresses.writeSettings(file(instance, ".json"), store.endpoint(), seeds,
                                         moreSettings);
    }

    void configure(int version, const std::string &prefix = "/a/")
    {
        store.put("op/config",
                  R"({"version":)" + std::to_string(version)
                      + R"(,"routes":[{"name":"r","host":"h","prefix":")" + prefix
                      + R"(","route_kind":"unsafe","service":"s","timeout_ms":3000,)"
                        R"("max_attempts":1}],"services":[{"name":"s"}],"limits":{}})");
    }

    void addBackend(HttpHandler handler)
    {
        backend_ = HttpServer::create(loop_, {}, std::move(handler)).value();
        store.put("servers/i-1",
                  R"({"service":"s","address":")" + toString(backend_->localEndpoint())
                      + R"(","zone":"a","version":"v1","slots":6,"state":"ready"})");
    }

    /** Connections of gateways to the backend server, and idle ones of this fleet to gateways. */
    std::size_t pooledConnections() const
    {
        return (backend_ ? backend_->connections() : 0) + client_->idleConnections();
    }

    /** Adds a backend server that responds at once and counts its requests. */
    void addBackend(int &runs)
    {
        addBackend([&runs](const HttpRequest &request, HttpResponder &out) {
            ++runs;
            out.send(200, seal(request), "done");
        });
    }

    static HttpHeaders seal(const HttpRequest &request)
    {
        return {{"Jacinthyoke-Replica-Seal", "s"},
                {"Jacinthyoke-Attempt-Id",
                 std::string(request.headers.value("Jacinthyoke-Attempt-Id"))}};
    }

    int call(const Instance &instance, const std::string &path = "/a/x",
             const std::string &key = {})
    {
        const auto response =
            client_->request(instance.addresses.caller,
                             {.method = "POST",
                              .target = path,
                              .headers = {{"Host", "h"},
                                          {"Jacinthyoke-Attempt-Id", std::to_string(++lastId_)},
                                          {"Jacinthyoke-Credential", key}}},
                             seconds(5), {.freshConnection = true, .keepHost = true});
        return response ? response.value().status : 0;
    }

    bool ready(const Instance &instance)
    {
        const auto response = client_->request(instance.addresses.readiness,
                                               {.target = "/jacinthyoke/readiness"}, seconds(1));
        return response && response.value().status == 200;
    }

    /** Whether an instance accepts connections. */
    bool listens(const Instance &instance)
    {
        return client_->request(instance.addresses.readiness, {.target = "/"}, seconds(1))
            .has_value();
    }

    bool allReady()
    {
        return std::ranges::all_of(instances,
                                   [this](const Instance &instance) { return ready(instance); });
    }

    /** Number of addresses that the directory of an instance lists. */
    std::size_t directoryAddressCount(const Instance &instance)
    {
        const auto response =
            client_->request(instance.addresses.directory,
                             {.target = "/jacinthyoke/resolve?name=h&zone=a"}, seconds(1));
        if (!response || response.value().status != 200)
            return 0;
        const auto &body = response.value().body;
        return static_cast<std::size_t>(std::ranges::count(body, '.')) / 3;
    }

    StandinStore store;
    std::deque<Instance> instances;

    /** Added to the settings of instances that start afterwards. */
    std::string moreSettings;

private:
    /** Prints the logs of instances that exited on their own. */
    void printLogsOfExited()
    {
        for (const auto &instance : instances) {
            if (!instance.process->running())
                std::cout << instance.addresses.id << " ended:\n"
                          << std::ifstream(file(instance, ".log")).rdbuf();
        }
    }

    std::string file(const Instance &instance, const std::string &ending) const
    {
        return folder_ + '/' + instance.addresses.id + ending;
    }

    EventLoop &loop_;
    std::unique_ptr<HttpClient> client_;
    std::unique_ptr<HttpServer> backend_;
    std::string folder_;
    int lastId_ = 0;
};

inline void withFleet(const std::function<void(GatewayFleet &)> &body)
{
    EventLoop loop;
    loop.run([&] {
        GatewayFleet fleet(loop);
        body(fleet);
    });
}

} // namespace jy::platform::test
