#include "jy_http/HttpTestServer.h"
#include "jy_http/wire/HeadScanner.h"

using namespace std::chrono_literals;
using namespace jy::test;

namespace {

using State = jy::HeadScanner::State;

struct HeadCase
{
    std::string name;
    std::string text;
    State expected;
};

class HeadScannerCases : public testing::TestWithParam<HeadCase>
{ };

// Guards against a verdict that depends on how the bytes of a head are divided among reads.
TEST_P(HeadScannerCases, VerdictDoesNotDependOnTheReads)
{
    const auto &text = GetParam().text;
    for (std::size_t step : {std::size_t{1}, std::size_t{3}, text.size()}) {
        jy::HeadScanner scanner(64, 3);
        auto state = State::Incomplete;
        for (std::size_t end = step; state == State::Incomplete && end < text.size() + step;
             end += step)
            state = scanner.scan(std::string_view(text).substr(0, end));
        EXPECT_EQ(state, GetParam().expected) << step;
    }
}

INSTANTIATE_TEST_SUITE_P(
    Heads, HeadScannerCases,
    testing::Values(HeadCase{"Complete", "G\r\na:\r\nb:\r\nc:\r\n\r\n", State::Complete},
                    HeadCase{"NoFields", "G\r\n\r\n", State::Complete},
                    HeadCase{"Folded", "G\r\na:\r\n b\r\n c\r\n d\r\n\r\n", State::Complete},
                    HeadCase{"Incomplete", "G\r\na:\r\nb:\r\n", State::Incomplete},
                    HeadCase{"ManyFields", "G\r\na:\r\nb:\r\nc:\r\nd:\r\n", State::TooManyFields},
                    HeadCase{"Long", "G\r\n" + std::string(70, 'a'), State::TooLong},
                    HeadCase{"BareLineFeed", "G\na:\r\n\r\n", State::BadLineEnd}),
    [](const auto &info) { return info.param.name; });

// Guards against an account that closes connections with a running request or recent progress
// before those that only hold memory, or that does not get the memory back.
TEST(CallerMemory, ClosesTheConnectionLongestWithoutProgressFirst)
{
    jy::EventLoop loop;
    loop.run([&] {
        // Room for five connections, one of them with a running request.
        constexpr std::size_t limit = 192 * 1024;
        std::vector<jy::MemoryClosure> closures;
        const auto memory = jy::CallerMemory::create(
            limit, [&](jy::MemoryClosure reason) { closures.push_back(reason); });
        bool release = false;
        // Two servers with one account.
        const auto serve = [&] {
            return jy::HttpServer::create(loop, {.memory = memory},
                                          [&](const auto &, auto &responder) {
                                              eventually([&] { return release; });
                                              responder.send(200, {}, "ok");
                                          })
                .value();
        };
        const auto first = serve();
        const auto second = serve();
        RawConnection running(loop, first->localEndpoint());
        running.write("GET / HTTP/1.1\r\n\r\n");
        ASSERT_TRUE(eventually([&] { return first->activeRequests() == 1; }));
        std::deque<RawConnection> partial;
        for (std::size_t i = 0; i < 6; ++i) {
            partial.emplace_back(loop, second->localEndpoint());
            partial.back().write("GET / HTTP/1.1\r\na: b");
            jy::EventLoop::sleepFor(20ms);
        }
        EXPECT_GE(closures.size(), 1U);
        for (const auto reason : closures)
            EXPECT_EQ(reason, jy::MemoryClosure::IncompleteRequest);
        EXPECT_EQ(second->connections(), 6 - closures.size());
        EXPECT_EQ(partial.front().readSome().substr(0, 12), "HTTP/1.1 503");
        EXPECT_LE(memory->budget()->peak(), limit);
        release = true;
        EXPECT_EQ(running.readSome().substr(0, 12), "HTTP/1.1 200");
        partial.back().write("\r\n\r\n");
        EXPECT_EQ(partial.back().readSome().substr(0, 12), "HTTP/1.1 200");
        partial.clear();
        running.close();
        EXPECT_TRUE(eventually([&] { return memory->budget()->used() == 0; }));
    });
}

} // namespace
