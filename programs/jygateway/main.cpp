#include "jy_gateway/jy_gateway.h"
#include "jy_runtime/jy_runtime.h"
#include "platform/Adapter.h"

#include <fcntl.h>
#include <sys/stat.h>
#include <unistd.h>

#include <iostream>

namespace {

using jy::ExitCode;

/**
 * Makes a log pipe non-blocking, so that a log collector that stops reading costs log lines instead
 * of blocking the event loop and with it all requests.
 */
void makeLogPipeNonBlocking()
{
    struct stat status
    { };
    if (::fstat(STDOUT_FILENO, &status) == 0 && S_ISFIFO(status.st_mode))
        ::fcntl(STDOUT_FILENO, F_SETFL, ::fcntl(STDOUT_FILENO, F_GETFL) | O_NONBLOCK);
}

ExitCode runGateway(jy::EventLoop &loop, jy::ProcessSignals &signals,
                    const jy::GatewaySettings &settings, const std::string &settingsFile)
{
    jy::setUpLogging(settings.instance.id.value(), settings.parsedLogLevel(),
                     jy::LogStream::StandardOutput);
    makeLogPipeNonBlocking();
    auto exitCode = ExitCode::Ok;
    loop.run([&] {
        auto gateway = jy::Gateway::create(loop, signals, settings, settingsFile,
                                           jy::platform::createAdapter());
        const auto result = gateway ? gateway.value()->run() : gateway.error();
        if (!result)
            exitCode = jy::reportStartError(result.error(), std::cerr);
        // Exits without destructors, because other fibers still refer to the gateway.
        std::cout.flush();
        std::_Exit(static_cast<int>(exitCode));
    });
    return exitCode;
}

} // namespace

int main(int argc, char **argv)
{
    jy::FreedMemory::returnLargeBlocks();
    jy::EventLoop loop;
    const auto signals = jy::ProcessSignals::create(loop);
    if (!signals)
        return static_cast<int>(jy::reportStartError(signals.error(), std::cerr));
    const jy::ProgramDescription program{
        .name = "jygateway",
        .summary =
            "Routes requests on a platform with a shared store, as one instance of a fleet."};
    const auto options = jy::parseProgramOptions(argc, argv, program);
    if (const auto *exitCode = std::get_if<ExitCode>(&options))
        return static_cast<int>(*exitCode);
    const auto &parsed = std::get<jy::ProgramOptions>(options);
    const auto settings =
        jy::loadProgramSettings<jy::GatewaySettings>(parsed, std::cout, std::cerr);
    if (const auto *exitCode = std::get_if<ExitCode>(&settings))
        return static_cast<int>(*exitCode);
    return static_cast<int>(runGateway(
        loop, *signals.value(), std::get<jy::GatewaySettings>(settings), parsed.settingsFile));
}
