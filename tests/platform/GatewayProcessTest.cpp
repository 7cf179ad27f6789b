#include "GatewayFleet.h"
#include "StandinDuties.h"

namespace jy::platform::test {

namespace {

TEST(GatewayProcessTest, KilledInstanceLeavesTheDirectory)
{
    withFleet([](GatewayFleet &fleet) {
        int runs = 0;
        fleet.addBackend(runs);
        fleet.configure(1);
        fleet.start(3);
        ASSERT_TRUE(within(startBound, [&] { return fleet.allReady(); }));
        EXPECT_TRUE(within(configBound,
                           [&] { return fleet.directoryAddressCount(fleet.instances[0]) == 3; }));
        for (const auto &instance : fleet.instances)
            EXPECT_EQ(fleet.call(instance), 200);
        EXPECT_EQ(runs, 3);
        fleet.instances[2].process->kill();
        EXPECT_TRUE(within(directoryBound,
                           [&] { return fleet.directoryAddressCount(fleet.instances[0]) == 2; }));
    });
}

TEST(GatewayProcessTest, StoreOutageDoesNotInterruptService)
{
    withFleet([](GatewayFleet &fleet) {
        int runs = 0;
        fleet.addBackend(runs);
        fleet.configure(1);
        fleet.start(2);
        ASSERT_TRUE(within(startBound, [&] { return fleet.allReady(); }));
        fleet.store.setDown(true);
        EventLoop::sleepFor(seconds(2));
        for (const auto &instance : fleet.instances)
            EXPECT_EQ(fleet.call(instance), 200);
        // An instance that starts now can read the configuration only from its peers.
        auto &late = fleet.startOne();
        EXPECT_TRUE(within(startBound, [&] { return fleet.call(late) == 200; }));
        fleet.store.setDown(false);
        fleet.configure(2, "/b/");
        EXPECT_TRUE(within(configBound + seconds(1), [&] {
            return std::ranges::all_of(fleet.instances, [&](const auto &instance) {
                return fleet.call(instance, "/b/x") == 200 && fleet.call(instance) == 404;
            });
        }));
    });
}

TEST(GatewayProcessTest, LostWatchHistoryHidesNoChange)
{
    withFleet([](GatewayFleet &fleet) {
        int runs = 0;
        fleet.addBackend(runs);
        fleet.configure(1);
        fleet.start(4);
        ASSERT_TRUE(within(startBound, [&] { return fleet.allReady(); }));
        fleet.store.put("servers/i-1", "unreadable");
        fleet.store.forgetHistory();
        EXPECT_TRUE(within(configBound, [&] {
            return std::ranges::all_of(
                fleet.instances, [&](const auto &instance) { return fleet.call(instance) == 503; });
        }));
    });
}

// Guards against one odd entry of another writer that ends the instances, or their following of the
// store.
TEST(GatewayProcessTest, OddEntriesDoNotHideLaterChanges)
{
    withFleet([](GatewayFleet &fleet) {
        int runs = 0;
        fleet.addBackend(runs);
        fleet.configure(1);
        fleet.start(4);
        ASSERT_TRUE(within(startBound, [&] { return fleet.allReady(); }));
        const std::string deep = std::string(10'000, '[') + std::string(10'000, ']');
        int version = 1;
        const auto follow = [&](const std::string &step) {
            const auto prefix = "/v" + std::to_string(++version) + '/';
            fleet.configure(version, prefix);
            EXPECT_TRUE(within(configBound + seconds(1), [&] {
                return std::ranges::all_of(fleet.instances, [&](const auto &instance) {
                    return fleet.call(instance, prefix + 'x') == 200;
                });
            })) << step;
        };
        const auto entry = [](const std::string &more) {
            return R"({"service":"s","address":"127.0.0.1:9","state":"ready")" + more + '}';
        };
        fleet.store.put("servers/deep", deep);
        fleet.store.put("servers/deep-field", entry(R"(,"more":)" + deep));
        follow("deeply nested");
        for (const auto *number : {"1e999", "1e300", "-1", "9223372036854775808", "1.5"})
            fleet.store.put("servers/n" + std::string(number),
                            entry(R"(,"slots":)" + std::string(number) + R"(,"cold_left_ms":)"
                                  + number + R"(,"born":)" + number));
        follow("numbers out of range");
        for (const auto *port : {"0", "65536", "99999999999", "-1"})
            fleet.store.put("servers/p" + std::string(port),
                            R"({"service":"s","address":"127.0.0.1:)" + std::string(port)
                                + R"(","state":"ready"})");
        fleet.store.put("instances/odd",
                        R"({"caller":"127.0.0.1:0","peer":"127.0.0.1:0",)"
                        R"("control":"127.0.0.1:0","link_mbps":1e300})");
        follow("ports out of range");
        fleet.store.put("servers/\xff\xfe", entry(""));
        follow("key with odd bytes");
        fleet.store.forgetHistory();
        follow("complete list with odd entries");
        EXPECT_TRUE(std::ranges::all_of(
            fleet.instances, [](const auto &instance) { return instance.process->running(); }));
    });
}

// Apart from lease renewals, the number of store calls must not grow with the fleet.
TEST(GatewayProcessTest, FewInstancesReadTheStore)
{
    withFleet([](GatewayFleet &fleet) {
        constexpr std::size_t count = 10;
        fleet.configure(1);
        fleet.start(count);
        ASSERT_TRUE(within(startBound, [&] { return fleet.allReady(); }));
        EventLoop::sleepFor(seconds(3));
        fleet.store.takeCalls();
        EventLoop::sleepFor(seconds(3));
        // Three readers with a watch of 0.6 s each, and a renewal of each lease every 1.3 s.
        const double watches = 3 * 3 / 0.6;
        const double renewals = count * 3 / 1.3;
        EXPECT_LE(static_cast<double>(fleet.store.takeCalls()), (watches + renewals) * 1.3);
    });
}

struct RestoreCase
{
    const char *name;
    std::chrono::milliseconds outage;

