#include "GatewayFleet.h"

#include <csignal>

namespace jy::platform::test {

namespace {

struct PlannedStopCase
{
    const char *name;

    /** Sent one after the other, 300 ms apart. */
    std::vector<int> signals;
};

struct PlannedStopTest : testing::TestWithParam<PlannedStopCase>
{ };

// Guards against a planned stop that cuts running requests, also if further signals arrive: they
// ended the process at once.
TEST_P(PlannedStopTest, RunningRequestsAreAnswered)
{
    withFleet([](GatewayFleet &fleet) {
        fleet.addBackend([](const HttpRequest &request, HttpResponder &out) {
            EventLoop::sleepFor(milliseconds(1800));
            out.send(200, GatewayFleet::seal(request), "done");
        });
        fleet.configure(1);
        auto &instance = fleet.startOne();
        ASSERT_TRUE(within(startBound, [&] { return fleet.allReady(); }));
        std::vector<int> statuses;
        for (int i = 0; i < 4; ++i)
            EventLoop::spawn([&] { statuses.push_back(fleet.call(instance)); });
        EventLoop::sleepFor(milliseconds(200));
        for (const int signal : GetParam().signals) {
            instance.process->signal(signal);
            EventLoop::sleepFor(milliseconds(300));
        }
        EXPECT_FALSE(fleet.ready(instance));
        EXPECT_EQ(instance.process->waitForExit(seconds(8)), 0);
        EXPECT_TRUE(within(seconds(1), [&] { return statuses.size() == 4; }));
        EXPECT_EQ(statuses, std::vector<int>(4, 200));
        EXPECT_EQ(fleet.store.count("instances/"), 0U);
    });
}

INSTANTIATE_TEST_SUITE_P(
    Signals, PlannedStopTest,
    testing::Values(PlannedStopCase{"stop", {SIGTERM}},
                    PlannedStopCase{"reload", {SIGTERM, SIGHUP}},
                    PlannedStopCase{"reload_before_and_after", {SIGHUP, SIGTERM, SIGHUP, SIGHUP}},
                    PlannedStopCase{"second_stop", {SIGTERM, SIGTERM}},
                    PlannedStopCase{"stop_in_two_ways", {SIGINT, SIGTERM, SIGINT}}),
    [](const auto &testCase) { return testCase.param.name; });

// Guards against a reload that ends a process which is not ready yet: by the signal itself, or
// because it replaces the list of seeds of which one is being asked for its copy.
TEST(GatewayStopTest, ReloadsAtTheStartAreServed)
{
    EventLoop loop;
    loop.run([&] {
        std::size_t asked = 0;
        const jy::test::RawServer silentSeed(loop, [&](jy::test::tcp::socket &socket, int) {
            jy::test::RawServer::readHead(socket);
            ++asked;
            // Ends when the gateway gives up.
            jy::test::RawServer::readHead(socket);
        });
        GatewayFleet fleet(loop);
        auto &instance = fleet.startOne();
        // From the first listener on, all signals have a handler.
        ASSERT_TRUE(within(startBound, [&] { return fleet.listens(instance); }));
        for (std::size_t seeds = 2; seeds < 8; ++seeds) {
            fleet.writeSettings(instance, std::vector<Endpoint>(seeds, silentSeed.endpoint()));
            for (int i = 0; i < 20; ++i)
                instance.process->signal(SIGHUP);
            const auto before = asked;
            ASSERT_TRUE(within(seconds(5), [&] { return asked > before; }));
        }
        fleet.configure(1);
        EXPECT_TRUE(within(startBound, [&] { return fleet.ready(instance); }));
        instance.process->signal(SIGINT);
        EXPECT_EQ(instance.process->waitForExit(seconds(8)), 0);
    });
}

// Guards against requests that the end of a process cuts off without a response: one whose body is
// complete late is refused, and one that still runs at the end gets a final response.
TEST(GatewayStopTest, ShutdownAnswersEveryRequest)
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

} // namespace

} // namespace jy::platform::test
