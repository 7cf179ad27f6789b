#include "jy_router/jy_router.h"
#include "jy_runtime/jy_runtime.h"

#include <iostream>

namespace {

using jy::ExitCode;

ExitCode runRouter(jy::EventLoop &loop, jy::ProcessSignals &signals,
                   const jy::RouterSettings &settings, const std::string &settingsFile)
{
    jy::setUpLogging(settings.instance.id.value(), settings.parsedLogLevel());
    auto exitCode = ExitCode::Ok;
    loop.run([&] {
        auto router = jy::Router::create(loop, signals, settings, settingsFile);
        if (!router) {
            exitCode = jy::reportStartError(router.error(), std::cerr);
            return;
        }
        const auto result = router.value()->run();
        if (!result) {
            std::cerr << "jyrouter: " << result.error().message << '\n';
            exitCode = ExitCode::Failure;
        }
    });
    return exitCode;
}

} // namespace

int main(int argc, char **argv)
{
    jy::FreedMemory::returnLargeBlocks();
    jy::EventLoop loop;
    auto created = jy::ProcessSignals::create(loop);
    if (!created)
        return static_cast<int>(jy::reportStartError(created.error(), std::cerr));
    // Not destroyed, because a signal that arrives while the process exits would end it by default.
    static auto *const signals = created.value().release();
    const jy::ProgramDescription program{
        .name = "jyrouter",
        .summary =
            "Routes chats and service calls to backend servers, as one instance of a fleet."};
    const auto options = jy::parseProgramOptions(argc, argv, program);
    if (const auto *exitCode = std::get_if<ExitCode>(&options))
        return static_cast<int>(*exitCode);
    const auto &parsed = std::get<jy::ProgramOptions>(options);
    const auto settings = jy::loadProgramSettings<jy::RouterSettings>(parsed, std::cout, std::cerr);
    if (const auto *exitCode = std::get_if<ExitCode>(&settings))
        return static_cast<int>(*exitCode);
    return static_cast<int>(
        runRouter(loop, *signals, std::get<jy::RouterSettings>(settings), parsed.settingsFile));
}
