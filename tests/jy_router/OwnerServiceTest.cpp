#include "jy_router/ownership/OwnerService.h"
#include "jy_router/ownership/ReservationClient.h"
#include "jy_runtime/fibers/EventLoop.h"

#include <gtest/gtest.h>

#include <algorithm>

using namespace std::chrono_literals;
using namespace jy;

namespace {

const RegionId region{"r"};

/** Routers that call each other's handlers directly, with a clock that the test moves. */
class Fleet
{
public:
    struct Node
    {
        ServerDirectory directory{region, nullptr};
        OwnershipMap ownership;
        std::unique_ptr<OwnerService> owner;
        std::unique_ptr<ReservationClient> client;
        bool reachable = true;
    };

    explicit Fleet(int servers, int maxConcurrency = 8)
    {
        state->domains[DomainId("a")] = {DomainId("a"), region};
        state->models[ModelId("m")] = {
            .id = ModelId("m"), .maxConcurrency = maxConcurrency, .loadFloor = 100};
        for (int i = 0; i < servers; ++i) {
            list.push_back({.id = ServerId("s" + std::to_string(i)),
                            .domain = DomainId("a"),
                            .region = region,
                            .model = ModelId("m")});
        }
    }

    Node &add(const std::string &name)
    {
        const InstanceId id(name);
        auto &node = nodes[id];
        const auto at = [this](const InstanceId &to) -> Node * {
            ++messages;
            const auto found = nodes.find(to);
            return found == nodes.end() || !found->second.reachable ? nullptr : &found->second;
        };
        const auto clock = [this] { return now; };
        const auto lost = [] { return failure(ErrorKind::PeerUnreachable, "no route"); };
        LedgerSettings settings{.self = id, .incarnation = 1};
        settings.coldStart.coldLimit = maxColdLimit;
        node.owner = std::make_unique<OwnerService>(
            settings,
            OwnerServiceDependencies{.directory = node.directory,
                                     .ownership = node.ownership,
                                     .now = clock,
                                     .wallNow = [] { return WallTime{1h}; },
                                     .sendHandOff = [=](const auto &to, const auto &request)
                                         -> Result<peer::HandOffReply> {
                                         if (auto *peer = at(to))
                                             return peer->owner->handleHandOff(request);
                                         return lost();
                                     },
                                     .sendPoolReport = [](const auto &) {},
                                     .probe = [this](const auto &) -> Result<ProbeResult> {
                                         if (probesFail)
                                             return failure(ErrorKind::ConnectFailed, "refused");
                                         return ProbeResult{.startIdentity = "1"};
                                     }});
        node.client = std::make_unique<ReservationClient>(
            id, 1,
            ReservationClientDependencies{
                .owner = *node.owner,
                .directory = node.directory,
                .ownership = node.ownership,
                .now = clock,
                .reserve = [=](const auto &to, const auto &request,
                               auto) -> Result<peer::ReserveReply> {
                    if (auto *peer = at(to))
                        return peer->owner->handleReserve(request);
                    return lost();
                },
                .release = [=, this](const auto &to,
                                     const auto &request) -> Result<peer::ReleaseReply> {
                    auto *peer = at(to);
                    if (peer != nullptr && !releasesLost)
                        return peer->owner->handleRelease(request);
                    return lost();
                },
                .reportInFlight = [=](const auto &to,
                                      const auto &report) -> Result<peer::InFlightReply> {
                    if (auto *peer = at(to))
                        return peer->owner->handleReport(report);
                    return lost();
                }});
        return node;
    }

    /** Gives every node the same view and lets hand-offs finish. */
    void converge()
    {
        std::vector<LiveRouter> routers;
        for (const auto &[id, node] : nodes) {
            if (node.reachable)
                routers.push_back({.id = id, .domain = DomainId("a"), .region = region});
        }
        for (auto &[id, node] : nodes) {
            node.directory.applyDesiredState(state);
            node.directory.applyInstanceList(list);
            node.ownership.setLiveRouters(routers);
        }
        for (auto &[id, node] : nodes) {
            if (node.reachable)
                node.owner->synchronise();
        }
        EventLoop::sleepFor(5ms);
    }

