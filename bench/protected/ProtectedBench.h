#pragma once

#include <chrono>
#include <vector>

namespace jy::bench {

/** Latency of the simulated KV service. */
struct KvLatency
{
    std::chrono::milliseconds read{3};
    std::chrono::milliseconds write{5};
};

/** Load on the KV service and claim latency at one rate of protected calls. */
struct ProtectedCallCost
{
    int callsPerSecond = 0;
    double kvWritesPerSecond = 0;
    double kvReadsPerSecond = 0;
    double kvBytesPerSecond = 0;
    std::chrono::microseconds claimMedian{0};
    std::chrono::microseconds claim99th{0};

    /** Processor time of the ledger per call, for claim and outcome. */
    std::chrono::duration<double, std::micro> cpuPerCall{0};

    /** Claims that were not granted, for example because a shard was full. */
    int refused = 0;
};

/**
 * Runs the ledger of the whole fleet in simulated time: calls at random times, each with an
 * outcome of @p bodyBytes 100 ms after its claim.
 */
std::vector<ProtectedCallCost> measureProtectedCalls(const std::vector<int> &callsPerSecond,
                                                     std::chrono::seconds span,
                                                     const KvLatency &latency, int bodyBytes);

} // namespace jy::bench
