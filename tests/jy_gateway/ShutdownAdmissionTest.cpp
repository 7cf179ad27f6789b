#include "jy_gateway/relay/ShutdownAdmission.h"

#include <gtest/gtest.h>

namespace jy {

namespace {

using namespace std::chrono_literals;

struct Arrival
{
    std::string name;

    /** Time from the signal to the request, and the request's timeout. */
    Duration at;
    Duration timeout;
    bool admitted;
};

class ShutdownArrival : public testing::TestWithParam<Arrival>
{ };

// Guards against requests that are passed on and cut off by the end of the process. The instance
// admits all requests for 2.5 s and interrupts the running ones after 7.4 s.
TEST_P(ShutdownArrival, IsPassedOnIfItCanBeAnswered)
{
    const TimePoint signal{100s};
    ShutdownAdmission admission;
    admission.begin(signal + 2500ms, signal + 7400ms);
    const auto now = signal + GetParam().at;
    EXPECT_EQ(admission.admits(now, now + GetParam().timeout), GetParam().admitted);
}

INSTANTIATE_TEST_SUITE_P(Arrivals, ShutdownArrival,
                         testing::Values(Arrival{"AtOnce", 0s, 30s, true},
                                         Arrival{"BeforeAddressesExpire", 2500ms, 30s, true},
                                         Arrival{"LateButShort", 5s, 2400ms, true},
                                         Arrival{"LateAndTooLong", 5s, 2401ms, false},
                                         Arrival{"JustAfterAddressesExpire", 2501ms, 6s, false},
                                         Arrival{"AfterTheEnd", 8s, 1ms, false}),
                         [](const auto &info) { return info.param.name; });

TEST(ShutdownAdmissionTest, EveryRequestIsPassedOnBeforeAShutdown)
{
    EXPECT_TRUE(ShutdownAdmission().admits(TimePoint(1s), TimePoint(1h)));
}

} // namespace

} // namespace jy