    /** Runs the periodic tasks of all nodes for some seconds of the test's clock. */
    void run(std::chrono::seconds duration)
    {
        for (auto second = 0s; second < duration; second += 1s) {
            now += 1s;
            for (auto &[id, node] : nodes) {
                if (!node.reachable)
                    continue;
                for (const auto &task : node.client->tasks())
                    task.run();
                for (const auto &task : node.owner->tasks())
                    task.run();
            }
            EventLoop::sleepFor(2ms);
        }
    }

    Result<Placed> place(Node &node, std::vector<ServerId> candidates, std::uint64_t chat = 0,
                         Duration wait = 0s)
    {
        return node.client->place({.candidates = std::move(candidates),
                                   .workspace = WorkspaceId("w"),
                                   .chatHash = chat,
                                   .deadline = now + 1ms + wait});
    }

    void release(Node &node, const Placed &placed)
    {
        const RequestSample sample{.firstToken = 100ms, .total = 200ms};
        node.client->release(placed, &sample, "chat", "v1");
    }

    Node &ownerOf(const ServerId &server)
    {
        return nodes.at(nodes.begin()->second.ownership.owner(server, region));
    }

    Node &otherThan(const Node &node)
    {
        return std::find_if(
                   nodes.begin(), nodes.end(),
                   [&](const auto &item) { return &item.second != &node && item.second.reachable; })
            ->second;
    }

    OwnedServerView view(const ServerId &server)
    {
        for (const auto &view : ownerOf(server).owner->ledger().views(now)) {
            if (view.server == server)
                return view;
        }
        return {};
    }

