#include "common/Fleet.h"

#include "jy_runtime/jy_runtime.h"

#include <gtest/gtest.h>

#include <csignal>
#include <filesystem>

using namespace std::chrono_literals;
using jy::bench::Fleet;

namespace {

class RouterProcesses : public testing::Test
{
protected:
    /** Runs @p body with a small fleet that has not been started. */
    static void withFleet(const std::function<void(Fleet &)> &body)
    {
        const auto *info = testing::UnitTest::GetInstance()->current_test_info();
        const auto folder =
            std::filesystem::temp_directory_path() / "jy-integration" / info->name();
        std::filesystem::remove_all(folder);
        std::filesystem::create_directories(folder);
        jy::EventLoop loop;
        loop.run([&] {
            auto spec = jy::bench::loadFleetSpec("cedar-drift");
            spec.routers = 3;
            Fleet fleet(loop, spec, 1, folder.string());
            body(fleet);
        });
    }

    static Fleet::Json runLoad(Fleet &fleet, const std::function<void()> &meanwhile)
    {
        const auto load = fleet.startLoad(
            "load", {"--chats=10", "--think_ms=100", "--seconds=8", "--bookings_per_second=5"});
        meanwhile();
        return fleet.finishLoad(*load, "load");
    }

    static void expectTrueAnswers(Fleet &fleet, const Fleet::Json &summary)
    {
        EXPECT_GT(summary.at("complete_chats").to_number<double>(), 50);
        for (const auto &[kind, count] : summary.at("violations").as_object())
            EXPECT_EQ(count.to_number<double>(), 0) << std::string(kind);
        EXPECT_EQ(fleet.service().at("duplicate_runs").to_number<double>(), 0);
    }
};

// Guards against incomplete answers and double bookings while a router dies and returns.
TEST_F(RouterProcesses, AnswersStayWholeWhenARouterIsKilled)
{
    withFleet([](Fleet &fleet) {
        fleet.start();
        const auto summary = runLoad(fleet, [&] {
            jy::EventLoop::sleepFor(2s);
            fleet.router(1).kill();
            jy::EventLoop::sleepFor(2s);
            fleet.startRouter(1);
        });
        expectTrueAnswers(fleet, summary);
    });
}

// Guards against a paused router that runs a booking again after it resumes.
TEST_F(RouterProcesses, APausedRouterRunsNothingTwice)
{
    withFleet([](Fleet &fleet) {
        fleet.start();
        const auto summary = runLoad(fleet, [&] {
            jy::EventLoop::sleepFor(1s);
            fleet.router(2).pause();
            jy::EventLoop::sleepFor(5s);
            fleet.router(2).resume();
        });
        expectTrueAnswers(fleet, summary);
    });
}

// Guards against signals that end a router at any moment between SIGTERM and its exit.
TEST_F(RouterProcesses, SignalsDuringTheShutdownCutNoAnswer)
{
    // Less than the default of shutdownDeadlineMs; the watch of the configuration ends late.
    static constexpr auto longestShutdown = 60s;
    withFleet([](Fleet &fleet) {
        fleet.start();
        const auto summary = runLoad(fleet, [&] {
            jy::EventLoop::sleepFor(2s);
            auto &router = fleet.router(1);
            router.terminate();
            const auto ended = Fleet::waitUntil(
                [&] {
                    for (const int signal : {SIGHUP, SIGTERM, SIGINT})
                        router.signal(signal);
                    return !router.running();
                },
                longestShutdown);
            EXPECT_TRUE(ended.has_value());
            EXPECT_EQ(router.waitForExit(0s), 0);
        });
        expectTrueAnswers(fleet, summary);
    });
}

// Guards against a router that serves without a configuration, or that ends, while the KV service
// is down at its start.
TEST_F(RouterProcesses, WaitsForTheKvServiceWhenItIsDownAtTheStart)
{
    withFleet([](Fleet &fleet) {
        fleet.startPlatform();
        fleet.kv({{"down", true}});
        fleet.startServers();
        fleet.startRouter(0);
        jy::EventLoop::sleepFor(3s);
        EXPECT_TRUE(fleet.router(0).running());
        EXPECT_FALSE(fleet.routerReady(0));
        fleet.kv({{"down", false}});
        fleet.apply(fleet.desiredState());
        EXPECT_TRUE(Fleet::waitUntil([&] { return fleet.routerReady(0); }, 10s).has_value());
    });
}

// Guards against a second router at the same addresses that seems to start.
TEST_F(RouterProcesses, APortInUseEndsTheStartWithAClearError)
{
    withFleet([](Fleet &fleet) {
        fleet.startPlatform();
        fleet.startRouter(0);
        jy::EventLoop::sleepFor(1s);
        jy::bench::ChildProcess second(JY_BINARY_DIR "/jyrouter",
                                       {"--settings=" + fleet.settingsFile(0)},
                                       fleet.settingsFile(0) + ".log");
        EXPECT_EQ(second.waitForExit(10s), 2);
    });
}

} // namespace
