#pragma once

#include "jy_http/messages/ByteBudget.h"
#include "jy_http/server/CallerMemory.h"
#include "jy_runtime/metrics/Metrics.h"

#include <memory>

namespace jy {

/** What the callers of a process may make it hold of its machine's memory. */
struct CallerMemoryShares
{
    /** Two fifths of the machine's memory; the rest is left to the process itself. */
    std::shared_ptr<CallerMemory> all;

    /** A part of it for bodies: a quarter of the machine's memory. */
    std::shared_ptr<ByteBudget> bodies;

    /**
     * @param memoryMb memory of the machine, in MB
     * @param metrics gets jy_caller_memory_bytes and jy_caller_connections_closed_total; must
     *        outlive all connections
     */
    static CallerMemoryShares create(double memoryMb, Metrics &metrics);
};

} // namespace jy
