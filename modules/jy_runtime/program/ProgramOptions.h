#pragma once

#include "jy_base/errors/Error.h"
#include "jy_runtime/settings/Settings.h"

#include <iosfwd>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

namespace jy {

/** Exit codes that all programs share. */
enum class ExitCode {
    Ok = 0,
    Failure = 1,
    Usage = 2, /**< wrong command line or invalid settings */
};

/** Texts of --help and what a program reads. */
struct ProgramDescription
{
    std::string name;

    /** One sentence. */
    std::string summary;

    /** Line after "usage:", without the program's name. */
    std::string usage = "--settings=FILE";

    /** Paragraphs after the flags; may be empty. */
    std::string details;

    /** The program has a settings file: --settings, --check and --print-settings are accepted. */
    bool hasSettings = true;

    /** Arguments that are not flags are accepted. */
    bool hasArguments = false;
};

/** The command line of a program. */
struct ProgramOptions
{
    std::string settingsFile;
    bool check = false;
    bool printSettings = false;

    /** Arguments that are not flags. */
    std::vector<std::string> arguments;
};

/** A value to go on with, or the exit code of a program that has nothing left to do. */
template <class Value>
using OrExit = std::variant<Value, ExitCode>;

/**
 * Parses flags declared with ABSL_FLAG and answers --help and --version.
 *
 * Abseil's own parser exits with code 1 for an unknown flag and for --help, so this function walks
 * the command line itself and leaves only the values to Abseil. Forms: --name=value, --name value,
 * and for flags of type bool --name and --noname; "--" ends the flags.
 *
 * @param out receives help and version
 * @param err receives one line per usage error
 */
OrExit<ProgramOptions> parseProgramOptions(const std::vector<std::string> &arguments,
                                           const ProgramDescription &program, std::ostream &out,
                                           std::ostream &err);

/** The same for the parameters of main(), with the standard streams. */
OrExit<ProgramOptions> parseProgramOptions(int argc, char **argv,
                                           const ProgramDescription &program);

/** Prints an error and returns the exit code that belongs to its kind. */
ExitCode reportStartError(const Error &error, std::ostream &err);

/** Loads the settings file that the options name and serves --check and --print-settings. */
template <class Structure>
OrExit<Structure> loadProgramSettings(const ProgramOptions &options, std::ostream &out,
                                      std::ostream &err)
{
    auto settings = loadSettings<Structure>(options.settingsFile);
    if (!settings)
        return reportStartError(settings.error(), err);
    if (options.printSettings)
        out << effectiveSettings(settings.value());
    else if (options.check)
        out << options.settingsFile << ": valid\n";
    if (options.check || options.printSettings)
        return ExitCode::Ok;
    return std::move(settings).value();
}

} // namespace jy
