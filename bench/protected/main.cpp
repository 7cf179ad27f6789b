#include "ProtectedBench.h"

#include <cstdio>

int main()
{
    using namespace std::chrono_literals;
    constexpr int bodyBytes = 300;
    std::printf("calls/s kv_writes/s kv_reads/s kv_kbytes/s claim_p50_ms claim_p99_ms cpu_us/call "
                "refused\n");
    for (const auto &cost :
         jy::bench::measureProtectedCalls({1, 10, 50, 100, 200, 400, 800}, 30s, {}, bodyBytes))
        std::printf("%7d %11.1f %10.1f %11.1f %12.1f %12.1f %11.1f %7d\n", cost.callsPerSecond,
                    cost.kvWritesPerSecond, cost.kvReadsPerSecond, cost.kvBytesPerSecond / 1000,
                    static_cast<double>(cost.claimMedian.count()) / 1000,
                    static_cast<double>(cost.claim99th.count()) / 1000, cost.cpuPerCall.count(),
                    cost.refused);
}
