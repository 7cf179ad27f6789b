#include "jy_core/config/ConfigValidator.h"
#include "jy_core/config/DesiredStateReader.h"
#include "jy_core/config/DesiredStateWriter.h"
#include "jy_core/config/WallTimeText.h"

#include <gtest/gtest.h>

#include <algorithm>

namespace {

using namespace jy;

const WallTime now = *parseWallTime("2026-01-01T00:00:00Z");

constexpr std::string_view validFile = R"({
  // comment
  "global": {"lookupLifetimeMs": 4000, "keyRetentionMs": 3600000},
  "domains": {"a": {"region": "r"},
              "b": {"region": "r", "state": "returning", "returnStart": "2026-01-01T00:00:00.250Z"}},
  "models": {"m": {"serve": "v1", "versions": ["v1", "v2"], "weightBytes": 4000000000,
                   "moves": {"go": {"from": "v1", "to": "v2", "finishBy": "2026-01-02T00:00:00Z"}}}},
  "services": {"desk": {"protectedCalls": [{"method": "POST", "pathPrefix": "/permits"}]}},
  "workspaces": {"w": {"models": ["m"], "services": ["desk"], "weight": 2.5}},
})";

ConfigIssues issuesOf(std::string_view text)
{
    DesiredState state;
    auto issues = readDesiredState(text, state);
    const auto more = validateDesiredState(state, now, nullptr);
    issues.insert(issues.end(), more.begin(), more.end());
    return issues;
}

