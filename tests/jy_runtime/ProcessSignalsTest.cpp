#include "jy_runtime/program/ProcessSignals.h"

#include <gtest/gtest.h>

#include <csignal>

namespace {

using jy::ProcessSignals;
using Request = ProcessSignals::Request;

struct SignalCase
{
    const char *name;

    /** Raised before the loop runs. */
    std::vector<int> early;

    /** Raised while the loop runs. */
    std::vector<int> late;

    std::vector<Request> expected;
    int stopSignal = 0;
};

struct ProcessSignalsTest : testing::TestWithParam<SignalCase>
{ };

void raiseAll(const std::vector<int> &signals)
{
    for (const int signal : signals) {
        std::raise(signal);
        jy::EventLoop::sleepFor(std::chrono::milliseconds(5));
    }
}

// Guards against signals that end the process or get lost because of the moment at which they
// arrive. A signal without a handler ends the test program.
TEST_P(ProcessSignalsTest, RequestsFollowTheSignals)
{
    const auto &test = GetParam();
    jy::EventLoop loop;
    const auto signals = ProcessSignals::create(loop).value();
    for (const int signal : test.early)
        std::raise(signal);
    std::vector<Request> requests;
    loop.run([&] {
        raiseAll(test.late);
        while (requests.size() < test.expected.size())
            requests.push_back(signals->next());
        // None of these may end the process during its shutdown.
        raiseAll({SIGHUP, SIGTERM, SIGINT, SIGHUP});
        EXPECT_EQ(signals->next(), Request::Stop);
    });
    EXPECT_EQ(requests, test.expected);
    EXPECT_EQ(signals->stopSignal(), test.stopSignal);
}

INSTANTIATE_TEST_SUITE_P(
    Signals, ProcessSignalsTest,
    testing::Values(
        SignalCase{"term", {}, {SIGTERM}, {Request::Stop}, SIGTERM},
        SignalCase{"int", {}, {SIGINT}, {Request::Stop}, SIGINT},
        SignalCase{"term_before_the_loop", {SIGTERM}, {}, {Request::Stop}, SIGTERM},
        SignalCase{"reloads_are_merged", {SIGHUP}, {SIGHUP, SIGHUP}, {Request::Reload}, SIGTERM},
        SignalCase{"stop_goes_before_reload", {SIGHUP}, {SIGTERM}, {Request::Stop}, SIGTERM},
        SignalCase{"reload_during_the_stop", {}, {SIGTERM, SIGHUP}, {Request::Stop}, SIGTERM},
        SignalCase{"second_stop", {}, {SIGTERM, SIGINT, SIGTERM}, {Request::Stop}, SIGTERM}),
    [](const auto &testCase) { return testCase.param.name; });

} // namespace