    /** Number of restores, one second apart. */
    int restores = 1;
    bool readerDies = false;
};

struct StoreRestoreTest : testing::TestWithParam<RestoreCase>
{ };

// Guards against changes that are ignored after the store came back from an older copy, because
// their revisions are lower than those of the lost ones.
TEST_P(StoreRestoreTest, LaterChangesTakeEffectEverywhere)
{
    withFleet([](GatewayFleet &fleet) {
        const auto &restored = GetParam();
        int runs = 0;
        fleet.addBackend(runs);
        fleet.configure(1);
        fleet.start(5);
        ASSERT_TRUE(within(startBound, [&] { return fleet.allReady(); }));
        const auto serves = [&](const std::string &path) {
            return within(configBound, [&] {
                return std::ranges::all_of(fleet.instances, [&](auto &instance) {
                    return !instance.process->running() || fleet.call(instance, path) == 200;
                });
            });
        };
        fleet.store.saveCopy();
        for (int version = 2; version < 12; ++version)
            fleet.configure(version, "/lost/");
        EXPECT_TRUE(serves("/lost/x"));
        for (int i = 0; i < restored.restores; ++i) {
            fleet.store.setDown(restored.outage.count() > 0);
            EventLoop::sleepFor(restored.outage);
            fleet.store.restore();
            fleet.store.setDown(false);
            if (restored.readerDies)
                fleet.instances.back().process->kill();
            EventLoop::sleepFor(seconds(1));
        }
        fleet.startOne();
        fleet.configure(20, "/b/");
        fleet.store.takeCalls();
        EXPECT_TRUE(serves("/b/x"));
        ASSERT_TRUE(
            within(startBound, [&] { return fleet.call(fleet.instances.back(), "/b/x") == 200; }));
        fleet.configure(21, "/c/");
        EXPECT_TRUE(serves("/c/x"));
        EXPECT_LE(fleet.store.takeCalls(), 150U);
    });
}

INSTANTIATE_TEST_SUITE_P(Restores, StoreRestoreTest,
                         testing::Values(RestoreCase{"no_outage", milliseconds(0)},
                                         RestoreCase{"outage", seconds(2)},
                                         RestoreCase{"twice", milliseconds(200), 2},
                                         RestoreCase{"reader_dies", milliseconds(0), 1, true}),
                         [](const auto &testCase) { return testCase.param.name; });

// Guards against requests that no report contains, or two, and against duties that nobody performs:
// the holder is killed, the next one is stopped as planned, and the third one reports the rest.
TEST(GatewayProcessTest, UsageIsReportedOnceThroughChangesOfTheHolder)
{
    EventLoop loop;
    loop.run([&] {
        StandinDuties platform(loop);
        GatewayFleet fleet(loop);
        int runs = 0;
        fleet.addBackend(runs);
        fleet.store.put("op/config",
                        R"({"version":1,"routes":[{"name":"r","host":"h","prefix":"/a/",)"
                        R"("route_kind":"unsafe","service":"s","timeout_ms":3000}],"services":)"
                        R"([{"name":"s","scaling":{"min":2,"max":5,"boot_s":8}}],"limits":{},)"
                        R"("tenants":[{"name":"w","api_keys":["k"]}]})");
        fleet.moreSettings = R"(,"duties":{"names":["usage_report","autoscale","other"],)"
                             R"("address":")"
            + toString(platform.endpoint())
            + R"(","leaseMs":1000,"usageWindowSeconds":1,"usageDueSeconds":10})";
        platform.leaseTime = seconds(1);
        fleet.start(3);
        ASSERT_TRUE(within(startBound, [&] { return fleet.allReady(); }));
        const auto reported = [&] {
            std::uint64_t sum = 0;
            for (const auto &[window, count] : platform.reported)
                sum += count;
            return static_cast<int>(sum);
        };
        const auto callAll = [&] {
            for (const auto &instance : fleet.instances) {
                if (instance.process->running())
                    EXPECT_EQ(fleet.call(instance, "/a/x", "k"), 200);
            }
        };
        const auto holder = [&]() -> GatewayFleet::Instance & {
            return *std::ranges::find(fleet.instances, platform.holders.back(),
                                      [](const auto &entry) { return entry.addresses.id; });
        };
        callAll();
        ASSERT_TRUE(within(seconds(15), [&] { return reported() == runs; }));
        // A moderate load is no reason to order servers.
        EXPECT_TRUE(platform.ordered.empty());
        callAll();
        // By then the counts have reached the other collectors.
        EventLoop::sleepFor(milliseconds(1200));
        holder().process->kill();
        EXPECT_TRUE(within(seconds(20), [&] { return reported() == runs; }));
        callAll();
        holder().process->terminate();
        EXPECT_TRUE(within(seconds(20), [&] { return reported() == runs; }));
        EXPECT_EQ(reported(), runs);
        EXPECT_EQ(platform.holders.size(), 3U);
        EXPECT_EQ(platform.violations, std::vector<std::string>());
    });
}

} // namespace

} // namespace jy::platform::test
