#include "jy_base/hashing/StableHash.h"
#include "jy_core/placement/ExceptionTable.h"
#include "jy_core/placement/OwnershipMap.h"
#include "jy_core/placement/ServerDirectory.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <set>

using namespace std::chrono_literals;
using namespace jy;

namespace {

const RegionId north{"north"};
const TimePoint start{1h};
const WallTime wallStart{1000h};

BackendServer engine(int number, const std::string &domain = "a")
{
    return {.id = ServerId("engine-" + std::to_string(number)),
            .domain = DomainId(domain),
            .region = north,
            .model = ModelId("m"),
            .version = VersionId("v1")};
}

std::shared_ptr<DesiredState> desiredState(DomainState a = DomainState::InService)
{
    auto state = std::make_shared<DesiredState>();
    state->domains[DomainId("a")] = {DomainId("a"), north, a, wallStart - 15s};
    state->domains[DomainId("b")] = {DomainId("b"), north};
    state->models[ModelId("m")] = {.id = ModelId("m"), .serve = VersionId("v1")};
    state->workspaces[WorkspaceId("w")] = {.id = WorkspaceId("w"), .models = {ModelId("m")}};
    return state;
}

CandidateQuery chat(std::uint64_t number, std::size_t maxCount = 1)
{
    return {.workspace = WorkspaceId("w"),
            .model = ModelId("m"),
            .chatHash = stableHash(std::to_string(number)),
            .maxCount = maxCount};
}

struct RefusalCase
{
    const char *name;
    std::function<void(BackendServer &, DesiredState &, ServerHealth &)> change;
    std::optional<ErrorKind> expected;
};

class PlacementRefusal : public testing::TestWithParam<RefusalCase>
{ };

// Guards against new work for a server that must not receive any (invariants I3 and I8).
TEST_P(PlacementRefusal, ExcludesTheServerAndNamesTheReason)
{
    auto server = engine(1);
    auto state = desiredState();
    auto health = ServerHealth::Up;
    GetParam().change(server, *state, health);
    ServerDirectory directory(north, nullptr);
    directory.applyInstanceList({server});
    directory.applyDesiredState(state);
    directory.setHealth(server.id, health, start, 3s);
    EXPECT_EQ(directory.refusal(server.id, 7, start, wallStart), GetParam().expected);
    EXPECT_EQ(directory.candidates(chat(7), start, wallStart).has_value(), !GetParam().expected);
    if (health == ServerHealth::Down) {
        EXPECT_TRUE(directory.candidates(chat(7), start + 3s, wallStart).has_value());
    }
}

INSTANTIATE_TEST_SUITE_P(
    Cases, PlacementRefusal,
    testing::Values(
        RefusalCase{"Healthy", [](auto &, auto &, auto &) {}, std::nullopt},
        RefusalCase{"Unknown", [](auto &, auto &, auto &h) { h = ServerHealth::Unknown; }, {}},
        RefusalCase{"Leaving", [](auto &s, auto &, auto &) { s.leaving = true; },
                    ErrorKind::ServerLeaving},
        RefusalCase{"Down", [](auto &, auto &, auto &h) { h = ServerHealth::Down; },
                    ErrorKind::ConnectFailed},
        RefusalCase{
            "DomainOut",
            [](auto &, auto &d, auto &) { d.domains[DomainId("a")].state = DomainState::Out; },
            ErrorKind::DomainOut},
        RefusalCase{"DomainNotNamed", [](auto &, auto &d, auto &) { d.domains.clear(); },
                    ErrorKind::DomainOut},
        RefusalCase{"BeforeRamp",
                    [](auto &, auto &d, auto &) {
                        d.domains[DomainId("a")] = {DomainId("a"), north, DomainState::Returning,
                                                    wallStart + 1s};
                    },
                    ErrorKind::DomainOut}),
    [](const auto &info) { return info.param.name; });

// Guards against a returning domain that admits all chats at once, or a chat that moves repeatedly.
TEST(Placement, ReturningDomainTakesAGrowingShareOfChats)
{
    auto state = desiredState(DomainState::Returning);
    ServerDirectory directory(north, nullptr);
    directory.applyInstanceList({engine(1), engine(2, "b")});
    directory.applyDesiredState(state);
    std::set<int> returned;
    for (const auto &[elapsed, share] : {std::pair{3s, 0.1}, {15s, 0.5}, {30s, 1.0}}) {
        int count = 0;
        for (int i = 0; i < 2000; ++i) {
            const auto wall = wallStart - 15s + elapsed;
            const bool admitted = !directory.refusal(ServerId("engine-1"),
                                                     stableHash(std::to_string(i)), start, wall);
            EXPECT_TRUE(admitted || !returned.contains(i)) << i;
            if (admitted)
                returned.insert(i);
            count += admitted ? 1 : 0;
        }
        EXPECT_NEAR(count, 2000 * share, 80);
    }
}

// Guards against a version hook whose choice is ignored, and against requests of workspaces that
// are not in the desired state.
TEST(Placement, UsesTheVersionHookAndTheWorkspaceList)
{
    ServerDirectory directory(north, [](const auto &, const auto &, std::uint64_t chatHash) {
        return chatHash == 1 ? VersionId("v2") : VersionId{};
    });
    auto second = engine(2);
    second.version = VersionId("v2");
    directory.applyInstanceList({engine(1), second});
    directory.applyDesiredState(desiredState());
    auto query = chat(0);
    query.chatHash = 1;
    EXPECT_EQ(directory.candidates(query, start, wallStart).value().front(), second.id);
    query.chatHash = 2;
    EXPECT_EQ(directory.candidates(query, start, wallStart).value().front(), engine(1).id);
    query.workspace = WorkspaceId("x");
    EXPECT_EQ(directory.candidates(query, start, wallStart).error().kind,
              ErrorKind::UnknownWorkspace);
}

// Guards against chats that move between servers that did not change. A server that joins may only
// receive chats, one that leaves may only lose its own, and one that is down for a while must get
// the same chats back.
RC_GTEST_PROP(Placement, MovesOnlyChatsOfTheServerThatChanged, (std::uint64_t seed))
{
    const int count = *rc::gen::inRange(2, 20);
    const int changed = *rc::gen::inRange(0, count);
    std::vector<BackendServer> all;
    std::vector<BackendServer> without;
    for (int i = 0; i < count; ++i) {
        all.push_back(engine(i));
        if (i != changed)
            without.push_back(engine(i));
    }
    ServerDirectory directory(north, nullptr);
    directory.applyDesiredState(desiredState());
    for (std::uint64_t i = 0; i < 50; ++i) {
        const auto query = chat(seed + i);
        directory.applyInstanceList(all);
        const auto before = directory.candidates(query, start, wallStart).value().front();
        directory.applyInstanceList(without);
        const auto after = directory.candidates(query, start, wallStart).value().front();
        RC_ASSERT((before == after || before == engine(changed).id));
        directory.applyInstanceList(all);
        directory.setHealth(engine(changed).id, ServerHealth::Down, start);
        RC_ASSERT(directory.candidates(query, start, wallStart).value().front() == after);
        directory.setHealth(engine(changed).id, ServerHealth::Up, start);
        RC_ASSERT(directory.candidates(query, start, wallStart).value().front() == before);
    }
}

// Guards against lookups that name routers that cannot serve, and against an owner that is not
// first, which would cost an additional message per request.
RC_GTEST_PROP(Placement, LookupNamesTheOwnerFirstAndNoRouterThatIsOut, ())
{
    std::vector<LiveRouter> routers;
    const int count = *rc::gen::inRange(1, 12);
    const auto domains = *rc::gen::container<std::vector<int>>(count, rc::gen::inRange(0, 3));
    routers.reserve(count);
    const auto leaving = *rc::gen::container<std::vector<bool>>(count, rc::gen::arbitrary<bool>());
    for (int i = 0; i < count; ++i) {
        routers.push_back({InstanceId("r" + std::to_string(i)),
                           DomainId(std::string(1, static_cast<char>('a' + domains[i]))), north,
                           leaving[i]});
    }
    OwnershipMap map;
    map.setLiveRouters(routers);
    const auto state = desiredState(DomainState::Out);
    const ServerId server("engine-" + std::to_string(*rc::gen::inRange(0, 100)));
    const auto order = map.lookupOrder(server, north, *state, 3);
    const auto owner = map.owner(server, north);
    std::set<DomainId> named;
    std::set<DomainId> eligible;
    for (const auto &router : routers) {
        const bool serves = !router.leaving && router.domain != DomainId("a");
        const bool listed = std::find(order.begin(), order.end(), router.id) != order.end();
        RC_ASSERT((serves || !listed));
        if (router.id == owner)
            RC_ASSERT((!serves || order.front() == owner));
        if (serves)
            eligible.insert(router.domain);
        if (listed)
            named.insert(router.domain);
    }
    RC_ASSERT(named.size() >= std::min<std::size_t>(2, eligible.size()));
}

// Guards against a membership change that moves ownership between routers that did not change.
RC_GTEST_PROP(Placement, ARouterThatLeavesMovesOnlyItsOwnServers, ())
{
    const int count = *rc::gen::inRange(2, 10);
    std::vector<LiveRouter> routers;
    routers.reserve(count);
    for (int i = 0; i < count; ++i)
        routers.push_back({InstanceId("r" + std::to_string(i)), DomainId("a"), north});
    OwnershipMap before;
    before.setLiveRouters(routers);
    const auto gone = routers[*rc::gen::inRange(0, count)].id;
    std::erase_if(routers, [&](const auto &router) { return router.id == gone; });
    OwnershipMap after;
    after.setLiveRouters(routers);
    for (int i = 0; i < 100; ++i) {
        const ServerId server("engine-" + std::to_string(i));
        RC_ASSERT(after.owner(server, north) == before.ownerWithout(server, north, gone));
        RC_ASSERT((before.owner(server, north) == gone
                   || before.owner(server, north) == after.owner(server, north)));
    }
}

// Guards against a wrong or stale redirect, and against a table that grows beyond its capacity.
RC_GTEST_PROP(Placement, ExceptionTableMatchesAReferenceMap, ())
{
    ExceptionTable table(64);
    std::map<std::uint64_t, ServerId> model;
    for (int step = 0; step < 300; ++step) {
        const auto hash = stableHash(std::to_string(*rc::gen::inRange(0, 100)));
        const ServerId server("s" + std::to_string(*rc::gen::inRange(0, 4)));
        switch (*rc::gen::weightedElement<int>({{12, 0}, {4, 1}, {1, 2}})) {
        case 0:
            table.record(hash, server, start);
            model[hash] = server;
            break;
        case 1:
            table.erase(hash);
            model.erase(hash);
            break;
        default:
            table.forgetServer(server);
            std::erase_if(model, [&](const auto &item) { return item.second == server; });
        }
        RC_ASSERT((table.size() <= 64U && table.size() <= model.size()));
        const auto found = table.find(hash, start);
        RC_ASSERT((!found || *found == model[hash]));
    }
    RC_ASSERT(table.items().size() == table.size());
}

// Guards against the eviction of recently used chats, and against entries that never expire.
TEST(Placement, ExceptionTableEvictsTheLeastRecentlyUsed)
{
    ExceptionTable table(16);
    for (std::uint64_t i = 0; i < 16; ++i)
        table.record(i, ServerId("s"), start + std::chrono::minutes(i));
    EXPECT_TRUE(table.find(0, start + 20min));
    table.record(16, ServerId("s"), start + 21min);
    EXPECT_TRUE(table.find(0, start + 21min));
    EXPECT_FALSE(table.find(1, start + 21min));
    EXPECT_FALSE(table.find(16, start + 48h));
}

} // namespace
