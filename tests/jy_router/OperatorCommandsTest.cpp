#include "jy_router/operations/OperatorApi.h"
#include "jy_router/operations/client/Commands.h"

#include "jy_core/config/DesiredStateReader.h"
#include "jy_core/config/DesiredStateWriter.h"

#include <gtest/gtest.h>

#include <fstream>
#include <set>
#include <sstream>

using namespace std::chrono_literals;

namespace {

const std::string stateText = R"({
  "revision": 1,
  "domains": {"d1": {"region": "r", "state": "in-service"},
              "d2": {"region": "r", "state": "in-service"}}
})";

/** A router's operator API with a configuration store that can misbehave. */
class OperatorCommands : public testing::Test
{
protected:
    template <class Body>
    void run(Body body)
    {
        jy::EventLoop loop;
        loop.run([&] {
            auto api = std::move(jy::OperatorApi::create(loop, {}, dependencies())).value();
            options_.routers.push_back(api->localEndpoint());
            jy::OperatorClient client(loop, "0123456789abcdef", 5s);
            jy::Commands commands(client, options_, out_, err_);
            body(commands);
            api->stop();
        });
    }

    jy::OperatorApi::Dependencies dependencies()
    {
        return {.keys = keys_,
                .events = events_,
                .metrics = metrics_,
                .status =
                    [this] {
                        return jy::FleetStatus{
                            .revision = state_.revision,
                            .routers = {{.id = jy::InstanceId("r1"),
                                         .state = "alive",
                                         .appliedRevision = state_.revision - lag_}}};
                    },
                .config = [this]() -> jy::Result<jy::ConfigDocument> {
                    return jy::ConfigDocument{state_.revision, "ann", jy::desiredStateText(state_)};
                },
                .apply = [this](const jy::ApplyRequest &request) { return apply(request); }};
    }

    jy::Result<jy::ApplyResult> apply(const jy::ApplyRequest &request)
    {
        requestIds_.insert(request.requestId);
        ++applies_;
        auto wanted = jy::parseDesiredState(request.text).value();
        if (conflicts_-- > 0)
            ++state_.revision;
        if (wanted.revision != state_.revision)
            return jy::failure(jy::ErrorKind::ConfigConflict, "another revision is in force");
        if (lostResponses_-- > 0)
            return jy::failure(jy::ErrorKind::KvOutcomeUnknown, "no response");
        state_ = wanted;
        ++state_.revision;
        return jy::ApplyResult{state_.revision, {"tight deadline"}};
    }

    std::string writeFile(const std::string &text)
    {
        auto file = testing::TempDir() + "OperatorCommands."
            + testing::UnitTest::GetInstance()->current_test_info()->name() + ".json";
        std::ofstream(file) << text;
        return file;
    }

    jy::OperatorKeys keys_{{{"ann", "0123456789abcdef"}}};
    jy::EventBuffer events_{"r1", 8};
    jy::Metrics metrics_;
    jy::DesiredState state_ = jy::parseDesiredState(stateText).value();
    int conflicts_ = 0;
    int lostResponses_ = 0;
    std::uint64_t lag_ = 0;
    int applies_ = 0;
    std::set<std::string> requestIds_;
    jy::ControlOptions options_{.wait = 5s};
    std::ostringstream out_;
    std::ostringstream err_;
};

// Guards against a drain that is lost to a concurrent change or that discards it.
TEST_F(OperatorCommands, DrainStartsAgainAfterAConflict)
{
    conflicts_ = 1;
    run([this](jy::Commands &commands) {
        EXPECT_EQ(commands.drain("d1"), jy::ControlExit::Ok) << err_.str();
        EXPECT_EQ(state_.domains.at(jy::DomainId("d1")).state, jy::DomainState::Out);
        EXPECT_EQ(applies_, 2);
        EXPECT_EQ(commands.returnDomain("d1"), jy::ControlExit::Ok);
        EXPECT_EQ(state_.domains.at(jy::DomainId("d1")).state, jy::DomainState::Returning);
    });
    EXPECT_NE(out_.str().find("in force on 1 of 1 live routers"), std::string::npos) << out_.str();
    EXPECT_NE(err_.str().find("warning: tight deadline"), std::string::npos);
}

// Guards against a mistyped domain that goes unnoticed.
TEST_F(OperatorCommands, DrainNamesTheKnownDomains)
{
    run([](jy::Commands &commands) { EXPECT_EQ(commands.drain("d9"), jy::ControlExit::Usage); });
    EXPECT_NE(err_.str().find("\"d9\"; allowed: d1, d2"), std::string::npos) << err_.str();
}

// Guards against a second request id after a lost response, which would apply a change twice.
TEST_F(OperatorCommands, ApplyRepeatsALostResponseWithTheSameRequestId)
{
    lostResponses_ = 1;
    run([this](jy::Commands &commands) {
        EXPECT_EQ(commands.apply(writeFile(stateText)), jy::ControlExit::Ok) << err_.str();
    });
    EXPECT_EQ(applies_, 2);
    EXPECT_EQ(requestIds_.size(), 1U);
}

// Guards against a conflict that overwrites the other change or does not show it.
TEST_F(OperatorCommands, ApplyShowsTheDifferenceOnAConflict)
{
    state_.revision = 2;
    state_.domains[jy::DomainId("d2")].state = jy::DomainState::Out;
    run([this](jy::Commands &commands) {
        EXPECT_EQ(commands.apply(writeFile(stateText)), jy::ControlExit::Conflict);
    });
    EXPECT_NE(out_.str().find("difference from revision 2 to the file:\n"
                              "  ~ domains.d2.state: \"out\" -> \"in-service\"\n"),
              std::string::npos)
        << out_.str();
}

// Guards against a rollback that needs the file to be edited by hand.
TEST_F(OperatorCommands, ApplyWithRebaseReplacesTheStateInForce)
{
    state_.revision = 7;
    options_.rebase = true;
    run([this](jy::Commands &commands) {
        EXPECT_EQ(commands.apply(writeFile(stateText)), jy::ControlExit::Ok) << err_.str();
    });
    EXPECT_EQ(state_.revision, 8U);
}

// Guards against success that is reported before the change is in force everywhere.
TEST_F(OperatorCommands, ApplyFailsWhenARouterLags)
{
    lag_ = 1;
    options_.wait = 1ms;
    run([this](jy::Commands &commands) {
        EXPECT_EQ(commands.apply(writeFile(stateText)), jy::ControlExit::Failure);
    });
    EXPECT_NE(err_.str().find("in force on 0 of 1 live routers"), std::string::npos) << err_.str();
}

// Guards against a file error that is reported only by a router, or not at all.
TEST_F(OperatorCommands, InvalidFilesAreRefusedBeforeTheyAreSent)
{
    run([this](jy::Commands &commands) {
        EXPECT_EQ(commands.apply(writeFile(R"({"domain": {}})")), jy::ControlExit::Usage);
        EXPECT_EQ(commands.apply("no-such-file.json"), jy::ControlExit::Usage);
    });
    EXPECT_EQ(applies_, 0);
}

// Guards against a failing first router that hides the others.
TEST_F(OperatorCommands, TriesTheNextRouter)
{
    options_.routers.push_back({"127.0.0.1", 1});
    run([](jy::Commands &commands) { EXPECT_EQ(commands.status(), jy::ControlExit::Ok); });
}

} // namespace
