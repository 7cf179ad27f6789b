#include "GatewayAddresses.h"
#include "StandinDuties.h"
#include "StandinStore.h"

#include "common/ChildProcess.h"
#include "jy_http/HttpTestServer.h"

#include <gtest/gtest.h>

#include <csignal>
#include <cstdlib>
#include <filesystem>
#include <fstream>
#include <iostream>
#include <sstream>

namespace jy::platform::test {

namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;
using Clock = std::chrono::steady_clock;

// Time limits set by the platform: removing a dead instance from the directory, applying a
// configuration, and becoming ready after a start.
constexpr seconds directoryBound{6};
constexpr seconds configBound{2};
constexpr seconds startBound{12};

bool within(std::chrono::milliseconds time, const std::function<bool()> &condition)
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
        const auto name = "g" + std::to_string(instances.size());
        instance.addresses = GatewayAddresses::create(loop_, name);
        const auto file = folder_ + '/' + name + ".json";
        instance.addresses.writeSettings(file, store.endpoint(),
                                         instances.front().addresses.control, moreSettings);
        instance.process = std::make_unique<bench::ChildProcess>(
            JY_BINARY_DIR "/jygateway", std::vector<std::string>{"--settings=" + file},
            folder_ + '/' + name + ".log");
        return instance;
    }

    /** Replaces the seeds in the settings file of an instance. @param seeds joined by "," */
    void writeSeeds(const Instance &instance, const std::string &seeds)
    {
        const auto file = folder_ + '/' + instance.addresses.id + ".json";
        std::stringstream text;
        text << std::ifstream(file).rdbuf();
        auto settings = text.str();
        const std::string_view key = R"("seeds":[")";
        const auto begin = settings.find(key) + key.size();
        settings.replace(begin, settings.find("\"]", begin) - begin, seeds);
        std::ofstream(file) << settings;
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
        for (std::size_t i = 0; i < instances.size(); ++i) {
            if (instances[i].process->running())
                continue;
            const auto name = "g" + std::to_string(i + 1);
            std::cout << name << " ended:\n"
                      << std::ifstream(folder_ + '/' + name + ".log").rdbuf();
        }
    }

    EventLoop &loop_;
    std::unique_ptr<HttpClient> client_;
    std::unique_ptr<HttpServer> backend_;
    std::string folder_;
    int lastId_ = 0;
};

void withFleet(const std::function<void(GatewayFleet &)> &body)
{
    EventLoop loop;
    loop.run([&] {
        GatewayFleet fleet(loop);
        body(fleet);
    });
}

TEST(GatewayProcessTest, KilledInstanceLeavesTheDirectory)
{
    withFleet([](GatewayFleet &fleet) {
        int runs = 0;
        fleet.addBackend(runs);
        fleet.configure(1);
        fleet.start(3);
        ASSERT_TRUE(within(startBound, [&] { return fleet.allReady(); }));
        EXPECT_TRUE(within(configBound,
                           [&] { return fleet.directoryAddressCount(fleet.instances[0]) == 3; }));
        for (const auto &instance : fleet.instances)
            EXPECT_EQ(fleet.call(instance), 200);
        EXPECT_EQ(runs, 3);
        fleet.instances[2].process->kill();
        EXPECT_TRUE(within(directoryBound,
                           [&] { return fleet.directoryAddressCount(fleet.instances[0]) == 2; }));
    });
}

TEST(GatewayProcessTest, StoreOutageDoesNotInterruptService)
{
    withFleet([](GatewayFleet &fleet) {
        int runs = 0;
        fleet.addBackend(runs);
        fleet.configure(1);
        fleet.start(2);
        ASSERT_TRUE(within(startBound, [&] { return fleet.allReady(); }));
        fleet.store.setDown(true);
        EventLoop::sleepFor(seconds(2));
        for (const auto &instance : fleet.instances)
            EXPECT_EQ(fleet.call(instance), 200);
        // An instance that starts now can read the configuration only from its peers.
        auto &late = fleet.startOne();
        EXPECT_TRUE(within(startBound, [&] { return fleet.call(late) == 200; }));
        fleet.store.setDown(false);
        fleet.configure(2, "/b/");
        EXPECT_TRUE(within(configBound + seconds(1), [&] {
            return std::ranges::all_of(fleet.instances, [&](const auto &instance) {
                return fleet.call(instance, "/b/x") == 200 && fleet.call(instance) == 404;
            });
        }));
    });
}

