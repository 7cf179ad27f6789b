#include "GatewayFleet.h"
#include "HostileCrowd.h"

namespace jy::platform::test {

namespace {

constexpr std::size_t kilobyte = 1024;
constexpr std::size_t onePieceBytes = 1024 * kilobyte;

std::string largeBody(const std::string &path)
{
    return requestWithBody(path, 200 * kilobyte);
}

std::string chunksOfOneByte(const std::string &path)
{
    return requestInChunks(path, 16 * kilobyte, 1);
}

std::string longHead(const std::string &path)
{
    return hostileBehaviour("LongFields").bytes(path) + "\r\n";
}

std::string manyPromptParts(const std::string &path)
{
    constexpr std::size_t parts = 7500;
    auto head = "GET " + path + " HTTP/1.1\r\nHost: h\r\nJacinthyoke-Prompt-Prefix: ";
    for (std::size_t i = 0; i < parts; ++i)
        head += ":,";
    return head + "\r\n\r\n";
}

constexpr std::size_t longResponseBytes = 200 * kilobyte;

std::string longResponse(const std::string &path)
{
    return "GET " + path + "&long HTTP/1.1\r\nHost: h\r\n\r\n";
}

/** Complete requests to a server that keeps each of them for a while. */
const std::vector<HostileBehaviour> behaviours{
    {.name = "LargeBodies", .bytes = largeBody, .pieceBytes = onePieceBytes},
    {.name = "ChunksOfOneByte", .bytes = chunksOfOneByte, .pieceBytes = onePieceBytes},
    {.name = "LongHeads", .bytes = longHead, .pieceBytes = onePieceBytes},
    {.name = "UnreadResponses", .bytes = longResponse, .pieceBytes = onePieceBytes},
    {.name = "SlowlyReadResponses",
     .bytes = longResponse,
     .pieceBytes = onePieceBytes,
     .readBytes = 16,
     .longestSending = seconds(5)},
    {.name = "ManyPromptParts", .bytes = manyPromptParts, .pieceBytes = onePieceBytes}};

struct HostileWavesTest : testing::TestWithParam<HostileBehaviour>
{ };

// Guards against memory of earlier callers that the process keeps, so that a crowd that leaves and
// comes back uses more of it each time, until the process ends.
TEST_P(HostileWavesTest, UseTheMemoryOfEarlierOnes)
{
    EventLoop loop;
    loop.run([&] {
        constexpr int waves = 4;
        constexpr milliseconds serverTime{2500};
        GatewayFleet fleet(loop);
        fleet.configure(1);
        fleet.addBackend([&](const HttpRequest &request, HttpResponder &out) {
            if (request.target.starts_with("/a/slow"))
                EventLoop::sleepFor(serverTime);
            const auto body = request.target.ends_with("long") ? longResponseBytes : 0;
            out.send(200, GatewayFleet::seal(request), std::string(body, 'x'));
        });
        fleet.moreSettings = R"(,"limits":{"memoryMb":)" + std::to_string(memoryMb()) + "}";
        fleet.start(1);
        auto &instance = fleet.instances[0];
        ASSERT_TRUE(within(startBound, [&] { return fleet.ready(instance); }));
        const ProcessUsage usage(*instance.process);
        std::cout << GetParam().name << ": peak after each wave, in MB:";
        for (int wave = 0; wave < waves; ++wave) {
            {
                HostileCrowd crowd(loop, GetParam());
                for (int i = 0; i < crowdSize(); ++i)
                    crowd.connect(instance.addresses.caller, GetParam().bytes("/a/slow?"));
                crowd.send();
                crowd.awaitAnswers(2 * serverTime);
            }
            EXPECT_TRUE(instance.process->running());
            EXPECT_TRUE(within(seconds(10), [&] { return fleet.call(instance) == 200; }));
            EXPECT_LT(usage.peakMb(), memoryMb());
            std::cout << ' ' << usage.peakMb();
        }
        // Callers may use one half of the memory; the other one must suffice without them.
        EXPECT_TRUE(within(seconds(10), [&] { return usage.residentMb() < memoryMb() / 2.0; }));
        std::cout << ", resident at the end " << usage.residentMb() << '\n';
    });
}

INSTANTIATE_TEST_SUITE_P(Crowds, HostileWavesTest, testing::ValuesIn(behaviours),
                         [](const auto &behaviour) { return behaviour.param.name; });

} // namespace

} // namespace jy::platform::test
