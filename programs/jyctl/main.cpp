#include "jy_gateway/settings/GatewaySettings.h"
#include "jy_router/operations/client/Commands.h"

#include "jy_runtime/jy_runtime.h"

#include <absl/flags/flag.h>

#include <functional>
#include <iostream>
#include <map>

ABSL_FLAG(std::string, router, "",
          "operator endpoints ADDRESS:PORT,ADDRESS:PORT..., tried in order");
ABSL_FLAG(std::string, key_file, "",
          "file with the operator key; default: environment variable JY_OPERATOR_KEY");
ABSL_FLAG(bool, json, false, "print JSON");
ABSL_FLAG(bool, rebase, false,
          "apply to the current revision, ignoring the base revision in the file");
ABSL_FLAG(int, wait_ms, 10000,
          "time to wait until all live routers have applied a change; 0: no wait");
ABSL_FLAG(int, timeout_ms, 5000, "timeout of one call");
ABSL_FLAG(std::string, chat, "", "explain: chat id");
ABSL_FLAG(std::string, workspace, "", "explain: workspace of the chat");
ABSL_FLAG(std::string, model, "", "explain: model, if the workspace has several");
ABSL_FLAG(std::string, server, "", "explain: backend server id");

namespace {

const jy::ProgramDescription program{
    .name = "jyctl",
    .summary = "validates and changes the desired state of a router fleet and shows its status.",
    .usage = "--router=ADDRESS:PORT [FLAGS] COMMAND [ARGUMENT]",
    .details =
        "commands:\n"
        "  validate FILE      validate a file, with --router also against the current state\n"
        "  apply FILE         apply a file atomically\n"
        "  config get         print the current desired state\n"
        "  drain DOMAIN       take a failure domain out of service\n"
        "  return DOMAIN      bring a failure domain back\n"
        "  status             routers, revisions, failure domains, moves, owned servers\n"
        "  explain            explain how a chat (--chat, --workspace) is routed or why a "
        "server (--server) is in its state\n"
        "  reference settings print the settings reference of jyrouter\n\n"
        "further exit codes: 3 conflict, 4 outcome unknown",
    .hasSettings = false,
    .hasArguments = true};

/** A command: its words, whether an argument follows them, and whether it calls a router. */
struct CommandSpec
{
    std::vector<std::string> words;
    bool takesArgument = false;
    bool needsRouter = true;
    std::function<jy::ControlExit(jy::Commands &, const std::string &)> run;
};

jy::ControlExit printReference(jy::Commands & /*commands*/, const std::string & /*argument*/)
{
    std::cout << jy::routerSettingsPage();
    return jy::ControlExit::Ok;
}

jy::ControlExit printGatewayReference(jy::Commands & /*commands*/, const std::string & /*argument*/)
{
    std::cout << jy::gatewaySettingsPage();
    return jy::ControlExit::Ok;
}

const std::vector<CommandSpec> &commandTable()
{
    using jy::Commands;
    static const std::vector<CommandSpec> table{
        {{"validate"}, true, false, [](auto &c, const auto &file) { return c.validate(file); }},
        {{"apply"}, true, true, [](auto &c, const auto &file) { return c.apply(file); }},
        {{"config", "get"}, false, true, [](auto &c, const auto &) { return c.configGet(); }},
        {{"drain"}, true, true, [](auto &c, const auto &domain) { return c.drain(domain); }},
        {{"return"}, true, true, [](auto &c, const auto &d) { return c.returnDomain(d); }},
        {{"status"}, false, true, [](auto &c, const auto &) { return c.status(); }},
        {{"explain"}, false, true, [](auto &c, const auto &) { return c.explain(); }},
        {{"reference", "settings"}, false, false, printReference},
        {{"reference", "gateway-settings"}, false, false, printGatewayReference}};
    return table;
}

/** Finds the command whose words and number of arguments match. @returns nullptr if none does */
const CommandSpec *findCommand(const std::vector<std::string> &arguments)
{
    for (const auto &spec : commandTable()) {
        const auto size = spec.words.size() + (spec.takesArgument ? 1 : 0);
        if (arguments.size() == size
            && std::equal(spec.words.begin(), spec.words.end(), arguments.begin()))
            return &spec;
    }
    return nullptr;
}

int usageError(const std::string &message)
{
    std::cerr << "jyctl: " << message << "\nSee jyctl --help.\n";
    return static_cast<int>(jy::ControlExit::Usage);
}

jy::Result<jy::ControlOptions> controlOptions()
{
    jy::ControlOptions options{.chat = absl::GetFlag(FLAGS_chat),
                               .workspace = absl::GetFlag(FLAGS_workspace),
                               .model = absl::GetFlag(FLAGS_model),
                               .server = absl::GetFlag(FLAGS_server),
                               .json = absl::GetFlag(FLAGS_json),
                               .rebase = absl::GetFlag(FLAGS_rebase),
                               .wait = std::chrono::milliseconds(absl::GetFlag(FLAGS_wait_ms))};
    if (const auto routers = absl::GetFlag(FLAGS_router); !routers.empty()) {
        BOOST_OUTCOME_TRY(options.routers, jy::endpointsFromList(routers));
    }
    return options;
}

int runCommand(const CommandSpec &spec, const jy::ControlOptions &options, const std::string &key,
               const std::string &argument)
{
    jy::EventLoop loop;
    auto code = jy::ControlExit::Failure;
    loop.run([&] {
        jy::OperatorClient client(loop, key,
                                  std::chrono::milliseconds(absl::GetFlag(FLAGS_timeout_ms)));
        jy::Commands commands(client, options, std::cout, std::cerr);
        code = spec.run(commands, argument);
    });
    return static_cast<int>(code);
}

} // namespace

int main(int argc, char **argv)
{
    const auto parsed = jy::parseProgramOptions(argc, argv, program);
    if (const auto *code = std::get_if<jy::ExitCode>(&parsed))
        return static_cast<int>(*code);
    const auto &arguments = std::get<jy::ProgramOptions>(parsed).arguments;
    const auto *spec = findCommand(arguments);
    if (!spec)
        return usageError(arguments.empty() ? "no command"
                                            : "unknown command or wrong number of arguments: "
                                  + arguments.front());
    const auto options = controlOptions();
    if (!options)
        return usageError("--router: " + options.error().message);
    if (spec->needsRouter && options.value().routers.empty())
        return usageError("the command needs --router");
    std::string key;
    if (!options.value().routers.empty()) {
        auto read = jy::readOperatorKey(absl::GetFlag(FLAGS_key_file));
        if (!read)
            return usageError(read.error().message);
        key = std::move(read).value();
    }
    return runCommand(*spec, options.value(), key, spec->takesArgument ? arguments.back() : "");
}
