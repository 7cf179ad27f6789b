#include "Ledger.h"

#include <gtest/gtest.h>

#include <vector>

namespace jy::soak {

namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

/** A ledger with helpers that simulate calls, runs and responses. */
struct Scene
{
    Disturbances disturbances;
    std::vector<std::string> rules;
    Ledger ledger{
        disturbances, {}, [this](const Finding &finding) { rules.emplace_back(finding.rule); }};
    TimePoint now = std::chrono::steady_clock::now();

    void call(CallKind kind = CallKind::Unsafe, const std::string &id = "1")
    {
        Call call;
        call.id = id;
        call.kind = kind;
        call.instance = "g1";
        call.path = "/p";
        call.sent = now;
        call.allowed = seconds(1);
        call.maxServers = 1;
        ledger.sent(call);
    }

    Arrival arrival(const std::string &server = "s1", const std::string &id = "1") const
    {
        return {id, server, "/p", "", "", false, now};
    }

    void run(const std::string &seal, const std::string &server = "s1")
    {
        ledger.arrived(arrival(server));
        ledger.runs(arrival(server), seal);
        ledger.finished("1", seal, 200, "text", now);
    }

    void answer(int status, const std::string &seal = "", const std::string &text = "text")
    {
        ledger.answered("1", {status, false, seal, text, now});
    }
};

struct LedgerCase
{
    std::string name;
    std::string rule;
    std::function<void(Scene &)> play;
};

class LedgerTest : public testing::TestWithParam<LedgerCase>
{ };

TEST_P(LedgerTest, ReportsViolation)
{
    Scene scene;
    GetParam().play(scene);
    if (GetParam().rule.empty()) {
        EXPECT_TRUE(scene.rules.empty()) << scene.rules.front();
    } else {
        ASSERT_FALSE(scene.rules.empty());
        EXPECT_EQ(scene.rules.front(), GetParam().rule);
    }
}

const std::vector<LedgerCase> rows = {
    {"ServedRequest", "",
     [](Scene &scene) {
         scene.call();
         scene.run("a");
         scene.answer(200, "a");
     }},
    {"UnsafeRequestRunsTwice", "TWICE",
     [](Scene &scene) {
         scene.call();
         scene.run("a");
         scene.run("b");
     }},
    {"SafeRequestRunsAtTooManyServers", "BUDGET",
     [](Scene &scene) {
         scene.call(CallKind::Safe);
         scene.run("a", "s1");
         scene.run("b", "s2");
     }},
    {"RefusedAfterRun", "REFUSED",
     [](Scene &scene) {
         scene.call();
         scene.run("a");
         scene.answer(503);
     }},
    {"RunsAfterRefusal", "REFUSED",
     [](Scene &scene) {
         scene.disturbances.begin("s1", Origin::Fault, scene.now);
         scene.call();
         scene.answer(503);
         scene.run("a");
     }},
    {"FailureAfterRunIsAllowed", "",
     [](Scene &scene) {
         scene.disturbances.begin("s1", Origin::Fault, scene.now);
         scene.call();
         scene.run("a");
         scene.answer(502);
     }},
    {"SuccessWithoutRun", "MIXED",
     [](Scene &scene) {
         scene.call();
         scene.answer(200);
     }},
    {"OtherBody", "MIXED",
     [](Scene &scene) {
         scene.call();
         scene.run("a");
         scene.answer(200, "a", "tex");
     }},
    {"OtherStatus", "MIXED",
     [](Scene &scene) {
         scene.disturbances.begin("s1", Origin::Fault, scene.now);
         scene.call();
         scene.run("a");
         scene.answer(500, "a");
     }},
    {"UnknownRequestArrives", "UNASKED",
     [](Scene &scene) { scene.ledger.arrived(scene.arrival("s1", "2")); }},
    {"PathChanged", "UNASKED",
     [](Scene &scene) {
         scene.call();
         auto arrival = scene.arrival();
         arrival.path = "/q";
         scene.ledger.arrived(arrival);
     }},
    {"KeyIsForwarded", "UNASKED",
     [](Scene &scene) {
         scene.call();
         auto arrival = scene.arrival();
         arrival.hasKey = true;
         scene.ledger.arrived(arrival);
     }},
    {"WithdrawnServerIsReached", "DRAIN",
     [](Scene &scene) {
         scene.call();
         scene.ledger.withdrawn("s1", scene.now - seconds(3));
         scene.run("a");
     }},
    {"WithdrawnServerIsReachedDuringOutage", "",
     [](Scene &scene) {
         scene.disturbances.begin("store", Origin::Fault, scene.now - seconds(1));
         scene.call();
         scene.ledger.withdrawn("s1", scene.now - seconds(3));
         scene.run("a");
     }},
    {"WorkGoesOnWithoutCaller", "GONE",
     [](Scene &scene) {
         scene.call(CallKind::Safe);
         scene.ledger.arrived(scene.arrival());
         scene.ledger.runs(scene.arrival(), "a");
         scene.ledger.callerLeft("1", scene.now);
         scene.ledger.finished("1", "a", 200, "text", scene.now + seconds(1));
     }},
    {"ResponseIsLate", "HELD",
     [](Scene &scene) {
         scene.call();
         scene.now += milliseconds(1600);
         scene.answer(504);
     }},
    {"ValidRequestIsDenied", "DENIED",
     [](Scene &scene) {
         scene.call();
         scene.answer(404);
     }},
    {"ConnectionClosedDuringPlannedWork", "LOST",
     [](Scene &scene) {
         scene.disturbances.begin("g1", Origin::PlannedWork, scene.now);
         scene.call();
         scene.ledger.arrived(scene.arrival());
         scene.ledger.runs(scene.arrival(), "a");
         scene.ledger.answered("1", {0, true, "", "", scene.now});
     }},
    {"RefusedWithoutDisturbance", "CALM",
     [](Scene &scene) {
         scene.call();
         scene.answer(503);
     }},
    {"ColdServerIsOverloaded", "FAILBACK",
     [](Scene &scene) {
         scene.ledger.cold("s1", scene.now + seconds(2));
         for (int i = 0; i < 12; ++i) {
             scene.call(CallKind::Safe, std::to_string(i));
             scene.ledger.arrived(scene.arrival("s1", std::to_string(i)));
         }
     }},
    {"TooManyRepeats", "BUDGET",
     [](Scene &scene) {
         for (int i = 0; i < 80; ++i) {
             scene.call(CallKind::Safe, std::to_string(i));
             scene.ledger.arrived(scene.arrival("s1", std::to_string(i)));
             scene.ledger.arrived(scene.arrival("s1", std::to_string(i)));
         }
     }},
};

INSTANTIATE_TEST_SUITE_P(Rules, LedgerTest, testing::ValuesIn(rows),
                         [](const auto &row) { return row.param.name; });

} // namespace

} // namespace jy::soak
