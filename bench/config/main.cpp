#include "ConfigBench.h"

#include <cstdio>

int main()
{
    using jy::bench::ConfigChangeCost;
    constexpr int repetitions = 31;
    const auto costs = jy::bench::measureConfigChanges({100, 1000, 3000, 9000}, repetitions);
    std::printf("workspaces bytes/router bytes_complete writes bytes_written apply_us adopt_us\n");
    for (const auto &cost : costs)
        std::printf("%10zu %12zu %14zu %6zu %13zu %8lld %8lld\n", cost.workspaces,
                    cost.bytesPerRouter, cost.bytesComplete, cost.writes, cost.bytesWritten,
                    static_cast<long long>(cost.applyCpu.count()),
                    static_cast<long long>(cost.adoptCpu.count()));
    const auto print = [&](const char *name, double (*value)(const ConfigChangeCost &)) {
        std::printf("slope %s: %.3f per workspace\n", name,
                    jy::bench::slopePerWorkspace(costs, value));
    };
    print("bytes/router", [](const auto &c) { return static_cast<double>(c.bytesPerRouter); });
    print("apply_us", [](const auto &c) { return static_cast<double>(c.applyCpu.count()); });
    print("adopt_us", [](const auto &c) { return static_cast<double>(c.adoptCpu.count()); });
}
