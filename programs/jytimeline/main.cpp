#include "jy_router/operations/timeline/Collector.h"

#include "jy_router/operations/timeline/Timeline.h"
#include "jy_runtime/jy_runtime.h"

#include <absl/flags/flag.h>

#include <fstream>
#include <iostream>

ABSL_FLAG(std::string, router, "",
          "operator endpoints ADDRESS:PORT,ADDRESS:PORT... of one or more routers");
ABSL_FLAG(std::string, key_file, "",
          "file with the operator key; default: environment variable JY_OPERATOR_KEY");
ABSL_FLAG(std::string, format, "text", "output format: text, json or html");
ABSL_FLAG(std::string, output, "", "output file; default: standard output");
ABSL_FLAG(int, timeout_ms, 5000, "timeout of one call");
ABSL_FLAG(int, last_seconds, 0, "only events of the last N seconds; 0: all");
ABSL_FLAG(std::string, chat, "", "only events of this chat");
ABSL_FLAG(std::string, server, "", "only events of this backend server");
ABSL_FLAG(std::string, workspace, "", "only events of this workspace");
ABSL_FLAG(std::string, move, "", "only events of this move");
ABSL_FLAG(std::string, revision, "", "only events of this configuration revision");
ABSL_FLAG(std::string, kind, "", "only events of this kind");

namespace {

const jy::ProgramDescription program{
    .name = "jytimeline",
    .summary = "collects the events of all live routers and prints them in chronological order.",
    .usage = "--router=ADDRESS:PORT [FLAGS]",
    .details =
        "The exit code is 1 when the events of a live router could not be fetched; those of the "
        "others are printed.",
    .hasSettings = false};

using Formatter = std::string (*)(const jy::Timeline &);

Formatter findFormatter(const std::string &name)
{
    if (name == "text")
        return jy::timelineText;
    if (name == "json")
        return jy::timelineJson;
    return name == "html" ? jy::timelineHtml : nullptr;
}

int usageError(const std::string &message)
{
    std::cerr << "jytimeline: " << message << "\nSee jytimeline --help.\n";
    return static_cast<int>(jy::ExitCode::Usage);
}

bool writeOutput(const std::string &file, const std::string &content)
{
    if (file.empty()) {
        std::cout << content << std::flush;
        return std::cout.good();
    }
    std::ofstream stream(file, std::ios::binary);
    stream << content << std::flush;
    if (!stream)
        std::cerr << "jytimeline: " << file << " cannot be written\n";
    return stream.good();
}

jy::EventFilter filterFromFlags()
{
    return {.chat = absl::GetFlag(FLAGS_chat),
            .server = absl::GetFlag(FLAGS_server),
            .workspace = absl::GetFlag(FLAGS_workspace),
            .move = absl::GetFlag(FLAGS_move),
            .revision = absl::GetFlag(FLAGS_revision),
            .kind = absl::GetFlag(FLAGS_kind)};
}

/** Removes events older than @p last; 0 keeps all. */
void removeOlderEvents(std::vector<jy::ProcessEvents> &processes, std::chrono::seconds last)
{
    if (last <= std::chrono::seconds{0})
        return;
    const auto oldest = std::chrono::system_clock::now() - last;
    const auto oldestMs =
        std::chrono::duration_cast<std::chrono::milliseconds>(oldest.time_since_epoch()).count();
    for (auto &process : processes) {
        std::erase_if(process.events,
                      [oldestMs](const jy::Event &event) { return event.time.wallMs < oldestMs; });
    }
}

jy::Result<std::vector<jy::ProcessEvents>> collect(const std::string &key)
{
    BOOST_OUTCOME_TRY(const auto seeds, jy::endpointsFromList(absl::GetFlag(FLAGS_router)));
    jy::Result<std::vector<jy::ProcessEvents>> result = std::vector<jy::ProcessEvents>{};
    jy::EventLoop loop;
    loop.run([&] {
        jy::OperatorClient client(loop, key,
                                  std::chrono::milliseconds(absl::GetFlag(FLAGS_timeout_ms)));
        result = jy::collectEvents(client, seeds, filterFromFlags());
    });
    return result;
}

} // namespace

int main(int argc, char **argv)
{
    const auto parsed = jy::parseProgramOptions(argc, argv, program);
    if (const auto *code = std::get_if<jy::ExitCode>(&parsed))
        return static_cast<int>(*code);
    const auto format = findFormatter(absl::GetFlag(FLAGS_format));
    if (!format)
        return usageError("--format: allowed: text, json, html");
    const auto key = jy::readOperatorKey(absl::GetFlag(FLAGS_key_file));
    if (!key)
        return usageError(key.error().message);
    auto processes = collect(key.value());
    if (!processes) {
        std::cerr << "jytimeline: " << processes.error().message << '\n';
        return static_cast<int>(processes.error().kind == jy::ErrorKind::BadRequest
                                    ? jy::ExitCode::Usage
                                    : jy::ExitCode::Failure);
    }
    removeOlderEvents(processes.value(), std::chrono::seconds(absl::GetFlag(FLAGS_last_seconds)));
    const auto timeline = jy::mergeTimeline(std::move(processes).value());
    bool complete = writeOutput(absl::GetFlag(FLAGS_output), format(timeline));
    for (const auto &process : timeline.processes) {
        if (!process.error.empty())
            std::cerr << "jytimeline: " << process.process << ": " << process.error << '\n';
        complete = complete && process.error.empty();
    }
    return static_cast<int>(complete ? jy::ExitCode::Ok : jy::ExitCode::Failure);
}
