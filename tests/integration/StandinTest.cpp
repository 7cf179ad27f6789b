#include "common/Fleet.h"

#include "jy_runtime/jy_runtime.h"

#include <gtest/gtest.h>

#include <filesystem>

using namespace std::chrono_literals;
using jy::bench::Fleet;

namespace {

std::string logFolder()
{
    const auto *info = testing::UnitTest::GetInstance()->current_test_info();
    const auto folder = std::filesystem::temp_directory_path() / "jy-integration" / info->name();
    std::filesystem::remove_all(folder);
    std::filesystem::create_directories(folder);
    return folder.string();
}

/** Runs the load generator directly against the engines. */
Fleet::Json loadEngines(Fleet &fleet, const std::string &name)
{
    std::string engines;
    for (int i = 0; i < fleet.engineCount(); ++i)
        engines += (i == 0 ? "" : ",") + jy::toString(fleet.engineEndpoint(i));
    const auto load = fleet.startLoad(
        name, {"--direct", "--routers=" + engines, "--chats=10", "--think_ms=100", "--seconds=2"});
    return fleet.finishLoad(*load, name);
}

double number(const Fleet::Json &json, const char *name)
{
    return json.at(name).to_number<double>();
}

// Guards against a load generator that calls every response complete, or none.
TEST(Standins, LoadGeneratorTellsCompleteFromBrokenStreams)
{
    jy::EventLoop loop;
    loop.run([&] {
        Fleet fleet(loop, jy::bench::loadFleetSpec("cedar-drift"), 1, logFolder());
        fleet.startPlatform();
        fleet.startServers();
        fleet.engine(-1, {{"cold_limit", 100}});
        const auto whole = loadEngines(fleet, "whole");
        EXPECT_GT(number(whole, "chats"), 20);
        EXPECT_EQ(number(whole, "complete_chats"), number(whole, "chats"));
        for (const auto &[kind, count] : whole.at("violations").as_object())
            EXPECT_EQ(count.to_number<double>(), 0) << std::string(kind);

        fleet.engine(-1, {{"break_stream_after", 3}});
        const auto broken = loadEngines(fleet, "broken");
        EXPECT_GT(number(broken.at("ends").as_object(), "truncated"), 0);
        EXPECT_LT(number(broken, "complete_chats"), number(broken, "chats"));
    });
}

// Guards against an engine that bears any load while it is cold, which would hide a violation of
// I2.
TEST(Standins, ColdEngineFailsWhenItGetsMoreThanItCanBear)
{
    jy::EventLoop loop;
    loop.run([&] {
        auto spec = jy::bench::loadFleetSpec("cedar-drift");
        spec.engineKnobs["cold_limit"] = 1;
        spec.engineKnobs["warm_after"] = 1000;
        spec.engines = 3;
        Fleet fleet(loop, spec, 1, logFolder());
        fleet.startPlatform();
        fleet.startServers();
        loadEngines(fleet, "cold");
        double overloads = 0;
        for (const auto &engine : fleet.engineCounts())
            overloads += number(engine, "cold_overloads");
        EXPECT_GT(overloads, 0);
    });
}

// Guards against a proxy that loses the request along with its response: the write must take
// effect.
TEST(Standins, FaultProxyLosesTheResponseAndNotTheRequest)
{
    jy::EventLoop loop;
    loop.run([&] {
        Fleet fleet(loop, jy::bench::loadFleetSpec("cedar-drift"), 1, logFolder());
        fleet.startPlatform();
        const jy::HttpRequest write{.method = "PUT", .target = "/v1/kv/a", .body = "1"};
        fleet.fault("kv", {{"lose_answers", 1}});
        EXPECT_FALSE(fleet.http().request(fleet.proxiedKv(), write, 2s));
        const auto read = fleet.http().request(fleet.proxiedKv(), {.target = "/v1/kv/a"}, 2s);
        ASSERT_TRUE(read);
        EXPECT_EQ(read.value().status, 200);
        EXPECT_EQ(number(fleet.kv(), "applied_writes"), 1);

        fleet.fault("kv", {{"cut_backward", true}});
        EXPECT_FALSE(fleet.http().request(fleet.proxiedKv(), write, 300ms));
        EXPECT_EQ(number(fleet.kv(), "applied_writes"), 2);
    });
}

} // namespace
