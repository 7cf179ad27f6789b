#include "GatewayFleet.h"

namespace jy::platform::test {

using jy::test::EndlessServer;

namespace {

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
        std::vector<std::unique_ptr<EndlessServer>> endless;
        GatewayFleet fleet(loop);
        int runs = 0;
        fleet.addBackend(runs);
        for (int i = 0; i < servers; ++i) {
            endless.push_back(std::make_unique<EndlessServer>(GetParam().begin, GetParam().rest));
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
        const auto resident = [&] { return instance.process->usage().residentMegabytes; };
        const double before = resident();
        double most = before;
        int ended = 0;
        for (int i = 0; i < servers; ++i)
            EventLoop::spawn([&] {
                fleet.call(instance, "/e/x");
                ++ended;
            });
        for (int i = 0; i < 20; ++i) {
            EXPECT_EQ(fleet.call(instance), 200);
            most = std::max(most, resident());
            EventLoop::sleepFor(milliseconds(50));
        }
        EXPECT_TRUE(within(seconds(10), [&] {
            most = std::max(most, resident());
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

} // namespace

} // namespace jy::platform::test
