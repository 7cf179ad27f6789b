#include "jy_router/operations/KeyReloader.h"
#include "jy_router/operations/OperatorKeys.h"
#include "jy_runtime/jy_runtime.h"

#include <gtest/gtest.h>

#include <csignal>
#include <fstream>

namespace {

std::string settingsText(const std::string &secret, const std::string &id)
{
    return R"({"instance": {"id": ")" + id + R"(", "domain": "d", "region": "r"},
        "listen": {"caller": "127.0.0.1:1", "rpc": "127.0.0.1:2", "gossip": "127.0.0.1:2",
                   "operations": "127.0.0.1:3"},
        "kv": {"endpoints": ["127.0.0.1:4"]}, "instanceList": {"endpoints": ["127.0.0.1:4"]},
        "peerKeys": {"sealWith": "k", "keys": [{"id": "k", "secret": "0123456789abcdef"}]},
        "operatorKeys": [{"name": "ann", "secret": ")"
        + secret + R"("}]})";
}

class OperatorKeyReload : public testing::Test
{
protected:
    OperatorKeyReload()
    {
        write(settingsText("first-secret-of-ann", "r1"));
        reloader_.addHook([this](const jy::RouterSettings &settings) -> jy::Result<void> {
            keys_.replace(settings.operatorKeys);
            return jy::success();
        });
    }

    void write(const std::string &text) { std::ofstream(file_) << text; }
    bool accepts(const std::string &secret) { return keys_.holder("Bearer " + secret).has_value(); }

    std::string file_ = testing::TempDir() + "OperatorKeyReload."
        + testing::UnitTest::GetInstance()->current_test_info()->name() + ".json";
    jy::RouterSettings running_ =
        jy::parseSettings<jy::RouterSettings>("f", settingsText("first-secret-of-ann", "r1"))
            .value();
    jy::OperatorKeys keys_{running_.operatorKeys};
    jy::EventBuffer events_{"r1", 8};
    jy::KeyReloader reloader_{file_, running_, events_.sink()};
};

// Guards against a reload that keeps revoked keys.
TEST_F(OperatorKeyReload, ReplacesKeys)
{
    write(settingsText("second-secret-of-ann", "r1"));
    EXPECT_TRUE(reloader_.reload());
    EXPECT_FALSE(accepts("first-secret-of-ann"));
    EXPECT_TRUE(accepts("second-secret-of-ann"));
}

// Guards against an invalid file that locks operators out.
TEST_F(OperatorKeyReload, KeepsKeysWhenTheFileIsInvalid)
{
    write(settingsText("short", "r1"));
    const auto result = reloader_.reload();
    ASSERT_FALSE(result);
    EXPECT_NE(result.error().message.find("operatorKeys[0].secret"), std::string::npos);
    EXPECT_TRUE(accepts("first-secret-of-ann"));
}

// Guards against a changed setting that is silently not in force.
TEST_F(OperatorKeyReload, NamesSettingsThatNeedARestart)
{
    const auto other =
        jy::parseSettings<jy::RouterSettings>("f", settingsText("second-secret-of-ann", "r2"))
            .value();
    EXPECT_EQ(jy::changedSettings(running_, other), std::vector<std::string>{"instance"});
}

// Guards against a SIGHUP that ends the process or is lost, and a loop that cannot be stopped.
TEST_F(OperatorKeyReload, ReloadsOnTheSignalUntilStopped)
{
    write(settingsText("second-secret-of-ann", "r1"));
    jy::EventLoop loop;
    const auto signals = jy::ProcessSignals::create(loop).value();
    loop.run([&] {
        std::raise(SIGHUP);
        EXPECT_EQ(signals->next(), jy::ProcessSignals::Request::Reload);
        reloader_.reloadAndReport();
        signals->requestStop();
        EXPECT_EQ(signals->next(), jy::ProcessSignals::Request::Stop);
    });
    ASSERT_EQ(events_.size(), 1U);
    EXPECT_EQ(*events_.since(0).events[0].field("ok"), "true");
    EXPECT_TRUE(accepts("second-secret-of-ann"));
}

// Guards against a failing hook that ends the process.
TEST_F(OperatorKeyReload, ReportsAHookThatThrows)
{
    reloader_.addHook(
        [](const jy::RouterSettings &) -> jy::Result<void> { throw std::runtime_error("no key"); });
    reloader_.reloadAndReport();
    ASSERT_EQ(events_.size(), 1U);
    EXPECT_EQ(*events_.since(0).events[0].field("error"), "no key");
}

} // namespace
