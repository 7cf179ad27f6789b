#include "DutyStore.h"

#include "jy_gateway/registry/Registration.h"
#include "jy_gateway/registry/StoreEraTracker.h"
#include "jy_runtime/fibers/EventLoop.h"

#include <gtest/gtest.h>

namespace jy::test {

namespace {

using Leases = std::vector<std::pair<StoreEra, std::uint64_t>>;

/** An instance that registers in a store in memory. */
struct RegisteringInstance
{
    DutyStore store;
    StoreFault fault = StoreFault::None;
    StoreEraTracker era{[](StoreEra, StoreEra) {}};
    SharedStore shared = store.open(fault, [this](StoreEra seen) { era.observe(seen); });
    Registration registration{shared,
                              "instances/a",
                              "value",
                              {.renewal = milliseconds(400), .restoreSpread = milliseconds(50)},
                              [this] { return era.current(); }};
    StopToken stop;

    /** Another process gets the lease identifier that the lost lease of this one had. */
    void restoreAndReassignLeases()
    {
        store.restore(0);
        const StoreFault none = StoreFault::None;
        ASSERT_TRUE(store.open(none).grantLease(milliseconds(8000)));
    }

    /** Runs the registration, and @p steps beside it once it has registered. */
    void run(const std::function<void()> &steps)
    {
        store.saveCopy();
        EventLoop loop;
        loop.run([&] {
            EventLoop::spawn([&] { registration.run(stop); });
            EventLoop::sleepFor(milliseconds(50));
            ASSERT_TRUE(store.items.contains("instances/a"));
            steps();
            stop.requestStop();
            EventLoop::sleepFor(milliseconds(10));
        });
    }
};

// Guards against instances that are missing from the store until their next renewal, or that keep
// the lease of another one, after the store came back from an older copy.
TEST(RegistrationTest, RegistersAgainAfterARestore)
{
    RegisteringInstance instance;
    instance.run([&] {
        instance.restoreAndReassignLeases();
        instance.era.observe(instance.store.era);
        EventLoop::sleepFor(milliseconds(300));
        EXPECT_TRUE(instance.store.items.contains("instances/a"));
        EXPECT_EQ(instance.store.renewed, Leases());
    });
}

// Guards against an instance that takes the renewal of another one's lease for its own, when the
// response is the first that shows the restore.
TEST(RegistrationTest, RegistersAgainWhenARenewalShowsARestore)
{
    RegisteringInstance instance;
    instance.run([&] {
        instance.restoreAndReassignLeases();
        EventLoop::sleepFor(milliseconds(600));
        EXPECT_TRUE(instance.store.items.contains("instances/a"));
    });
}

// Guards against the end of another instance's lease at a planned stop.
TEST(RegistrationTest, WithdrawsNoLeaseOfAnEarlierEra)
{
    RegisteringInstance instance;
    instance.run([&] {
        instance.restoreAndReassignLeases();
        instance.era.observe(instance.store.era);
        instance.registration.withdraw();
        EXPECT_EQ(instance.store.ended, Leases());
    });
}

} // namespace

} // namespace jy::test
