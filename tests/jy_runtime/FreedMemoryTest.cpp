#include "jy_runtime/program/FreedMemory.h"

#include <gtest/gtest.h>

#include <string>
#include <vector>

namespace {

struct Use
{
    std::size_t peak;
    std::size_t used;
    bool returned;
};

struct FreedMemoryCase
{
    std::string name;
    std::vector<Use> uses;
};

class FreedMemoryCases : public testing::TestWithParam<FreedMemoryCase>
{ };

// Guards against freed memory that is never returned, and against the time that it takes to return
// it when little was freed.
TEST_P(FreedMemoryCases, IsReturnedOnceMuchWasFreed)
{
    jy::FreedMemory memory(10);
    for (const auto &use : GetParam().uses)
        EXPECT_EQ(memory.update(use.peak, use.used), use.returned) << use.peak << ", " << use.used;
}

INSTANTIATE_TEST_SUITE_P(
    Uses, FreedMemoryCases,
    testing::Values(FreedMemoryCase{"Calm", {{5, 5, false}, {9, 0, false}, {5, 5, false}}},
                    FreedMemoryCase{"Growth", {{10, 10, false}, {50, 50, false}}},
                    FreedMemoryCase{"PeakBetweenCalls", {{0, 0, false}, {50, 0, true}}},
                    FreedMemoryCase{"FallInSteps",
                                    {{30, 30, false}, {30, 25, false}, {25, 20, true}}},
                    FreedMemoryCase{"OncePerFall", {{50, 0, true}, {5, 5, false}, {9, 0, false}}}),
    [](const auto &info) { return info.param.name; });

} // namespace
