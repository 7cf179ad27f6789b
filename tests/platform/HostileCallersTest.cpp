#include "GatewayFleet.h"
#include "HostileCrowd.h"

namespace jy::platform::test {

namespace {

/** An address of the gateway and the path that is called there. */
struct Target
{
    const char *name;
    Endpoint GatewayAddresses::*address;
    const char *path;
};

const std::vector<Target> targets{
    {"Caller", &GatewayAddresses::caller, "/a/x?"},
    {"CallerWithoutRoute", &GatewayAddresses::caller, "/none?"},
    {"Directory", &GatewayAddresses::directory, "/jacinthyoke/resolve?name=h&zone=a"},
    {"Readiness", &GatewayAddresses::readiness, "/jacinthyoke/readiness?"},
    {"Control", &GatewayAddresses::control, "/metrics?"},
    {"Metrics", &GatewayAddresses::metrics, "/metrics?"}};

struct HostileCallersCase
{
    std::string name;
    HostileBehaviour behaviour;
    std::vector<Target> targets;
};

/** Prints the case in messages of GoogleTest. */
void PrintTo(const HostileCallersCase &testCase, std::ostream *out) // NOLINT
{
    *out << testCase.name;
}

struct HostileCallersTest : testing::TestWithParam<HostileCallersCase>
{ };

// Guards against callers that together make an instance use more memory than its machine has, so
// that the process ends and the requests of all other callers with it.
TEST_P(HostileCallersTest, CostBoundedMemoryAndNoOtherRequest)
{
    EventLoop loop;
    loop.run([&] {
        constexpr std::ptrdiff_t spareDescriptors = 100;
        constexpr std::ptrdiff_t descriptorsLeft = 20;
        const auto &targets = GetParam().targets;
        GatewayFleet fleet(loop);
        const auto client = HttpClient::create(loop, {.connectTimeout = milliseconds(300)});
        int runs = 0;
        fleet.configure(1);
        fleet.addBackend(runs);
        fleet.moreSettings = R"(,"limits":{"memoryMb":)" + std::to_string(memoryMb()) + "}";
        fleet.start(1);
        auto &instance = fleet.instances[0];
        ASSERT_TRUE(within(startBound, [&] { return fleet.ready(instance); }));
        const auto answers = [&](const Target &target) {
            const HttpRequest request{.target = target.path, .headers = {{"Host", "h"}}};
            const auto &address = instance.addresses.*target.address;
            const auto response = client->request(address, request, seconds(2),
                                                  {.freshConnection = true, .keepHost = true});
            return response
                && (response.value().status == 200 || address == instance.addresses.caller);
        };
        const ProcessUsage usage(*instance.process);
        const auto before = usage.peakMb();
        const auto descriptors = usage.openDescriptors();
        {
            HostileCrowd crowd(loop, GetParam().behaviour);
            for (int i = 0; i < crowdSize(); ++i) {
                const auto &target = targets[static_cast<std::size_t>(i) % targets.size()];
                // Different lengths, as parsers may stop at a boundary of their reads.
                const auto path = target.path + std::string(static_cast<std::size_t>(i % 4), '&');
                crowd.connect(instance.addresses.*target.address, GetParam().behaviour.bytes(path));
            }
            crowd.send();
            EventLoop::sleepFor(milliseconds(500));
            EXPECT_TRUE(instance.process->running());
            EXPECT_LT(usage.openDescriptors(), descriptors + crowdSize() + spareDescriptors);
            EXPECT_TRUE(within(seconds(10), [&] { return fleet.call(instance) == 200; }));
            for (const auto &target : targets)
                EXPECT_TRUE(within(seconds(10), [&] { return answers(target); })) << target.name;
        }
        EXPECT_TRUE(within(seconds(10), [&] {
            // Idle connections of ordinary calls are kept by the pools of the gateway and of this
            // test.
            const auto pooled = fleet.pooledConnections() + client->idleConnections();
            return usage.openDescriptors()
                <= descriptors + descriptorsLeft + static_cast<std::ptrdiff_t>(pooled);
        }));
        EXPECT_TRUE(instance.process->running());
        EXPECT_EQ(fleet.call(instance), 200);
        const auto most = usage.peakMb();
        EXPECT_LT(most, memoryMb());
        std::cout << GetParam().name << ": resident before " << before << " MB, most " << most
                  << " MB\n";
    });
}

std::vector<HostileCallersCase> hostileCallers()
{
    std::vector<HostileCallersCase> cases;
    for (const auto &behaviour : hostileBehaviours()) {
        for (const auto &target : targets)
            cases.push_back({behaviour.name + std::string(target.name), behaviour, {target}});
        cases.push_back({behaviour.name + std::string("Everywhere"), behaviour, targets});
    }
    return cases;
}

INSTANTIATE_TEST_SUITE_P(Crowds, HostileCallersTest, testing::ValuesIn(hostileCallers()),
                         [](const auto &testCase) { return testCase.param.name; });

} // namespace

} // namespace jy::platform::test
