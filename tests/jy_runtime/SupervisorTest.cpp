#include "jy_runtime/jy_runtime.h"

#include <gtest/gtest.h>

#include <stdexcept>

using namespace std::chrono_literals;

namespace {

constexpr jy::RestartPolicy quick{.maxRestarts = 2, .window = 1h, .restartDelay = 0ms};

/** Waits until @p condition holds, at most 5 s. */
template <class Condition>
bool eventually(Condition condition)
{
    for (int i = 0; i < 5000 && !condition(); ++i)
        jy::EventLoop::sleepFor(1ms);
    return condition();
}

struct Recorder
{
    std::vector<std::string> kinds;

    jy::EventSink sink()
    {
        return [this](const jy::Event &event) {
            kinds.push_back(event.kind + ' ' + *event.field("child"));
        };
    }
};

// Guards against a limiter that never forgets restarts or allows one too many.
TEST(RestartLimiter, AllowsTheLimitWithinAnyWindow)
{
    jy::RestartLimiter limiter(2, 10s);
    const jy::TimePoint start;
    EXPECT_TRUE(limiter.allow(start));
    EXPECT_TRUE(limiter.allow(start + 9s));
    EXPECT_FALSE(limiter.allow(start + 9s));
    EXPECT_TRUE(limiter.allow(start + 10s));
    EXPECT_FALSE(limiter.allow(start + 18s));
}

struct FailureCase
{
    const char *name;
    jy::RestartStrategy strategy;
    jy::ChildKind kind;
    bool throws;
    int startsOfOther;
    int startsOfFailing;
};

class SupervisorFailure : public testing::TestWithParam<FailureCase>
{ };

// Guards against a strategy that restarts too many or too few children.
TEST_P(SupervisorFailure, RestartsTheChildrenOfTheStrategy)
{
    const auto &param = GetParam();
    jy::EventLoop loop;
    loop.run([&] {
        Recorder recorder;
        auto policy = quick;
        policy.strategy = param.strategy;
        auto root = std::move(jy::Supervisor::create("root", policy, recorder.sink())).value();
        int other = 0;
        int failing = 0;
        root->addChild("other", [&](jy::StopToken &token) {
            ++other;
            token.waitForStop();
        });
        root->addChild(
            "failing",
            [&](jy::StopToken &token) {
                if (++failing == 1) {
                    if (param.throws)
                        throw std::runtime_error("no luck");
                    return;
                }
                token.waitForStop();
            },
            param.kind);
        EXPECT_TRUE(eventually([&] { return failing == param.startsOfFailing; }));
        jy::EventLoop::sleepFor(1ms);
        EXPECT_EQ(failing, param.startsOfFailing);
        EXPECT_EQ(other, param.startsOfOther);
        EXPECT_EQ(recorder.kinds.size(), param.startsOfFailing > 1 ? 1U : 0U);
        root->stop();
        EXPECT_FALSE(root->failed());
    });
}

using enum jy::RestartStrategy;
using enum jy::ChildKind;
INSTANTIATE_TEST_SUITE_P(
    Cases, SupervisorFailure,
    testing::Values(FailureCase{"OneThrows", OneForOne, Permanent, true, 1, 2},
                    FailureCase{"OneReturns", OneForOne, Permanent, false, 1, 2},
                    FailureCase{"AllThrows", All, Permanent, true, 2, 2},
                    FailureCase{"TransientThrows", OneForOne, Transient, true, 1, 2},
                    FailureCase{"TransientReturns", OneForOne, Transient, false, 1, 1}),
    [](const auto &info) { return std::string(info.param.name); });

// Guards against unlimited restarts and against siblings that keep running after a failure.
TEST(Supervisor, FailsAboveTheLimitAndStopsTheOtherChildren)
{
    jy::EventLoop loop;
    loop.run([] {
        Recorder recorder;
        auto root = std::move(jy::Supervisor::create("root", quick, recorder.sink())).value();
        bool siblingStopped = false;
        std::string reason;
        root->onFailure([&](const std::string &text) { reason = text; });
        root->addChild("sibling", [&](jy::StopToken &token) {
            token.waitForStop();
            siblingStopped = true;
        });
        root->addChild("broken", [](jy::StopToken &) { throw std::runtime_error("bad"); });
        EXPECT_TRUE(eventually([&] { return root->failed() && !reason.empty(); }));
        EXPECT_TRUE(siblingStopped);
        EXPECT_EQ(reason, "broken: bad");
        EXPECT_EQ(recorder.kinds,
                  (std::vector<std::string>{"child-restarted broken", "child-restarted broken",
                                            "supervisor-escalated broken"}));
    });
}

// Guards against a parent that ignores the failure of a nested supervisor or cannot restart it.
TEST(Supervisor, NestedFailureEscalatesAndRestartsTheNestedTree)
{
    jy::EventLoop loop;
    loop.run([] {
        Recorder recorder;
        auto root = std::move(jy::Supervisor::create("root", quick, recorder.sink())).value();
        auto once = quick;
        once.maxRestarts = 0;
        auto &nested = root->addSupervisor("nested", once);
        int starts = 0;
        nested.addChild("worker", [&](jy::StopToken &token) {
            if (++starts == 1)
                throw std::runtime_error("bad");
            token.waitForStop();
        });
        EXPECT_TRUE(eventually([&] { return starts == 2; }));
        EXPECT_EQ(
            recorder.kinds,
            (std::vector<std::string>{"supervisor-escalated worker", "child-restarted nested"}));
        root->stop();
        EXPECT_FALSE(nested.failed());
    });
}

// Guards against a shutdown that stops a child before the later children that depend on it.
TEST(Supervisor, StopsInReverseOrderAndWaitsForEach)
{
    jy::EventLoop loop;
    loop.run([] {
        std::vector<std::string> ended;
        auto root = std::move(jy::Supervisor::create("root", quick, {})).value();
        for (const auto *name : {"a", "b", "c"}) {
            root->addChild(name, [&ended, name](jy::StopToken &token) {
                token.waitForStop();
                jy::EventLoop::sleepFor(1ms);
                ended.emplace_back(name);
            });
        }
        jy::EventLoop::sleepFor(1ms);
        root->stop();
        EXPECT_EQ(ended, (std::vector<std::string>{"c", "b", "a"}));
    });
}

// Guards against a child that cannot abort a blocking operation when it is stopped.
TEST(StopToken, CallsCallbacksOnceAndOnlyWhileRegistered)
{
    jy::StopToken token;
    int kept = 0;
    int removed = 0;
    int late = 0;
    const auto registration = token.onStop([&] { ++kept; });
    {
        const auto shortLived = token.onStop([&] { ++removed; });
    }
    token.requestStop();
    token.requestStop();
    const auto after = token.onStop([&] { ++late; });
    EXPECT_EQ(kept, 1);
    EXPECT_EQ(removed, 0);
    EXPECT_EQ(late, 1);
}

// Guards against an invalid policy that is detected only at the first failure.
TEST(Supervisor, RejectsAnInvalidPolicy)
{
    auto policy = quick;
    policy.window = 0ms;
    EXPECT_EQ(jy::Supervisor::create("root", policy, {}).error().kind,
              jy::ErrorKind::SettingsInvalid);
}

} // namespace