    std::shared_ptr<DesiredState> state = std::make_shared<DesiredState>();
    std::vector<BackendServer> list;
    std::map<InstanceId, Node> nodes;
    TimePoint now{1h};
    int messages = 0;
    int maxColdLimit = 8;
    bool probesFail = false;
    bool releasesLost = false;
};

const ServerId first{"s0"};
const ServerId second{"s1"};

// Guards against messages in the steady state, where the entry router is the owner, and against
// reservations that are not given back.
TEST(OwnerService, OwnReservationsNeedNoMessageAndOthersOneEach)
{
    EventLoop loop;
    loop.run([] {
        Fleet fleet(1);
        fleet.add("a");
        fleet.add("b");
        fleet.converge();
        fleet.run(3s);
        auto &owner = fleet.ownerOf(first);
        auto &other = fleet.otherThan(owner);
        fleet.messages = 0;
        const auto local = fleet.place(owner, {first});
        EXPECT_EQ(fleet.messages, 0);
        const auto remote = fleet.place(other, {first});
        EXPECT_EQ(fleet.messages, 1);
        EXPECT_EQ(fleet.view(first).inFlight, 2);
        fleet.release(owner, local.value());
        fleet.release(other, remote.value());
        EventLoop::sleepFor(5ms);
        EXPECT_EQ(fleet.view(first).inFlight, 0);
        EXPECT_EQ(owner.client->held() + other.client->held(), 0U);
    });
}

// Guards against a join that loses or doubles what is in flight, and against a new owner that
// never leaves recovery.
TEST(OwnerService, AJoiningOwnerReceivesTheLedger)
{
    EventLoop loop;
    loop.run([] {
        Fleet fleet(30);
        auto &a = fleet.add("a");
        fleet.converge();
        fleet.run(3s);
        std::vector<Placed> placed;
        for (const auto &server : fleet.list)
            placed.push_back(fleet.place(a, {server.id}).value());
        fleet.add("b");
        fleet.converge();
        const auto moved = fleet.nodes.at(InstanceId("b")).owner->ledger().owned();
        ASSERT_FALSE(moved.empty());
        EXPECT_FALSE(a.owner->ledger().owns(moved.front()));
        for (const auto &server : fleet.list) {
            EXPECT_EQ(fleet.view(server.id).inFlight, 1) << server.id;
            EXPECT_FALSE(fleet.view(server.id).recovering) << server.id;
        }
        for (const auto &one : placed)
            fleet.release(a, one);
        EventLoop::sleepFor(5ms);
        for (const auto &server : fleet.list)
            EXPECT_EQ(fleet.view(server.id).inFlight, 0) << server.id;
    });
}

// Guards against a new owner that admits a full load before the holders have reported.
TEST(OwnerService, AfterTheOwnersDeathTheCountIsRebuiltFromReports)
{
    EventLoop loop;
    loop.run([] {
        Fleet fleet(1);
        fleet.add("a");
        fleet.add("b");
        fleet.add("c");
        fleet.converge();
        fleet.run(3s);
        auto &dead = fleet.ownerOf(first);
        auto &holder = fleet.otherThan(dead);
        const auto placed = fleet.place(holder, {first});
        ASSERT_TRUE(placed);
        dead.reachable = false;
        fleet.converge();
        EXPECT_TRUE(fleet.view(first).recovering);
        EXPECT_EQ(fleet.view(first).limit, 1);
        fleet.run(3s);
        EXPECT_FALSE(fleet.view(first).recovering);
        EXPECT_EQ(fleet.view(first).inFlight, 1);
        fleet.release(holder, placed.value());
        EventLoop::sleepFor(5ms);
        EXPECT_EQ(fleet.view(first).inFlight, 0);
    });
}

// Guards against places that stay taken when releases are lost.
TEST(OwnerService, ALostReleaseIsMadeGoodByReports)
{
    EventLoop loop;
    loop.run([] {
        Fleet fleet(1);
        fleet.add("a");
        fleet.add("b");
        fleet.converge();
        fleet.run(3s);
        auto &other = fleet.otherThan(fleet.ownerOf(first));
        fleet.releasesLost = true;
        fleet.release(other, fleet.place(other, {first}).value());
        fleet.run(3s);
        EXPECT_EQ(fleet.view(first).inFlight, 1);
        fleet.run(2s);
        EXPECT_EQ(fleet.view(first).inFlight, 0);
    });
}

// Guards against a displaced chat that goes back to a server without its prefix.
TEST(OwnerService, ADisplacedChatReturnsToTheServerThatServedIt)
{
    EventLoop loop;
    loop.run([] {
        Fleet fleet(2, 1);
        auto &a = fleet.add("a");
        fleet.add("b");
        fleet.converge();
        fleet.run(3s);
        const auto blocker = fleet.place(a, {first});
        const auto displaced = fleet.place(a, {first, second}, 5);
        EXPECT_EQ(displaced.value().server, second);
        fleet.release(a, displaced.value());
        fleet.release(a, blocker.value());
        EventLoop::sleepFor(5ms);
        EXPECT_EQ(fleet.place(a, {first, second}, 5).value().server, second);
        EXPECT_EQ(fleet.place(a, {first, second}, 6).value().server, first);
    });
}

// Guards against callers that wait although a place is free, or after their server was closed.
TEST(OwnerService, AQueuedCallerIsAnsweredByAReleaseOrAClosure)
{
    for (const bool close : {false, true}) {
        EventLoop loop;
        loop.run([close] {
            Fleet fleet(1, 1);
            auto &a = fleet.add("a");
            fleet.converge();
            fleet.run(3s);
            const auto blocker = fleet.place(a, {first});
            std::optional<Result<Placed>> answer;
            EventLoop::spawn([&] { answer = fleet.place(a, {first}, 0, 2s); });
            EventLoop::sleepFor(5ms);
            ASSERT_FALSE(answer);
            if (close) {
                fleet.state->domains[DomainId("a")].state = DomainState::Out;
                fleet.run(1s);
            } else {
                fleet.release(a, blocker.value());
            }
            EventLoop::sleepFor(5ms);
            ASSERT_TRUE(answer);
            EXPECT_EQ(answer->has_value(), !close);
            if (close) {
                EXPECT_EQ(answer->error().kind, ErrorKind::DomainOut);
            }
        });
    }
}

// Guards against work for a dead server, and against routers that keep asking for it.
TEST(OwnerService, AServerIsDownAfterTwoFailedProbesAndUpAfterOneSuccess)
{
    EventLoop loop;
    loop.run([] {
        Fleet fleet(1);
        fleet.add("a");
        fleet.add("b");
        fleet.converge();
        fleet.run(3s);
        auto &other = fleet.otherThan(fleet.ownerOf(first));
        fleet.probesFail = true;
        fleet.run(1s);
        EXPECT_TRUE(fleet.place(other, {first}));
        fleet.run(1s);
        EXPECT_EQ(fleet.place(other, {first}).error().kind, ErrorKind::ConnectFailed);
        EXPECT_EQ(other.directory.health(first, fleet.now), ServerHealth::Down);
        EXPECT_EQ(other.directory.health(first, fleet.now + 3s), ServerHealth::Unknown);
        fleet.probesFail = false;
        fleet.run(2s);
        EXPECT_TRUE(fleet.place(other, {first}));
    });
}

} // namespace
