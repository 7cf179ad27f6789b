#include "jy_runtime/program/FreedMemory.h"

#include <algorithm>

#ifdef __GLIBC__
#include <malloc.h>
#endif

namespace jy {

namespace {

#ifdef __GLIBC__
// Above the buffers of reads and writes, which are too frequent for a system call each. With 64 KB,
// bodies that grow in the heap left freed blocks of up to 32 KB behind.
constexpr int largeBlockBytes = 32 * 1024;

constexpr int keptAtEndBytes = 64 * 1024;
#endif

} // namespace

void FreedMemory::returnLargeBlocks()
{
#ifdef __GLIBC__
    // Without a fixed threshold, glibc raises it to the size of each block that is freed, and takes
    // later ones from the heap.
    ::mallopt(M_MMAP_THRESHOLD, largeBlockBytes);
    ::mallopt(M_TRIM_THRESHOLD, keptAtEndBytes);
#endif
}

bool FreedMemory::update(std::size_t peak, std::size_t used)
{
    highest_ = std::max({highest_, peak, used});
    if (highest_ - used < step_)
        return false;
    highest_ = used;
#ifdef __GLIBC__
    ::malloc_trim(0);
#endif
    return true;
}

} // namespace jy