TEST(GatewayProcessTest, LostWatchHistoryHidesNoChange)
{
    withFleet([](GatewayFleet &fleet) {
        int runs = 0;
        fleet.addBackend(runs);
        fleet.configure(1);
        fleet.start(4);
        ASSERT_TRUE(within(startBound, [&] { return fleet.allReady(); }));
        fleet.store.put("servers/i-1", "unreadable");
        fleet.store.forgetHistory();
        EXPECT_TRUE(within(configBound, [&] {
            return std::ranges::all_of(
                fleet.instances, [&](const auto &instance) { return fleet.call(instance) == 503; });
        }));
    });
}

// Guards against one odd entry of another writer that ends the instances, or their following of the
// store.
TEST(GatewayProcessTest, OddEntriesDoNotHideLaterChanges)
{
    withFleet([](GatewayFleet &fleet) {
        int runs = 0;
        fleet.addBackend(runs);
        fleet.configure(1);
        fleet.start(4);
        ASSERT_TRUE(within(startBound, [&] { return fleet.allReady(); }));
        const std::string deep = std::string(10'000, '[') + std::string(10'000, ']');
        int version = 1;
        const auto follow = [&](const std::string &step) {
            const auto prefix = "/v" + std::to_string(++version) + '/';
            fleet.configure(version, prefix);
            EXPECT_TRUE(within(configBound + seconds(1), [&] {
                return std::ranges::all_of(fleet.instances, [&](const auto &instance) {
                    return fleet.call(instance, prefix + 'x') == 200;
                });
            })) << step;
        };
        const auto entry = [](const std::string &more) {
            return R"({"service":"s","address":"127.0.0.1:9","state":"ready")" + more + '}';
        };
        fleet.store.put("servers/deep", deep);
        fleet.store.put("servers/deep-field", entry(R"(,"more":)" + deep));
        follow("deeply nested");
        for (const auto *number : {"1e999", "1e300", "-1", "9223372036854775808", "1.5"})
            fleet.store.put("servers/n" + std::string(number),
                            entry(R"(,"slots":)" + std::string(number) + R"(,"cold_left_ms":)"
                                  + number + R"(,"born":)" + number));
        follow("numbers out of range");
        for (const auto *port : {"0", "65536", "99999999999", "-1"})
            fleet.store.put("servers/p" + std::string(port),
                            R"({"service":"s","address":"127.0.0.1:)" + std::string(port)
                                + R"(","state":"ready"})");
        fleet.store.put("instances/odd",
                        R"({"caller":"127.0.0.1:0","peer":"127.0.0.1:0",)"
                        R"("control":"127.0.0.1:0","link_mbps":1e300})");
        follow("ports out of range");
        fleet.store.put("servers/\xff\xfe", entry(""));
        follow("key with odd bytes");
        fleet.store.forgetHistory();
        follow("complete list with odd entries");
        EXPECT_TRUE(std::ranges::all_of(
            fleet.instances, [](const auto &instance) { return instance.process->running(); }));
    });
}

TEST(GatewayProcessTest, GracefulShutdownFinishesRunningRequests)
{
    withFleet([](GatewayFleet &fleet) {
        fleet.addBackend([](const HttpRequest &request, HttpResponder &out) {
            EventLoop::sleepFor(milliseconds(1500));
            out.send(200, GatewayFleet::seal(request), "done");
        });
        fleet.configure(1);
        fleet.start(1);
        ASSERT_TRUE(within(startBound, [&] { return fleet.allReady(); }));
        auto &instance = fleet.instances[0];
        int status = 0;
        EventLoop::spawn([&] { status = fleet.call(instance); });
        EventLoop::sleepFor(milliseconds(200));
        instance.process->terminate();
        EventLoop::sleepFor(milliseconds(100));
        EXPECT_FALSE(fleet.ready(instance));
        EXPECT_EQ(instance.process->waitForExit(seconds(8)), 0);
        EXPECT_TRUE(within(seconds(1), [&] { return status != 0; }));
        EXPECT_EQ(status, 200);
        EXPECT_EQ(fleet.store.count("instances/"), 0U);
    });
}

