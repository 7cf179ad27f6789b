#include "Scenario.h"

#include "jy_runtime/jy_runtime.h"

#include <absl/flags/flag.h>
#include <absl/flags/parse.h>
#include <absl/flags/usage.h>

#include <algorithm>
#include <cstdio>
#include <filesystem>
#include <string_view>

ABSL_FLAG(bool, list, false, "print the scenarios and exit");
ABSL_FLAG(std::uint64_t, seed, 1, "seed of load and faults");
ABSL_FLAG(std::string, logs, "", "folder for logs and generated settings, kept after the run");

namespace jy::bench {

namespace {

std::string logFolder(const std::string &scenario)
{
    namespace fs = std::filesystem;
    const std::string given = absl::GetFlag(FLAGS_logs);
    const fs::path folder =
        (given.empty() ? fs::temp_directory_path() / "jybench" : fs::path(given)) / scenario;
    fs::remove_all(folder);
    fs::create_directories(folder);
    return folder.string();
}

bool print(const std::string &scenario, const Figure &figure)
{
    std::printf("scenario=%s metric=%s value=%.6g unit=%s bound=%s%.6g verdict=%s\n",
                scenario.c_str(), figure.metric.c_str(), figure.value, figure.unit.c_str(),
                figure.kind == Figure::Bound::AtMost ? "<=" : ">=", figure.bound,
                figure.holds() ? "ok" : "short");
    std::fflush(stdout);
    return figure.holds();
}

bool runScenario(EventLoop &loop, const Scenario &scenario)
{
    FleetSpec spec = loadFleetSpec(scenario.spec);
    if (scenario.adjust)
        scenario.adjust(spec);
    const std::string folder = logFolder(scenario.name);
    Fleet fleet(loop, spec, absl::GetFlag(FLAGS_seed), folder);
    Run run(fleet);
    std::string step = "start";
    try {
        fleet.start();
        for (const Step &next : scenario.steps) {
            step = next.name;
            next.run(run);
        }
    } catch (const std::exception &error) {
        std::fprintf(stderr, "scenario=%s step=\"%s\" error=\"%s\" logs=%s\n",
                     scenario.name.c_str(), step.c_str(), error.what(), folder.c_str());
        run.atMost("failed_steps", 1, "steps", 0);
    }
    bool ok = true;
    for (const Figure &figure : run.figures)
        ok = print(scenario.name, figure) && ok;
    return ok;
}

bool isSelected(const Scenario &scenario, const std::vector<char *> &names)
{
    return names.size() <= 1 || std::any_of(names.begin() + 1, names.end(), [&](const char *name) {
               return scenario.name == name;
           });
}

} // namespace

} // namespace jy::bench

int main(int argc, char **argv)
{
    using namespace jy::bench;
    absl::SetProgramUsageMessage("runs the named scenarios, or all, against real processes");
    const std::vector<char *> names = absl::ParseCommandLine(argc, argv);
    if (absl::GetFlag(FLAGS_list)) {
        for (const Scenario &scenario : scenarios())
            std::puts(scenario.name.c_str());
        return 0;
    }
    jy::EventLoop loop;
    bool ok = true;
    int selected = 0;
    loop.run([&] {
        for (const Scenario &scenario : scenarios()) {
            if (!isSelected(scenario, names))
                continue;
            ++selected;
            ok = runScenario(loop, scenario) && ok;
        }
    });
    if (selected == 0)
        std::fputs("no such scenario; see --list\n", stderr);
    return ok && selected > 0 ? 0 : 1;
}
