#include "jy_router/config/ConfigDriver.h"

#include "jy_core/ConfigFakeKv.h"
#include "jy_runtime/jy_runtime.h"

#include <gtest/gtest.h>

#include <algorithm>
#include <deque>

namespace {

using namespace jy;
using namespace std::chrono_literals;
using jy::test::ConfigFakeKv;
using jy::test::KvFault;

std::string fileWith(int weight)
{
    return R"({"models": {"m": {"serve": "v1", "versions": ["v1"]}}, "workspaces": {"w": )"
           R"({"models": ["m"], "weight": )"
        + std::to_string(weight) + "}}}";
}

/** Drivers that share a fake KV service and reach each other directly. */
class Fleet
{
public:
    struct Node
    {
        std::unique_ptr<ConfigDriver> driver;
        std::vector<std::uint64_t> seen;
        std::vector<std::string> events;
        StopToken stop;
        bool watches = false;
    };

    Node &add(bool watches)
    {
        const auto index = nodes_.size();
        auto &node = nodes_.emplace_back();
        node.watches = watches;
        ConfigDriverSettings settings{.self = InstanceId(std::to_string(index)),
                                      .watchWait = 20ms,
                                      .checkInterval = 5ms,
                                      .kvPause = 5ms,
                                      .kvPauseMax = 20ms,
                                      .replyBytes = 100};
        settings.apply.timeout = 50ms;
        settings.apply.retryPause = 5ms;
        node.driver = std::make_unique<ConfigDriver>(settings, hooks(index));
        node.driver->subscribe(
            [&node](const auto &state) { node.seen.push_back(state->revision); });
        ++running_;
        EventLoop::spawn([this, &node] { node.driver->watch(node.stop), --running_; });
        ++running_;
        EventLoop::spawn([this, &node] { node.driver->follow(node.stop), --running_; });
        return node;
    }

    ~Fleet()
    {
        for (auto &node : nodes_)
            node.stop.requestStop();
        while (running_ > 0)
            EventLoop::sleepFor(1ms);
    }

    ConfigFakeKv kv;
    KvFault fault = KvFault::None;
    bool peersReachable = true;
    std::size_t kvReads = 0;

private:
    ConfigDriver::Dependencies hooks(std::size_t index)
    {
        return {.readKey =
                    [this](const auto &key) {
                        ++kvReads;
                        return kv.read(key, fault);
                    },
                .watchKey =
                    [this](const auto &key, std::uint64_t after, auto wait) {
                        const auto until = std::chrono::steady_clock::now() + wait;
                        auto value = kv.read(key, fault);
                        while (value && value.value() && value.value()->index == after
                               && std::chrono::steady_clock::now() < until) {
                            EventLoop::sleepFor(1ms);
                            value = kv.read(key, fault);
                        }
                        return value;
                    },
                .swapKey = [this](const auto &key, const auto &value,
                                  auto index) { return kv.swap(key, value, index, fault); },
                .watchesHead = [this, index] { return nodes_[index].watches; },
                .peers = [this, index] { return peersOf(index); },
                .fetchConfig = [this](const auto &id, const auto &request,
                                      auto) -> Result<peer::FetchConfigReply> {
                    EventLoop::sleepFor(1ms);
                    if (!peersReachable)
                        return failure(ErrorKind::PeerUnreachable, "cut");
                    return nodes_[std::stoul(id.value())].driver->serve(request);
                },
                .announce = nullptr,
                .events = [this, index](
                              const auto &event) { nodes_[index].events.push_back(event.kind); }};
    }

    std::vector<ConfigPeer> peersOf(std::size_t index) const
    {
        std::vector<ConfigPeer> peers;
        for (std::size_t i = 0; i < nodes_.size(); ++i) {
            if (i == index || !nodes_[i].driver)
                continue;
            const auto state = nodes_[i].driver->current();
            peers.push_back({InstanceId(std::to_string(i)), state ? state->revision : 0});
        }
        return peers;
    }

    std::deque<Node> nodes_;
    int running_ = 0;
};

bool eventually(const std::function<bool()> &condition)
{
    for (int i = 0; i < 2000 && !condition(); ++i)
        EventLoop::sleepFor(1ms);
    return condition();
}

template <class Body>
void onLoop(Body body)
{
    EventLoop loop;
    loop.run([&] {
        Fleet fleet;
        body(fleet);
    });
}

// Guards against routers that poll the KV service instead of following watchers, and against
// subscribers that see a revision twice or out of order.
TEST(ConfigDriver, FollowersFetchChangedPartsFromPeers)
{
    onLoop([](Fleet &fleet) {
        auto &watcher = fleet.add(true);
        auto &follower = fleet.add(false);
        ASSERT_TRUE(watcher.driver->apply({.text = fileWith(1), .requestId = "a"}));
        ASSERT_TRUE(eventually([&] { return follower.driver->ready(); }));
        const auto reads = fleet.kvReads;
        ASSERT_TRUE(watcher.driver->apply({.text = fileWith(2), .requestId = "b"}));
        const auto applyReads = fleet.kvReads - reads;
        ASSERT_TRUE(eventually([&] { return follower.seen.size() == 2; }));
        EXPECT_EQ(follower.seen, (std::vector<std::uint64_t>{1, 2}));
        EXPECT_EQ(fleet.kvReads - reads, applyReads) << "the follower read the KV service";
        const auto status = follower.driver->status();
        EXPECT_EQ(status.inForce, 2U);
        EXPECT_TRUE(status.lagging.empty());
    });
}

// Guards against a change applied elsewhere that a watcher misses, and a silent lag.
TEST(ConfigDriver, TheWatcherSeesAChangeOfAnotherRegion)
{
    onLoop([](Fleet &fleet) {
        auto &watcher = fleet.add(true);
        auto &writer = fleet.add(false);
        fleet.peersReachable = false;
        ASSERT_TRUE(writer.driver->apply({.text = fileWith(1), .requestId = "a"}));
        EXPECT_EQ(writer.driver->status().lagging, std::vector{InstanceId("0")});
        EXPECT_TRUE(eventually([&] { return watcher.driver->ready(); }));
    });
}

// Guards against a router that starts in an outage of the KV service and never becomes ready, or
// becomes ready without the revision that its peers hold.
TEST(ConfigDriver, ARouterStartedDuringAnOutageTakesTheStateOfItsPeers)
{
    onLoop([](Fleet &fleet) {
        auto &first = fleet.add(true);
        ASSERT_TRUE(first.driver->apply({.text = fileWith(1), .requestId = "a"}));
        fleet.fault = KvFault::Down;
        fleet.peersReachable = false;
        auto &late = fleet.add(false);
        EventLoop::sleepFor(50ms);
        EXPECT_FALSE(late.driver->ready());
        fleet.peersReachable = true;
        ASSERT_TRUE(eventually([&] { return late.driver->ready(); }));
        EXPECT_EQ(*late.driver->current(), *first.driver->current());
        EXPECT_FALSE(late.driver->status().kvAvailable);
    });
}

// Guards against an apply that hangs or claims success while the KV service is down.
TEST(ConfigDriver, AnApplyDuringAnOutageIsNotApplied)
{
    onLoop([](Fleet &fleet) {
        auto &node = fleet.add(true);
        fleet.fault = KvFault::Down;
        const auto result = node.driver->apply({.text = fileWith(1), .requestId = "a"});
        ASSERT_FALSE(result);
        EXPECT_EQ(result.error().kind, ErrorKind::KvUnavailable);
        EXPECT_NE(std::find(node.events.begin(), node.events.end(), "config-apply-failed"),
                  node.events.end());
    });
}

} // namespace