struct SignalsInStopCase
{
    const char *name;

    /** Sent one after the other, 300 ms apart. */
    std::vector<int> signals;
};

struct SignalsInStopTest : testing::TestWithParam<SignalsInStopCase>
{ };

// Guards against signals that end a process which drains its requests after SIGTERM: all accepted
// requests were cut.
TEST_P(SignalsInStopTest, RunningRequestsAreAnswered)
{
    withFleet([](GatewayFleet &fleet) {
        fleet.addBackend([](const HttpRequest &request, HttpResponder &out) {
            EventLoop::sleepFor(milliseconds(1800));
            out.send(200, GatewayFleet::seal(request), "done");
        });
        fleet.configure(1);
        fleet.start(1);
        ASSERT_TRUE(within(startBound, [&] { return fleet.allReady(); }));
        auto &instance = fleet.instances[0];
        constexpr std::size_t requests = 4;
        std::vector<int> statuses;
        for (std::size_t i = 0; i < requests; ++i)
            EventLoop::spawn([&] { statuses.push_back(fleet.call(instance)); });
        EventLoop::sleepFor(milliseconds(200));
        for (const int signal : GetParam().signals) {
            instance.process->signal(signal);
            EventLoop::sleepFor(milliseconds(300));
        }
        EXPECT_EQ(instance.process->waitForExit(seconds(8)), 0);
        EXPECT_TRUE(within(seconds(1), [&] { return statuses.size() == requests; }));
        EXPECT_EQ(statuses, std::vector<int>(requests, 200));
    });
}

INSTANTIATE_TEST_SUITE_P(
    Signals, SignalsInStopTest,
    testing::Values(SignalsInStopCase{"reload", {SIGTERM, SIGHUP}},
                    SignalsInStopCase{"reload_before_and_after", {SIGHUP, SIGTERM, SIGHUP, SIGHUP}},
                    SignalsInStopCase{"second_stop", {SIGTERM, SIGTERM}},
                    SignalsInStopCase{"stop_in_two_ways", {SIGINT, SIGTERM, SIGINT}}),
    [](const auto &testCase) { return testCase.param.name; });

// Guards against a reload that ends a process which is not ready yet, or gets lost there.
TEST(GatewayProcessTest, SignalsAtTheStartAreServed)
{
    withFleet([](GatewayFleet &fleet) {
        fleet.configure(1);
        auto &instance = fleet.startOne();
        // From the first listener on, all signals have a handler.
        ASSERT_TRUE(within(startBound, [&] { return fleet.listens(instance); }));
        for (int i = 0; i < 20; ++i)
            instance.process->signal(SIGHUP);
        EXPECT_TRUE(within(startBound, [&] { return fleet.ready(instance); }));
        instance.process->signal(SIGINT);
        EXPECT_EQ(instance.process->waitForExit(seconds(8)), 0);
    });
}

// Guards against a reload that replaces the list of seeds while an instance without a configuration
// asks one of them for its copy: the process ended with a segmentation fault.
TEST(GatewayProcessTest, SeedsMayChangeWhileOneIsAsked)
{
    EventLoop loop;
    loop.run([&] {
        int asked = 0;
        const jy::test::RawServer silent(loop, [&](jy::test::tcp::socket &socket, int) {
            jy::test::RawServer::readHead(socket);
            ++asked;
            EventLoop::sleepFor(seconds(5));
        });
        GatewayFleet fleet(loop);
        auto &instance = fleet.startOne();
        const auto seeds = [&](std::size_t count) {
            std::string list = toString(silent.endpoint());
            for (std::size_t i = 1; i < count; ++i)
                list += R"(",")" + toString(silent.endpoint());
            fleet.writeSeeds(instance, list);
            instance.process->signal(SIGHUP);
        };
        ASSERT_TRUE(within(startBound, [&] { return fleet.listens(instance); }));
        seeds(2);
        for (std::size_t count = 3; count < 8; ++count) {
            const int before = asked;
            ASSERT_TRUE(within(seconds(5), [&] { return asked > before; }));
            seeds(count);
        }
        EXPECT_FALSE(instance.process->waitForExit(seconds(3)));
    });
}

