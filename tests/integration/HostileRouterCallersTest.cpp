#include "common/Fleet.h"
#include "platform/HostileCrowd.h"

#include <gtest/gtest.h>

#include <algorithm>
#include <filesystem>
#include <iostream>

using namespace std::chrono_literals;
using namespace jy::platform::test;
using jy::bench::Fleet;

namespace {

constexpr std::size_t kilobyte = 1024;
constexpr std::size_t onePieceBytes = 1024 * kilobyte;

// Of callers whose requests a backend server runs.
const std::string serviceFields = "Host: h\r\nX-Workspace: harbour";

/** An address of the router and the path that is called there. */
struct Target
{
    const char *name;
    jy::Endpoint (Fleet::*address)(int router) const;
    const char *path;
};

const Target serviceTarget{"Service", &Fleet::callerEndpoint, "/v1/services/booking/x?"};
const Target withoutRoute{"CallerWithoutRoute", &Fleet::callerEndpoint, "/none?"};
const Target readiness{"CallerReadiness", &Fleet::callerEndpoint, "/readyz?"};
const Target operations{"Operations", &Fleet::operatorEndpoint, "/ops/config?"};
const std::vector<Target> targets{
    serviceTarget,
    withoutRoute,
    readiness,
    operations,
    {"Chat", &Fleet::callerEndpoint, "/v1/chat/completions?"},
    {"Lookup", &Fleet::callerEndpoint, "/v1/lookup?workspace=harbour"},
    {"CallerMetrics", &Fleet::callerEndpoint, "/metrics?"},
    {"OperationsReadiness", &Fleet::operatorEndpoint, "/readyz?"}};

/** Memory of the machine in MB; a router without callers uses more than a gateway. */
int routerMemory()
{
    constexpr int moreThanAGateway = 8;
    return memoryMb() + moreThanAGateway;
}

/** Runs @p body with a fleet of one router on a machine of routerMemory(). */
void withRouter(const std::function<void(jy::EventLoop &, Fleet &)> &body)
{
    auto name = std::string(testing::UnitTest::GetInstance()->current_test_info()->name());
    std::ranges::replace(name, '/', '-');
    const auto folder = std::filesystem::temp_directory_path() / "jy-integration" / name;
    std::filesystem::remove_all(folder);
    std::filesystem::create_directories(folder);
    jy::EventLoop loop;
    loop.run([&] {
        auto spec = jy::bench::loadFleetSpec("cedar-drift");
        spec.routers = 1;
        spec.engines = 3;
        spec.routerSettings["limits"] = Fleet::Json{{"memoryMb", routerMemory()}};
        Fleet fleet(loop, spec, 1, folder.string());
        fleet.start();
        body(loop, fleet);
    });
}

/** Whether an ordinary call of a service on a new connection is answered. */
bool serves(Fleet &fleet)
{
    const jy::HttpRequest request{.target = "/v1/services/booking/list",
                                  .headers = {{"X-Workspace", "harbour"}}};
    const auto response =
        fleet.http().request(fleet.callerEndpoint(0), request, 3s, {.freshConnection = true});
    return response && response.value().status == 201;
}

bool servesWithin(Fleet &fleet, std::chrono::milliseconds time)
{
    return Fleet::waitUntil([&] { return serves(fleet); }, time).has_value();
}

struct HostileRouterCallersCase
{
    std::string name;
    HostileBehaviour behaviour;
    std::vector<Target> targets;
};

/** Prints the case in messages of GoogleTest. */
void PrintTo(const HostileRouterCallersCase &testCase, std::ostream *out) // NOLINT
{
    *out << testCase.name;
}

struct HostileRouterCallersTest : testing::TestWithParam<HostileRouterCallersCase>
{ };

// Guards against callers that together make a router use more memory than its machine has, so that
// the process ends and the requests of all other callers with it.
TEST_P(HostileRouterCallersTest, CostBoundedMemoryAndNoOtherRequest)
{
    withRouter([](jy::EventLoop &loop, Fleet &fleet) {
        constexpr std::ptrdiff_t spareDescriptors = 100;
        // Pooled connections to backend servers and stand-ins come and go.
        constexpr std::ptrdiff_t descriptorsLeft = 20;
        ASSERT_TRUE(servesWithin(fleet, 10s));
        const ProcessUsage usage(fleet.router(0));
        const auto before = usage.peakMb();
        const auto descriptors = usage.openDescriptors();
        {
            HostileCrowd crowd(loop, GetParam().behaviour);
            const auto &targets = GetParam().targets;
            for (int i = 0; i < crowdSize(); ++i) {
                const auto &target = targets[static_cast<std::size_t>(i) % targets.size()];
                // Different lengths, as parsers may stop at a boundary of their reads.
                const auto path = target.path + std::string(static_cast<std::size_t>(i % 4), '&');
                crowd.connect((fleet.*target.address)(0), GetParam().behaviour.bytes(path));
            }
            crowd.send();
            jy::EventLoop::sleepFor(500ms);
            EXPECT_TRUE(fleet.router(0).running());
            EXPECT_LT(usage.openDescriptors(), descriptors + crowdSize() + spareDescriptors);
            EXPECT_TRUE(servesWithin(fleet, 10s));
            EXPECT_TRUE(Fleet::waitUntil([&] { return fleet.routerReady(0); }, 10s).has_value());
        }
        EXPECT_TRUE(
            Fleet::waitUntil(
                [&] { return usage.openDescriptors() <= descriptors + descriptorsLeft; }, 10s)
                .has_value());
        EXPECT_TRUE(fleet.router(0).running());
        EXPECT_TRUE(serves(fleet));
        EXPECT_LT(usage.peakMb(), routerMemory());
        std::cout << GetParam().name << ": resident before " << before << " MB, most "
                  << usage.peakMb() << " MB\n";
    });
}

std::vector<HostileRouterCallersCase> hostileCallers()
{
    std::vector<HostileRouterCallersCase> cases;
    for (const auto &behaviour : hostileBehaviours()) {
        for (const auto &target : {serviceTarget, withoutRoute, readiness, operations})
            cases.push_back({behaviour.name + std::string(target.name), behaviour, {target}});
        cases.push_back({behaviour.name + std::string("Everywhere"), behaviour, targets});
    }
    return cases;
}

INSTANTIATE_TEST_SUITE_P(Crowds, HostileRouterCallersTest, testing::ValuesIn(hostileCallers()),
                         [](const auto &testCase) { return testCase.param.name; });

std::string largeBody(const std::string &path)
{
    return requestWithBody(path, 200 * kilobyte, serviceFields);
}

/** Quick requests whose refusals are recorded. */
std::string longServiceNames(const std::string & /*path*/)
{
    constexpr std::size_t requests = 20;
    constexpr std::size_t nameBytes = 15 * kilobyte;
    std::string bytes;
    for (std::size_t i = 0; i < requests; ++i)
        bytes += "GET /v1/services/" + std::string(nameBytes, 'x') + "/ HTTP/1.1\r\n"
            + serviceFields + "\r\n\r\n";
    return bytes;
}

std::string chunksOfOneByte(const std::string &path)
{
    return requestInChunks(path, 16 * kilobyte, 1, serviceFields);
}

/** Complete requests, of which those to the service last for a while. */
const std::vector<HostileBehaviour> completeBehaviours{
    {.name = "LargeBodies", .bytes = largeBody, .pieceBytes = onePieceBytes},
    {.name = "ChunksOfOneByte", .bytes = chunksOfOneByte, .pieceBytes = onePieceBytes},
    {.name = "LongServiceNames",
     .bytes = longServiceNames,
     .pieceBytes = onePieceBytes,
     .readBytes = onePieceBytes}};

struct HostileRouterWavesTest : testing::TestWithParam<HostileBehaviour>
{ };

// Guards against memory of earlier callers that the router keeps, so that a crowd that leaves and
// comes back uses more of it each time, until the process ends.
TEST_P(HostileRouterWavesTest, UseTheMemoryOfEarlierOnes)
{
    withRouter([](jy::EventLoop &loop, Fleet &fleet) {
        constexpr int waves = 4;
        constexpr auto serverTime = 2500ms;
        ASSERT_TRUE(servesWithin(fleet, 10s));
        const ProcessUsage usage(fleet.router(0));
        std::cout << GetParam().name << ": peak after each wave, in MB:";
        for (int wave = 0; wave < waves; ++wave) {
            fleet.service({{"work_ms", serverTime.count()}});
            {
                HostileCrowd crowd(loop, GetParam());
                for (int i = 0; i < crowdSize(); ++i)
                    crowd.connect(fleet.callerEndpoint(0), GetParam().bytes(serviceTarget.path));
                crowd.send();
                crowd.awaitAnswers(2 * serverTime);
            }
            fleet.service({{"work_ms", 20}});
            EXPECT_TRUE(fleet.router(0).running());
            EXPECT_TRUE(servesWithin(fleet, 10s));
            EXPECT_LT(usage.peakMb(), routerMemory());
            std::cout << ' ' << usage.peakMb();
        }
        std::cout << ", resident at the end " << usage.residentMb() << '\n';
    });
}

INSTANTIATE_TEST_SUITE_P(Crowds, HostileRouterWavesTest, testing::ValuesIn(completeBehaviours),
                         [](const auto &behaviour) { return behaviour.param.name; });

// Guards against a body of permitted size that takes many times its size while it is read, because
// it has very many small values.
TEST(HostileRouterRequest, WithManyValuesCostsNoMoreThanItsBody)
{
    withRouter([](jy::EventLoop &, Fleet &fleet) {
        constexpr std::size_t bodyBytes = 4 * kilobyte * kilobyte;
        jy::HttpRequest request{.method = "POST",
                                .target = "/v1/chat/completions",
                                .headers = {{"X-Workspace", "harbour"}}};
        request.body = R"({"model":"drift-chat","messages":[{"role":"user","content":"a"}],)"
                       R"("metadata":[0)";
        while (request.body.size() + 4 <= bodyBytes)
            request.body += ",0";
        request.body += "]}";
        // Engines are in service a while after their start.
        EXPECT_TRUE(Fleet::waitUntil(
                        [&] {
                            const auto response =
                                fleet.http().request(fleet.callerEndpoint(0), request, 10s);
                            return response && response.value().status == 200;
                        },
                        20s)
                        .has_value());
        EXPECT_TRUE(fleet.router(0).running());
        const auto most = ProcessUsage(fleet.router(0)).peakMb();
        EXPECT_LT(most, routerMemory());
        std::cout << "most " << most << " MB\n";
    });
}

} // namespace
