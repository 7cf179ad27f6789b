#include "jy_http/server/CallerMemoryShares.h"

#include <string>

namespace jy {

namespace {

constexpr double callerShare = 0.4;
constexpr double bodyShare = 0.25;

} // namespace

CallerMemoryShares CallerMemoryShares::create(double memoryMb, Metrics &metrics)
{
    constexpr double bytesPerMb = 1024 * 1024;
    const auto bytes = [&](double share) {
        return static_cast<std::size_t>(memoryMb * bytesPerMb * share);
    };
    auto all = CallerMemory::create(bytes(callerShare), [&metrics](MemoryClosure reason) {
        metrics
            .counter("jy_caller_connections_closed_total",
                     "Connections closed for lack of memory for callers.",
                     {{"reason", std::string(toString(reason))}})
            .add();
    });
    auto &held =
        metrics.gauge("jy_caller_memory_bytes", "Memory that callers make this instance hold.");
    metrics.addCollector([all, &held] { held.set(static_cast<double>(all->budget()->used())); });
    auto bodies = std::make_shared<ByteBudget>(bytes(bodyShare), all->budget());
    return {std::move(all), std::move(bodies)};
}

} // namespace jy
