#include "PlacementBench.h"

#include <cstdlib>
#include <iomanip>
#include <iostream>

/** Prints all placement measurements. Argument: the seed, default 1. */
int main(int argc, char **argv)
{
    const std::uint64_t seed = argc > 1 ? std::strtoull(argv[1], nullptr, 10) : 1;
    std::cout << std::fixed << std::setprecision(2);
    jy::bench::measureCacheReuse(std::cout, seed);
    jy::bench::measureLoadSkew(std::cout, seed);
    jy::bench::measureOwnershipOvershoot(std::cout, seed);
    jy::bench::measureCosts(std::cout, seed);
    return 0;
}
