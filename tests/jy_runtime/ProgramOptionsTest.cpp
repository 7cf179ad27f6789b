#include "jy_runtime/jy_runtime.h"

#include <absl/flags/flag.h>
#include <absl/flags/reflection.h>
#include <gtest/gtest.h>

#include <sstream>

ABSL_FLAG(int, test_count, 7, "a number");

namespace {

struct CommandLine
{
    const char *name;
    std::vector<std::string> arguments;

    /** Expected exit code; -1 if the program continues. */
    int exitCode;

    /** Expected part of the output or of the error message. */
    const char *text;
};

class ProgramOptions : public testing::TestWithParam<CommandLine>
{
protected:
    absl::FlagSaver saver_;
};

// Guards against undocumented exit codes and against ignored errors in the command line.
TEST_P(ProgramOptions, ReturnTheDocumentedExitCode)
{
    std::ostringstream out;
    std::ostringstream err;
    const jy::ProgramDescription program{.name = "prog", .summary = "Does things."};
    const auto parsed = jy::parseProgramOptions(GetParam().arguments, program, out, err);
    const auto *code = std::get_if<jy::ExitCode>(&parsed);
    EXPECT_EQ(code ? static_cast<int>(*code) : -1, GetParam().exitCode) << err.str();
    EXPECT_NE((out.str() + err.str()).find(GetParam().text), std::string::npos)
        << out.str() << err.str();
}

INSTANTIATE_TEST_SUITE_P(
    Lines, ProgramOptions,
    testing::Values(CommandLine{"Equals", {"--settings=f"}, -1, ""},
                    CommandLine{"Separate", {"--settings", "f", "--check"}, -1, ""},
                    CommandLine{"Negated", {"--settings=f", "--nocheck"}, -1, ""},
                    CommandLine{"Help", {"--help"}, 0, "--print-settings\n"},
                    CommandLine{"HelpNamesDefaults",
                                {"--help"},
                                0,
                                "--test-count=VALUE\n        a number "
                                "(default 7)"},
                    CommandLine{"Version", {"--version"}, 0, "prog " JY_VERSION "\n"},
                    CommandLine{"NoSettings", {}, 2, "flag \"--settings\" is missing"},
                    CommandLine{"Unknown", {"--sttings=f"}, 2, "prog: unknown flag \"--sttings\""},
                    CommandLine{"AbseilOwn", {"--settings=f", "--flagfile=x"}, 2, "unknown flag"},
                    CommandLine{
                        "BadValue", {"--settings=f", "--test-count=x"}, 2, "\"x\" is not allowed"},
                    CommandLine{"NoValue", {"--settings"}, 2, "needs a value"},
                    CommandLine{"Argument", {"--settings=f", "x"}, 2, "unexpected argument \"x\""}),
    [](const auto &info) { return std::string(info.param.name); });

// Guards against a program that starts with invalid settings.
TEST(ProgramSettings, StopTheProgramUnlessTheyAreValid)
{
    std::ostringstream out;
    std::ostringstream err;
    const jy::ProgramOptions options{.settingsFile = "no-such-file.json"};
    const auto loaded = jy::loadProgramSettings<jy::InstanceSettings>(options, out, err);
    EXPECT_EQ(std::get<jy::ExitCode>(loaded), jy::ExitCode::Usage);
    EXPECT_NE(err.str().find("no-such-file.json"), std::string::npos);
}

} // namespace
