#include "jy_runtime/jy_runtime.h"

#include <gtest/gtest.h>

#include <regex>

using namespace std::chrono_literals;

namespace {

struct QuotingCase
{
    const char *name;
    std::string value;
    std::string expected;
};

class LogQuoting : public testing::TestWithParam<QuotingCase>
{ };

// Guards against log injection: a value that adds another field or another line.
TEST_P(LogQuoting, KeepsOneEventOnOneLine)
{
    EXPECT_EQ(jy::formatLogLine("e", {{"k", GetParam().value}}),
              "event=e k=" + GetParam().expected);
}

INSTANTIATE_TEST_SUITE_P(
    Values, LogQuoting,
    testing::Values(QuotingCase{"Plain", "10.0.0.1:80/x", "10.0.0.1:80/x"},
                    QuotingCase{"Empty", "", R"("")"}, QuotingCase{"Space", "a b", R"("a b")"},
                    QuotingCase{"Equals", "a=b", R"("a=b")"},
                    QuotingCase{"Quote", "a\"b", R"("a\"b")"},
                    QuotingCase{"Backslash", "a\\b", R"("a\\b")"},
                    QuotingCase{"LineFeed", "a\nlevel=error", R"("a\nlevel=error")"},
                    QuotingCase{"Control", std::string("a\x1b", 2), R"("a\u001b")"},
                    QuotingCase{"Utf8", "Grüße", "Grüße"}),
    [](const auto &info) { return std::string(info.param.name); });

// Guards against a change of the unit or format of a field type.
TEST(Log, WritesEachFieldType)
{
    EXPECT_EQ(jy::formatLogLine("done",
                                {{"request", jy::RequestId("r-1")},
                                 {"count", 3},
                                 {"share", 0.25},
                                 {"ok", true},
                                 {"total_ms", 1500ms},
                                 {"text", "x"}}),
              "event=done request=r-1 count=3 share=0.25 ok=true total_ms=1500 text=x");
}

// Guards against lines whose time, level or process a log collector cannot parse.
TEST(Log, LinesStartWithTimeLevelAndProcess)
{
    testing::internal::CaptureStderr();
    jy::setUpLogging("r 1%d", jy::LogLevel::Info);
    jy::logEvent(jy::LogLevel::Debug, "hidden", {});
    jy::logEvent(jy::LogLevel::Warn, "shown", {{"k", "v"}});
    const auto output = testing::internal::GetCapturedStderr();
    EXPECT_TRUE(
        std::regex_match(output,
                         std::regex(R"(time=\d{4}-\d\d-\d\dT\d\d:\d\d:\d\d\.\d{3}Z level=WARN )"
                                    R"(process="r 1%d" event=shown k=v\n)")))
        << output;
    jy::setUpLogging("test", jy::LogLevel::Error);
}

} // namespace
