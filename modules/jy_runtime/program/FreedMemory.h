#pragma once

#include <cstddef>

namespace jy {

/**
 * Returns freed memory of the heap to the system.
 *
 * The allocator keeps freed memory between blocks that are still in use and may not find it fit for
 * the next requests. A process that serves bursts of large and small blocks would grow with each of
 * them.
 */
class FreedMemory
{
public:
    /**
     * Lets the allocator return large blocks as soon as they are freed. Called at the start of a
     * program, before its first large block.
     */
    static void returnLargeBlocks();

    /** @param step bytes by which the use has to fall before smaller blocks are returned */
    explicit FreedMemory(std::size_t step)
        : step_(step)
    { }

    /**
     * Returns the memory of freed smaller blocks if much was freed since the last time. This takes
     * milliseconds, so it is to be called about once per second.
     *
     * @param peak largest use since the last call, in bytes
     * @param used use at present, in bytes
     * @returns whether memory was returned
     */
    bool update(std::size_t peak, std::size_t used);

private:
    std::size_t step_;

    /** Largest use since memory was last returned. */
    std::size_t highest_ = 0;
};

} // namespace jy
