#include "jy_router/orders/OrderDriver.h"

#include <gtest/gtest.h>

using namespace std::chrono_literals;

namespace {

/** One router, one empty engine, and a KV service whose answers can be delayed. */
struct Bench
{
    explicit Bench(bool checksFencing)
    {
        state->revision = 1;
        state->global.weightBytesPerSecond = 100;
        jy::ModelSpec model;
        model.id = jy::ModelId("tutor");
        model.serve = jy::VersionId("v1");
        model.weightBytes = 1000;
        state->models.emplace(model.id, model);
        for (const char *name : {"e1", "e2"}) {
            jy::BackendServer engine;
            engine.id = jy::ServerId(name);
            engine.model = model.id;
            engine.checksFencing = checksFencing;
            engines.push_back(engine);
        }
    }

    jy::OrderDriver create()
    {
        jy::OrderDriverDependencies hooks;
        hooks.now = [this] { return now; };
        hooks.desiredState = [this] { return std::shared_ptr<const jy::DesiredState>(state); };
        hooks.moveTable = [this]() -> const jy::MoveTable & { return moveTable; };
        hooks.servers = [this] { return engines; };
        hooks.preferred = [] { return true; };
        hooks.acquireOrRenew = [this](std::chrono::milliseconds) -> jy::Result<std::uint64_t> {
            now += answerDelay;
            if (kvDown)
                return jy::failure(jy::ErrorKind::KvUnavailable, "down");
            return std::uint64_t{5};
        };
        hooks.release = [] {};
        hooks.send = [this](const jy::PlannedOrder &order, std::uint64_t) -> jy::Result<void> {
            sent.push_back(order.server);
            return jy::success();
        };
        hooks.event = [](const auto &, const auto &, const auto &) {};
        return {std::move(hooks), jy::OrderLeaseSettings{}};
    }

    jy::TimePoint now{1h};
    std::chrono::milliseconds answerDelay{0};
    bool kvDown = false;
    std::shared_ptr<jy::DesiredState> state = std::make_shared<jy::DesiredState>();
    jy::MoveTable moveTable;
    std::vector<jy::BackendServer> engines;
    std::vector<jy::ServerId> sent;
};

// Guards against loads that exceed the weight store's rate.
TEST(OrderDriver, LoadsOneEngineAtATimeWithinTheWeightStoreRate)
{
    Bench bench(true);
    auto driver = bench.create();
    for (int second = 0; second < 11; ++second, bench.now += 1s)
        driver.tick();
    EXPECT_EQ(bench.sent, (std::vector{jy::ServerId("e1"), jy::ServerId("e2")}));
}

// Guards against orders after a grant whose answer came so late that the lease has expired.
TEST(OrderDriver, SendsNothingWhenTheGrantArrivesAfterTheLeaseTime)
{
    Bench bench(true);
    bench.answerDelay = 20s;
    auto driver = bench.create();
    driver.tick();
    EXPECT_TRUE(bench.sent.empty());
}

// Guards against orders of a holder that can no longer renew.
TEST(OrderDriver, StopsBeforeTheLeaseEndsWhileTheKvServiceIsDown)
{
    Bench bench(false);
    auto driver = bench.create();
    driver.tick();
    bench.kvDown = true;
    const auto granted = bench.now;
    jy::TimePoint lastOrder = granted;
    for (int second = 0; second < 40; ++second, bench.now += 1s) {
        const auto before = bench.sent.size();
        driver.tick();
        if (bench.sent.size() > before)
            lastOrder = bench.now;
    }
    const jy::OrderLeaseSettings settings;
    EXPECT_FALSE(bench.sent.empty());
    EXPECT_LE(lastOrder + settings.longestOrder,
              granted + settings.timeToLive - settings.guardInterval);
}

} // namespace
