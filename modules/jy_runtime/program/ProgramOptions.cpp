#include "jy_runtime/program/ProgramOptions.h"

#include <absl/flags/commandlineflag.h>
#include <absl/flags/flag.h>
#include <absl/flags/reflection.h>

#include <iostream>
#include <map>

ABSL_FLAG(std::string, settings, "", "settings file, JSON with comments");
ABSL_FLAG(bool, help, false, "print this text and exit");
ABSL_FLAG(bool, version, false, "print the version and exit");
ABSL_FLAG(bool, check, false, "check the settings file and exit");
ABSL_FLAG(bool, print_settings, false, "print all settings including defaults and exit");

namespace jy {

namespace {

bool belongsToSettings(std::string_view flag)
{
    return flag == "settings" || flag == "check" || flag == "print_settings";
}

/** Converts a declared name to its form on the command line, for example --print-settings. */
std::string withHyphens(std::string_view name)
{
    std::string text(name);
    for (char &c : text)
        c = c == '_' ? '-' : c;
    return text;
}

std::string withUnderscores(std::string_view name)
{
    std::string text(name);
    for (char &c : text)
        c = c == '-' ? '_' : c;
    return text;
}

/** Finds a flag, except Abseil's own flags and settings flags of a program without settings. */
absl::CommandLineFlag *findFlag(std::string_view name, const ProgramDescription &program)
{
    auto *flag = absl::FindCommandLineFlag(withUnderscores(name));
    if (!flag || flag->Filename().find("absl/flags/") != std::string::npos)
        return nullptr;
    if (!program.hasSettings && belongsToSettings(std::string(flag->Name())))
        return nullptr;
    return flag;
}

void printHelp(const ProgramDescription &program, std::ostream &out)
{
    out << program.name << ": " << program.summary << "\n\nusage: " << program.name << ' '
        << program.usage << "\n\n";
    std::map<std::string, const absl::CommandLineFlag *> flags;
    for (const auto &entry : absl::GetAllFlags()) {
        const std::string name(entry.first);
        if (findFlag(name, program))
            flags.emplace(name, entry.second);
    }
    for (const auto &[name, flag] : flags) {
        out << "  --" << withHyphens(name);
        if (!flag->IsOfType<bool>())
            out << "=VALUE";
        out << "\n        " << flag->Help();
        if (!flag->IsOfType<bool>() && !flag->DefaultValue().empty())
            out << " (default " << flag->DefaultValue() << ')';
        out << '\n';
    }
    out << "\nexit codes: 0 ok, 1 failure, 2 usage or invalid settings\n";
    if (!program.details.empty())
        out << '\n' << program.details << '\n';
}

/** Parses a command line and sets the flags. */
class FlagParser
{
public:
    FlagParser(const std::vector<std::string> &arguments, const ProgramDescription &program)
        : arguments_(arguments)
        , program_(program)
    { }

    void run()
    {
        bool flagsEnded = false;
        for (next_ = 0; next_ < arguments_.size();) {
            const auto &argument = arguments_[next_++];
            if (flagsEnded || argument.size() < 2 || argument.front() != '-')
                positional_.push_back(argument);
            else if (argument == "--")
                flagsEnded = true;
            else
                parseFlag(argument.substr(argument[1] == '-' ? 2 : 1));
        }
        if (!program_.hasArguments && !positional_.empty())
            errors_.push_back("unexpected argument \"" + positional_.front() + '"');
    }

    const std::vector<std::string> &errors() const { return errors_; }
    const std::vector<std::string> &positional() const { return positional_; }

private:
    void parseFlag(const std::string &text)
    {
        const auto equals = text.find('=');
        const auto name = text.substr(0, equals);
        auto *flag = findFlag(name, program_);
        if (!flag && name.starts_with("no") && equals == std::string::npos) {
            flag = findFlag(name.substr(2), program_);
            if (flag && flag->IsOfType<bool>())
                return assign(*flag, name, "false");
        }
        if (!flag)
            errors_.push_back("unknown flag \"--" + name + '"');
        else if (equals != std::string::npos)
            assign(*flag, name, text.substr(equals + 1));
        else if (flag->IsOfType<bool>())
            assign(*flag, name, "true");
        else if (next_ < arguments_.size())
            assign(*flag, name, arguments_[next_++]);
        else
            errors_.push_back("flag \"--" + name + "\" needs a value");
    }

    void assign(absl::CommandLineFlag &flag, const std::string &name, const std::string &value)
    {
        std::string error;
        if (!flag.ParseFrom(value, &error)) {
            errors_.push_back("flag \"--" + name + "\": \"" + value + "\" is not allowed"
                              + (error.empty() ? "" : ": " + error));
        }
    }

    const std::vector<std::string> &arguments_;
    const ProgramDescription &program_;
    std::size_t next_ = 0;
    std::vector<std::string> positional_;
    std::vector<std::string> errors_;
};

} // namespace

OrExit<ProgramOptions> parseProgramOptions(const std::vector<std::string> &arguments,
                                           const ProgramDescription &program, std::ostream &out,
                                           std::ostream &err)
{
    FlagParser parser(arguments, program);
    parser.run();
    if (absl::GetFlag(FLAGS_help)) {
        printHelp(program, out);
        return ExitCode::Ok;
    }
    if (absl::GetFlag(FLAGS_version)) {
        out << program.name << ' ' << JY_VERSION << '\n';
        return ExitCode::Ok;
    }
    ProgramOptions options{.settingsFile = absl::GetFlag(FLAGS_settings),
                           .check = absl::GetFlag(FLAGS_check),
                           .printSettings = absl::GetFlag(FLAGS_print_settings),
                           .arguments = parser.positional()};
    auto errors = parser.errors();
    if (errors.empty() && program.hasSettings && options.settingsFile.empty())
        errors.emplace_back("flag \"--settings\" is missing");
    if (errors.empty())
        return options;
    for (const auto &error : errors)
        err << program.name << ": " << error << '\n';
    err << "See " << program.name << " --help.\n";
    return ExitCode::Usage;
}

OrExit<ProgramOptions> parseProgramOptions(int argc, char **argv, const ProgramDescription &program)
{
    return parseProgramOptions(std::vector<std::string>(argv + 1, argv + argc), program, std::cout,
                               std::cerr);
}

ExitCode reportStartError(const Error &error, std::ostream &err)
{
    err << error.message << '\n';
    const bool usage =
        error.kind == ErrorKind::SettingsInvalid || error.kind == ErrorKind::BadRequest;
    return usage ? ExitCode::Usage : ExitCode::Failure;
}

} // namespace jy
