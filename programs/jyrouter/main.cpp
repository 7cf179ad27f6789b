#include "RouterProcess.h"
#include "jy_runtime/logging/Log.h"
#include "jy_runtime/program/ProgramOptions.h"

#include <iostream>

namespace {

const jy::ProgramDescription description{
    .name = "jyrouter",
    .summary = "Routes chats and service calls to backend servers; one process per entry instance.",
    .details = "SIGTERM starts a graceful shutdown. The exit code is 0 when no request was "
               "interrupted."};

} // namespace

int main(int argc, char **argv)
{
    const auto options = jy::parseProgramOptions(argc, argv, description);
    if (const auto *code = std::get_if<jy::ExitCode>(&options))
        return static_cast<int>(*code);
    auto settings = jy::loadProgramSettings<jy::RouterSettings>(
        std::get<jy::ProgramOptions>(options), std::cout, std::cerr);
    if (const auto *code = std::get_if<jy::ExitCode>(&settings))
        return static_cast<int>(*code);
    auto &values = std::get<jy::RouterSettings>(settings);
    jy::setUpLogging(values.instance.id.value(), values.parsedLogLevel());
    int exitCode = 0;
    jy::EventLoop loop;
    loop.run([&] {
        auto process = jy::RouterProcess::create(loop, std::move(values));
        exitCode = process ? process.value()->run()
                           : static_cast<int>(jy::reportStartError(process.error(), std::cerr));
    });
    return exitCode;
}
