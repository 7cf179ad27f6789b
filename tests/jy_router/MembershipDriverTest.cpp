#include "jy_router/membership/MembershipDriver.h"
#include "jy_core/membership/RouterChoice.h"

#include <gtest/gtest.h>

using namespace std::chrono_literals;

namespace {

/** Routers on loopback sockets with short periods. */
class DriverFleet
{
public:
    struct Router
    {
        std::unique_ptr<jy::MembershipDriver> driver;
        jy::StopToken stop;
        std::vector<jy::Event> events;
        std::vector<jy::PoolTotals> totals;
        std::uint64_t revisionSeen = 0;
    };

    explicit DriverFleet(jy::EventLoop &loop)
        : loop_(loop)
    { }

    ~DriverFleet()
    {
        for (auto &router : routers)
            router->stop.requestStop();
        jy::EventLoop::sleepFor(50ms);
    }

    Router &start(const std::string &name, std::function<jy::Result<jy::InstanceSnapshot>()> fetch)
    {
        auto router = std::make_unique<Router>();
        auto *entry = router.get();
        jy::MembershipDriverDependencies dependencies{.loop = loop_};
        dependencies.keys = jy::KeyRing::create({{"k", std::string(32, 's')}}, "k").value();
        dependencies.fetchInstances = std::move(fetch);
        dependencies.events = [entry](jy::Event event) {
            entry->events.push_back(std::move(event));
        };
        dependencies.poolTotals = [entry](const auto &sum) { entry->totals.push_back(sum); };
        dependencies.headRevisionSeen = [entry](std::uint64_t revision, const auto &) {
            entry->revisionSeen = revision;
        };
        jy::MembershipDriverSettings settings;
        settings.membership.probePeriod = 100ms;
        settings.membership.probeTimeout = 40ms;
        settings.membership.suspicionTimeout = 200ms;
        settings.tickInterval = 20ms;
        settings.listInterval = 50ms;
        settings.largestListBackOff = 100ms;
        if (!routers.empty())
            settings.membership.seeds = {routers.front()->driver->membership().self().gossip};
        jy::MemberInfo self{.id = jy::InstanceId(name), .region = jy::RegionId("r")};
        self.gossip = {"127.0.0.1", 0};
        self.incarnation = 1;
        router->driver =
            jy::MembershipDriver::create(std::move(dependencies), settings, self, 7).value();
        jy::EventLoop::spawn([entry] { entry->driver->runProbes(entry->stop); });
        jy::EventLoop::spawn([entry] { entry->driver->runInstanceList(entry->stop); });
        routers.push_back(std::move(router));
        return *entry;
    }

    static bool waitFor(const std::function<bool()> &condition)
    {
        for (int i = 0; i < 500 && !condition(); ++i)
            jy::EventLoop::sleepFor(10ms);
        return condition();
    }

    std::vector<std::unique_ptr<Router>> routers;

private:
    jy::EventLoop &loop_;
};

bool hasEvent(const DriverFleet::Router &router, const std::string &kind)
{
    return std::any_of(router.events.begin(), router.events.end(),
                       [&](const jy::Event &event) { return event.kind == kind; });
}

const auto emptyList = [] { return jy::Result<jy::InstanceSnapshot>(jy::InstanceSnapshot{}); };

// Guards against actions of the state machine that are not carried out: datagrams, hooks, pool
// totals and the withdrawal of a router.
TEST(MembershipDriver, RoutersFindEachOtherAndShareLoadAndRevisions)
{
    jy::EventLoop loop;
    loop.run([&] {
        DriverFleet fleet(loop);
        for (const auto *name : {"a", "b", "c"})
            fleet.start(name, emptyList);
        const auto &routers = fleet.routers;
        const auto live = [&](std::size_t count) {
            return std::all_of(routers.begin(), routers.end(), [&](const auto &router) {
                return router->driver->membership().liveRouters().size() == count;
            });
        };
        ASSERT_TRUE(DriverFleet::waitFor([&] { return live(3); }));

        int watchers = 0;
        for (const auto &router : routers) {
            watchers += router->driver->watchesConfig() ? 1 : 0;
            router->driver->reportPool({"m@r", 2, 1, 4, 0});
        }
        EXPECT_EQ(watchers, 2);
        EXPECT_TRUE(DriverFleet::waitFor([&] {
            return std::any_of(routers.begin(), routers.end(), [](const auto &router) {
                return !router->totals.empty() && router->totals.back().sum.inFlight == 6;
            });
        }));
        routers[0]->driver->setAppliedRevision(4);
        EXPECT_TRUE(DriverFleet::waitFor([&] { return routers[2]->revisionSeen == 4; }));
        routers[1]->driver->leave();
        EXPECT_TRUE(DriverFleet::waitFor([&] { return live(2); }));
        EXPECT_TRUE(hasEvent(*routers[0], "member-changed"));
    });
}

// Guards against a driver that gives up on the list, or that floods it, when it cannot be read.
TEST(MembershipDriver, TheInstanceListIsReadAgainAfterAnOutage)
{
    jy::EventLoop loop;
    loop.run([&] {
        DriverFleet fleet(loop);
        int calls = 0;
        auto &router = fleet.start("a", [&]() -> jy::Result<jy::InstanceSnapshot> {
            if (++calls <= 3)
                return jy::failure(jy::ErrorKind::KvUnavailable, "down");
            return jy::InstanceSnapshot{};
        });
        EXPECT_TRUE(
            DriverFleet::waitFor([&] { return hasEvent(router, "instance-list-available"); }));
        EXPECT_TRUE(hasEvent(router, "instance-list-unavailable"));
        EXPECT_EQ(router.events.size(), 2U);
        EXPECT_LE(calls, 6);
    });
}

} // namespace
