#pragma once

#include <chrono>
#include <cstddef>
#include <vector>

namespace jy::bench {

/** Cost of one change of one workspace at a given number of workspaces. */
struct ConfigChangeCost
{
    std::size_t workspaces = 0;

    /** Sent to each router: the head and the changed part. */
    std::size_t bytesPerRouter = 0;

    /** Complete state, as a starting router fetches it. */
    std::size_t bytesComplete = 0;

    /** Values written to the KV service, and their number. */
    std::size_t bytesWritten = 0;
    std::size_t writes = 0;

    /** Median processor time of the apply: parse, validate, compare, split. */
    std::chrono::microseconds applyCpu{0};

    /** Median processor time of the adoption on each router. */
    std::chrono::microseconds adoptCpu{0};
};

/** Measures with generated states. @param repetitions changes per size, of different workspaces */
std::vector<ConfigChangeCost> measureConfigChanges(const std::vector<std::size_t> &workspaces,
                                                   int repetitions);

/** Least-squares slope of a cost over the number of workspaces, for docs/CAPACITY.md. */
double slopePerWorkspace(const std::vector<ConfigChangeCost> &costs,
                         double (*value)(const ConfigChangeCost &));

} // namespace jy::bench
