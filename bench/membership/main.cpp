#include "ControlTraffic.h"

#include <cstdio>
#include <cstdlib>

/** Prints control traffic by fleet size. Usage: membership [seed] */
int main(int argc, char **argv)
{
    jy::bench::ControlTrafficSettings settings;
    if (argc > 1)
        settings.seed = std::strtoull(argv[1], nullptr, 10);
    const auto report = jy::bench::measureControlTraffic(settings);
    std::printf("seed=%llu loss=%.4f\n", static_cast<unsigned long long>(settings.seed),
                settings.loss);
    std::printf("routers B/s B/s_max B/s_revision cpu_us/s killed_ms seen_ms confirmed_ms "
                "largest_datagram\n");
    for (const auto &point : report.points) {
        std::printf("%zu %.0f %.0f %.0f %.0f %lld %lld %lld %zu\n", point.routers,
                    point.sentBytesPerSecond, point.largestSentBytesPerSecond,
                    point.revisionBytesPerSecond, point.cpuMicrosecondsPerSecond,
                    static_cast<long long>(point.killedKnownEverywhere.count()),
                    static_cast<long long>(point.revisionSeenEverywhere.count()),
                    static_cast<long long>(point.revisionConfirmedEverywhere.count()),
                    point.largestDatagramBytes);
    }
    std::printf("slope per router: %.2f B/s, %.2f us/s\n", report.bytesSlope, report.cpuSlope);
    return 0;
}
