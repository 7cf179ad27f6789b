#include "jy_router/shutdown/GracefulShutdown.h"
#include "jy_http/HttpTestServer.h"

using namespace std::chrono_literals;
using namespace jy::test;
using std::chrono::milliseconds;

namespace {

struct ShutdownCase
{
    std::string name;
    milliseconds handOffTakes;
    milliseconds requestsTake;
    bool handedOff;
    std::size_t interrupted;
    milliseconds duration;
};

class ShutdownSequence : public testing::TestWithParam<ShutdownCase>
{ };

// Guards against a router that closes its port while callers hold cached lookups, exceeds its
// deadline or hides interrupted requests. Time is simulated.
TEST_P(ShutdownSequence, ServesForTheLookupLifetimeAndKeepsTheDeadline)
{
    jy::TimePoint now{};
    jy::TimePoint drainedAt{};
    bool stopped = false;
    std::vector<jy::ShutdownPhase> phases;
    jy::ShutdownDependencies hooks;
    hooks.now = [&] { return now; };
    hooks.sleepFor = [&](milliseconds duration) { now += duration; };
    hooks.withdraw = [] {};
    hooks.announceClose = [] {};
    hooks.lookupLifetime = [] { return 5000ms; };
    hooks.handOff = [&](milliseconds timeout) {
        now += std::min(timeout, GetParam().handOffTakes);
        return GetParam().handOffTakes <= timeout;
    };
    hooks.drain = [&](milliseconds timeout) -> std::size_t {
        drainedAt = now;
        now += std::min(timeout, GetParam().requestsTake);
        return GetParam().requestsTake <= timeout ? 0 : 1;
    };
    hooks.stop = [&] { stopped = true; };
    hooks.phaseStarted = [&](jy::ShutdownPhase phase) { phases.push_back(phase); };
    jy::GracefulShutdown shutdown(hooks, {.deadline = 10000ms, .handOffTimeout = 2000ms});
    const auto report = shutdown.run();
    EXPECT_EQ(report.handedOff, GetParam().handedOff);
    EXPECT_EQ(report.interrupted, GetParam().interrupted);
    EXPECT_EQ(report.duration, GetParam().duration);
    EXPECT_GE(drainedAt - jy::TimePoint{}, 5000ms);
    EXPECT_TRUE(stopped);
    EXPECT_TRUE(std::ranges::is_sorted(phases));
    EXPECT_EQ(shutdown.phase(), jy::ShutdownPhase::Stopped);
}

INSTANTIATE_TEST_SUITE_P(Cases, ShutdownSequence,
                         testing::Values(ShutdownCase{"Idle", 0ms, 0ms, true, 0, 5000ms},
                                         ShutdownCase{"SlowHandOff", 9000ms, 1000ms, false, 0,
                                                      6000ms},
                                         ShutdownCase{"LongStream", 10ms, 4000ms, true, 0, 9000ms},
                                         ShutdownCase{"EndlessStream", 10ms, 1h, true, 1, 10000ms}),
                         [](const auto &info) { return info.param.name; });

// Guards against a caller with a cached lookup whose new connection is refused, and a stream that
// ends early, while the router leaves.
TEST(GracefulShutdown, InterruptsNoRequestOfARealServer)
{
    jy::EventLoop loop;
    loop.run([&] {
        auto server = jy::HttpServer::create(loop, {}, [](const auto &request, auto &responder) {
                          responder.startStream(200, {});
                          for (int i = 0; i < 5; ++i) {
                              responder.write(request.target);
                              jy::EventLoop::sleepFor(10ms);
                          }
                          responder.endStream();
                      }).value();
        const auto endpoint = server->localEndpoint();
        jy::ShutdownDependencies hooks;
        hooks.now = std::chrono::steady_clock::now;
        hooks.sleepFor = [](milliseconds duration) { jy::EventLoop::sleepFor(duration); };
        hooks.withdraw = [] {};
        hooks.announceClose = [&] { server->announceClose(); };
        hooks.lookupLifetime = [] { return 50ms; };
        hooks.handOff = [](milliseconds) { return true; };
        hooks.drain = [&](milliseconds timeout) { return server->drain(timeout); };
        hooks.stop = [&] { server->stop(); };
        bool draining = false;
        hooks.phaseStarted = [&](jy::ShutdownPhase phase) {
            draining = phase >= jy::ShutdownPhase::Draining;
        };
        int finished = 0;
        for (int caller = 0; caller < 4; ++caller) {
            jy::EventLoop::spawn([&] {
                auto client = jy::HttpClient::create(loop, clientSettings());
                while (!draining) {
                    const auto response = client->request(endpoint, {.target = "/x"}, 5s);
                    ASSERT_TRUE(response) << response.error().message;
                    EXPECT_EQ(response.value().body, "/x/x/x/x/x");
                    jy::EventLoop::sleepFor(1ms);
                }
                ++finished;
            });
        }
        jy::EventLoop::sleepFor(5ms);
        jy::GracefulShutdown shutdown(hooks, {.deadline = 10000ms});
        EXPECT_EQ(shutdown.run().interrupted, 0U);
        EXPECT_TRUE(eventually([&] { return finished == 4; }));
    });
}

} // namespace