// Guards against requests that the end of a process cuts off without a response: one whose body is
// complete late is refused, and one that still runs at the end gets a final response.
TEST(GatewayProcessTest, ShutdownAnswersEveryRequest)
{
    EventLoop loop;
    loop.run([&] {
        GatewayFleet fleet(loop);
        int runs = 0;
        int ended = 0;
        fleet.addBackend([&](const HttpRequest &, HttpResponder &out) {
            ++runs;
            ended += within(seconds(8), [&] { return out.callerGone(); }) ? 1 : 0;
        });
        fleet.configure(1);
        fleet.moreSettings = R"(,"bounds":{"graceSeconds":5})";
        auto &instance = fleet.startOne();
        ASSERT_TRUE(within(startBound, [&] { return fleet.allReady(); }));
        const auto request = [](const std::string &id) {
            return "POST /a/x HTTP/1.1\r\nHost: h\r\nJacinthyoke-Attempt-Id: " + id
                + "\r\nContent-Length: 4\r\n\r\n12";
        };
        jy::test::RawConnection late(loop, instance.addresses.caller);
        jy::test::RawConnection running(loop, instance.addresses.caller);
        late.write(request("a"));
        running.write(request("b"));
        EventLoop::sleepFor(milliseconds(100));
        instance.process->terminate();
        EventLoop::sleepFor(milliseconds(2000));
        running.write("34");
        EventLoop::sleepFor(milliseconds(1000));
        late.write("34");
        const auto refusal = late.readAll();
        EXPECT_EQ(refusal.substr(0, 12), "HTTP/1.1 503") << refusal;
        EXPECT_NE(refusal.find("Retry-After: "), std::string::npos);
        EXPECT_EQ(running.readAll().substr(0, 12), "HTTP/1.1 504");
        EXPECT_EQ(instance.process->waitForExit(seconds(2)), 0);
        EXPECT_TRUE(within(seconds(1), [&] { return ended == 1; }));
        EXPECT_EQ(runs, 1);
    });
}

struct EndlessServersCase
{
    const char *name;

    /** What each server sends, the second part again and again. */
    std::string begin;
    const char *rest;
};

struct EndlessServersTest : testing::TestWithParam<EndlessServersCase>
{ };

// Guards against faulty servers whose bytes have no end: an instance that kept them ran out of
// memory, and the requests of all other callers ended with it.
TEST_P(EndlessServersTest, CostLittleMemoryAndNoOtherRequest)
{
    EventLoop loop;
    loop.run([&] {
        constexpr int servers = 100;
        // The smallest instances of the platform.
        constexpr double memoryLimitMb = 160;
        std::vector<std::unique_ptr<jy::test::EndlessServer>> endless;
        GatewayFleet fleet(loop);
        int runs = 0;
        fleet.addBackend(runs);
        for (int i = 0; i < servers; ++i) {
            endless.push_back(
                std::make_unique<jy::test::EndlessServer>(GetParam().begin, GetParam().rest));
            fleet.store.put("servers/e-" + std::to_string(i),
                            R"({"service":"e","address":")" + toString(endless.back()->endpoint())
                                + R"(","zone":"a","version":"v1","slots":6,"state":"ready"})");
        }
        fleet.store.put("op/config",
                        R"({"version":1,"routes":[{"name":"r","host":"h","prefix":"/a/",)"
                        R"("route_kind":"unsafe","service":"s","timeout_ms":3000},)"
                        R"({"name":"f","host":"h","prefix":"/e/","route_kind":"stream",)"
                        R"("service":"e","timeout_ms":1500}],)"
                        R"("services":[{"name":"s"},{"name":"e"}],"limits":{}})");
        fleet.moreSettings = R"(,"limits":{"memoryMb":160})";
        fleet.start(1);
        auto &instance = fleet.instances[0];
        ASSERT_TRUE(within(startBound, [&] { return fleet.ready(instance); }));
        const double before = instance.process->usage().residentMegabytes;
        double most = before;
        int ended = 0;
        for (int i = 0; i < servers; ++i)
            EventLoop::spawn([&] {
                fleet.call(instance, "/e/x");
                ++ended;
            });
        for (int i = 0; i < 20; ++i) {
            EXPECT_EQ(fleet.call(instance), 200);
            most = std::max(most, instance.process->usage().residentMegabytes);
            EventLoop::sleepFor(milliseconds(50));
        }
        EXPECT_TRUE(within(seconds(10), [&] {
            most = std::max(most, instance.process->usage().residentMegabytes);
            return ended == servers;
        }));
        EXPECT_TRUE(instance.process->running());
        EXPECT_LT(most, memoryLimitMb);
        std::cout << "resident before " << before << " MB, most " << most << " MB\n";
    });
}