// Guards against a writer and a reader of different formats, which would change the state with each
// apply.
TEST(ConfigFile, TheWrittenTextIsReadBackUnchanged)
{
    const auto state = parseDesiredState(validFile);
    ASSERT_TRUE(state) << state.error().message;
    EXPECT_TRUE(issuesOf(validFile).empty());
    EXPECT_EQ(state.value().models.at(ModelId("m")).weightBytes, 4'000'000'000U);
    const auto again = parseDesiredState(desiredStateText(state.value()));
    ASSERT_TRUE(again) << again.error().message;
    EXPECT_EQ(again.value(), state.value());
}

struct BadFile
{
    const char *name;
    std::string_view from;
    std::string_view to;
    std::string_view path;
    std::string_view value;
    std::string_view allowed;
};

class BadFiles : public testing::TestWithParam<BadFile>
{ };

// Guards against an invalid file that is accepted, or reported without the path, value or rule.
TEST_P(BadFiles, AreReportedWithPathValueAndRule)
{
    std::string text(validFile);
    const auto at = text.find(GetParam().from);
    ASSERT_NE(at, std::string::npos);
    text.replace(at, GetParam().from.size(), GetParam().to);
    const auto issues = issuesOf(text);
    const auto matches = [](const ConfigIssue &issue) {
        return issue.path == GetParam().path
            && issue.value.find(GetParam().value) != std::string::npos
            && issue.allowed.find(GetParam().allowed) != std::string::npos;
    };
    EXPECT_TRUE(std::any_of(issues.begin(), issues.end(), matches)) << toError(issues).message;
}

// clang-format off
INSTANTIATE_TEST_SUITE_P(Table, BadFiles, testing::Values(
    BadFile{"Syntax", "\"global\": {", "\"global\": [", "", "line 3", "JSON with comments"},
    BadFile{"UnknownSection", "\"global\"", "\"globals\"", "globals", "4000", "unknown key; one of domains, global"},
    BadFile{"UnknownKey", "\"weight\"", "\"wieght\"", "workspaces.w.wieght", "2.5", "models, services, weight"},
    BadFile{"DuplicateKey", "\"b\": {", "\"a\": {", "domains.a", "twice", "once"},
    BadFile{"WrongType", "4000,", "\"4 s\",", "global.lookupLifetimeMs", "\"4 s\"", "from 100 to 5000"},
    BadFile{"OutOfRange", "3600000", "36000000", "global.keyRetentionMs", "36000000", "to 14400000"},
    BadFile{"NoRegion", "{\"region\": \"r\"}", "{}", "domains.a.region", "", "required"},
    BadFile{"BadState", "returning", "coming", "domains.b.state", "coming", "in-service, out, returning"},
    BadFile{"AllOut", R"({"region": "r"},
              "b": {"region": "r", "state": "returning", "returnStart": "2026-01-01T00:00:00.250Z"}})", R"({"region": "r", "state": "out"}})", "domains", "every state \"out\"", "at least one"},
    BadFile{"BadId", "\"desk\": {", "\"de/sk\": {", "services.de/sk", "de/sk", "1 to 64"},
    BadFile{"ServeUnlisted", "\"serve\": \"v1\"", "\"serve\": \"v9\"", "models.m.serve", "v9", "v1 v2"},
    BadFile{"MoveToUnlisted", "\"to\": \"v2\"", "\"to\": \"v3\"", "models.m.moves.go.to", "v3", "v1 v2"},
    BadFile{"MoveToItself", "\"to\": \"v2\"", "\"to\": \"v1\"", "models.m.moves.go.to", "v1", "another version"},
    BadFile{"MoveFromOther", "\"from\": \"v1\"", "\"from\": \"v2\"", "models.m.moves.go.from", "v2", "\"v1\""},
    BadFile{"DeadlinePassed", "2026-01-02", "2025-12-31", "models.m.moves.go.finishBy", "2025-12-31", "after 2026-01-01"},
    BadFile{"DeadlineMalformed", "2026-01-02T", "2026-13-02T", "models.m.moves.go.finishBy", "2026-13-02", "UTC time"},
    BadFile{"CanaryShare", "\"from\": \"v1\"", "\"canaryShare\": 0.2, \"from\": \"v1\"", "models.m.moves.go.canaryShare", "0.2", "number above"},
    BadFile{"MoveWorkspace", "\"from\": \"v1\"", "\"workspace\": \"x\", \"from\": \"v1\"", "models.m.moves.go.workspace", "x", "one of w"},
    BadFile{"SecondMove", "\"go\": {", R"("a": {"from": "v1", "to": "v2", "finishBy": "2026-01-03T00:00:00Z"}, "go": {)", "models.m.moves.go", "go", "\"a\" covers the same"},
    BadFile{"OtherTarget", "\"go\": {", R"("a": {"from": "v1", "to": "v1", "workspace": "w", "finishBy": "2026-01-03T00:00:00Z"}, "go": {)", "models.m.moves.go.to", "v2", "target of move \"a\""},
    BadFile{"Method", "\"POST\"", "\"post\"", "services.desk.protectedCalls[0].method", "post", "POST, PUT"},
    BadFile{"PathPrefix", "\"/permits\"", "\"permits\"", "services.desk.protectedCalls[0].pathPrefix", "permits", "begins with /"},
    BadFile{"NoModel", "[\"m\"]", "[\"n\"]", "workspaces.w.models[0]", "n", "one of m"},
    BadFile{"NoService", "[\"desk\"]", "[\"desk\", \"desk\"]", "workspaces.w.services[1]", "desk", "once"},
    BadFile{"Weight", "2.5", "0", "workspaces.w.weight", "0", "number above"}),
    [](const auto &info) { return info.param.name; });
// clang-format on

// Guards against a report that stops at the first issue, so that operators fix one per attempt.
TEST(ConfigFile, ReportsAllIssuesAtOnce)
{
    const auto result = parseDesiredState(
        R"({"global": {"queueLength": -1, "x": 1}, "models": {"m": {"serve": 3}}})");
    ASSERT_FALSE(result);
    EXPECT_EQ(result.error().kind, ErrorKind::ConfigInvalid);
    EXPECT_EQ(std::count(result.error().message.begin(), result.error().message.end(), '\n'), 3);
}

// Guards against a fleet that cannot be reconfigured because a finished move is still listed, and
// against a ramp that restarts with each apply.
TEST(ConfigFile, TheStateInForceCanBeAppliedAgain)
{
    std::string text(validFile);
    text.replace(text.find(", \"returnStart\": \"2026-01-01T00:00:00.250Z\""), 43, "");
    auto state = parseDesiredState(text).value();
    completeReturnStarts(state, now, nullptr);
    const auto inForce = state;
    const auto later = now + std::chrono::hours(48);
    EXPECT_EQ(validateDesiredState(state, later, nullptr).size(), 1U);
    EXPECT_TRUE(validateDesiredState(state, later, &inForce).empty());
    auto again = parseDesiredState(text).value();
    completeReturnStarts(again, later, &inForce);
    EXPECT_EQ(again, inForce);
}

} // namespace