const std::string sealedHead = "HTTP/1.1 200 OK\r\nJacinthyoke-Replica-Seal: s\r\n";
const std::string sealedChunks = sealedHead + "Transfer-Encoding: chunked\r\n\r\n";
const std::string sealedEvents = sealedHead + "Content-Type: text/event-stream\r\n\r\n";
INSTANTIATE_TEST_SUITE_P(
    Responses, EndlessServersTest,
    testing::Values(EndlessServersCase{"NoResponse", "", "no response "},
                    EndlessServersCase{"HeadFields", sealedHead, "A: b\r\n"},
                    EndlessServersCase{"InterimResponses", "", "HTTP/1.1 102 Processing\r\n\r\n"},
                    EndlessServersCase{"Body", sealedHead + "\r\n", "x"},
                    EndlessServersCase{"ChunkExtension", sealedChunks + "1;a=", "b"},
                    EndlessServersCase{"Trailer", sealedChunks + "0\r\nA: ", "b"},
                    EndlessServersCase{"LineEnds", sealedEvents, "\n"},
                    EndlessServersCase{"Events", sealedEvents, "id: 1\ndata: x\n\n"},
                    EndlessServersCase{"OneEvent", sealedEvents, "data: x\n"}),
    [](const auto &testCase) { return testCase.param.name; });

// Apart from lease renewals, the number of store calls must not grow with the fleet.
TEST(GatewayProcessTest, FewInstancesReadTheStore)
{
    withFleet([](GatewayFleet &fleet) {
        constexpr std::size_t count = 10;
        fleet.configure(1);
        fleet.start(count);
        ASSERT_TRUE(within(startBound, [&] { return fleet.allReady(); }));
        EventLoop::sleepFor(seconds(3));
        fleet.store.takeCalls();
        EventLoop::sleepFor(seconds(3));
        // Three readers with a watch of 0.6 s each, and a renewal of each lease every 1.3 s.
        const double watches = 3 * 3 / 0.6;
        const double renewals = count * 3 / 1.3;
        EXPECT_LE(static_cast<double>(fleet.store.takeCalls()), (watches + renewals) * 1.3);
    });
}

struct RestoreCase
{
    const char *name;
    std::chrono::milliseconds outage;

    /** Number of restores, one second apart. */
    int restores = 1;
    bool readerDies = false;
};

struct StoreRestoreTest : testing::TestWithParam<RestoreCase>
{ };

// Guards against changes that are ignored after the store came back from an older copy, because
// their revisions are lower than those of the lost ones.
TEST_P(StoreRestoreTest, LaterChangesTakeEffectEverywhere)
{
    withFleet([](GatewayFleet &fleet) {
        const auto &restored = GetParam();
        int runs = 0;
        fleet.addBackend(runs);
        fleet.configure(1);
        fleet.start(5);
        ASSERT_TRUE(within(startBound, [&] { return fleet.allReady(); }));
        const auto serves = [&](const std::string &path) {
            return within(configBound, [&] {
                return std::ranges::all_of(fleet.instances, [&](auto &instance) {
                    return !instance.process->running() || fleet.call(instance, path) == 200;
                });
            });
        };
        fleet.store.saveCopy();
        for (int version = 2; version < 12; ++version)
            fleet.configure(version, "/lost/");
        EXPECT_TRUE(serves("/lost/x"));
        for (int i = 0; i < restored.restores; ++i) {
            fleet.store.setDown(restored.outage.count() > 0);
            EventLoop::sleepFor(restored.outage);
            fleet.store.restore();
            fleet.store.setDown(false);
            if (restored.readerDies)
                fleet.instances.back().process->kill();
            EventLoop::sleepFor(seconds(1));
        }
        fleet.startOne();
        fleet.configure(20, "/b/");
        fleet.store.takeCalls();
        EXPECT_TRUE(serves("/b/x"));
        ASSERT_TRUE(
            within(startBound, [&] { return fleet.call(fleet.instances.back(), "/b/x") == 200; }));
        fleet.configure(21, "/c/");
        EXPECT_TRUE(serves("/c/x"));
        EXPECT_LE(fleet.store.takeCalls(), 150U);
    });
}

INSTANTIATE_TEST_SUITE_P(Restores, StoreRestoreTest,
                         testing::Values(RestoreCase{"no_outage", milliseconds(0)},
                                         RestoreCase{"outage", seconds(2)},
                                         RestoreCase{"twice", milliseconds(200), 2},
                                         RestoreCase{"reader_dies", milliseconds(0), 1, true}),
                         [](const auto &testCase) { return testCase.param.name; });

// Guards against requests that no report contains, or two, and against duties that nobody performs:
// the holder is killed, the next one is stopped as planned, and the third one reports the rest.
TEST(GatewayProcessTest, UsageIsReportedOnceThroughChangesOfTheHolder)
{
    EventLoop loop;
    loop.run([&] {
        StandinDuties platform(loop);
        GatewayFleet fleet(loop);
        int runs = 0;
        fleet.addBackend(runs);
        fleet.store.put("op/config",
                        R"({"version":1,"routes":[{"name":"r","host":"h","prefix":"/a/",)"
                        R"("route_kind":"unsafe","service":"s","timeout_ms":3000}],"services":)"
                        R"([{"name":"s","scaling":{"min":2,"max":5,"boot_s":8}}],"limits":{},)"
                        R"("tenants":[{"name":"w","api_keys":["k"]}]})");
        fleet.moreSettings = R"(,"duties":{"names":["usage_report","autoscale","other"],)"
                             R"("address":")"
            + toString(platform.endpoint())
            + R"(","leaseMs":1000,"usageWindowSeconds":1,"usageDueSeconds":10})";
        platform.leaseTime = seconds(1);
        fleet.start(3);
        ASSERT_TRUE(within(startBound, [&] { return fleet.allReady(); }));
        const auto reported = [&] {
            std::uint64_t sum = 0;
            for (const auto &[window, count] : platform.reported)
                sum += count;
            return static_cast<int>(sum);
        };
        const auto callAll = [&] {
            for (const auto &instance : fleet.instances) {
                if (instance.process->running())
                    EXPECT_EQ(fleet.call(instance, "/a/x", "k"), 200);
            }
        };
        const auto holder = [&]() -> GatewayFleet::Instance & {
            return *std::ranges::find(fleet.instances, platform.holders.back(),
                                      [](const auto &entry) { return entry.addresses.id; });
        };
        callAll();
        ASSERT_TRUE(within(seconds(15), [&] { return reported() == runs; }));
        // A moderate load is no reason to order servers.
        EXPECT_TRUE(platform.ordered.empty());
        callAll();
        // By then the counts have reached the other collectors.
        EventLoop::sleepFor(milliseconds(1200));
        holder().process->kill();
        EXPECT_TRUE(within(seconds(20), [&] { return reported() == runs; }));
        callAll();
        holder().process->terminate();
        EXPECT_TRUE(within(seconds(20), [&] { return reported() == runs; }));
        EXPECT_EQ(reported(), runs);
        EXPECT_EQ(platform.holders.size(), 3U);
        EXPECT_EQ(platform.violations, std::vector<std::string>());
    });
}

} // namespace

} // namespace jy::platform::test
